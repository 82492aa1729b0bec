package org.snowturn.core.autoscaling;

import org.snowturn.core.model.Machine;

/** A source of machines: capacity of one pool says nothing about that of another. */
record CapacityPool(String type, int zone, boolean spot) {

  /** The pool that a machine of known type belongs to. */
  static CapacityPool of(Machine machine) {
    return new CapacityPool(machine.type(), machine.zone(), machine.isSpot());
  }
}
