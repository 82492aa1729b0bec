package org.snowturn.core.autoscaling;

import org.snowturn.core.model.Machine;

/**
 * A source of machines with a capacity of its own: one machine type in one zone, either spot or
 * on-demand.
 *
 * @param type the name of the machine type
 * @param zone the index of the zone
 * @param spot whether the machines are spot machines
 */
record CapacityPool(String type, int zone, boolean spot) {

  /** Returns the pool of a machine whose type is known. */
  static CapacityPool of(Machine machine) {
    return new CapacityPool(machine.type(), machine.zone(), machine.isSpot());
  }
}
