package org.snowturn.core.autoscaling;

import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** Chooses the pool that machines are requested from, and how many to request at a time. */
final class PoolSelector {
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /** What each CPU already held in a zone adds to the relative cost of another one there. */
  private static final double ZONE_BALANCE_WEIGHT = 0.002;

  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final ProvisionedCapacity capacity;
  private final OpenScaleOutRequests openRequests;
  private final CapacityRefusals refusals;
  private final ZoneOutages zoneOutages;

  PoolSelector(
      MachineTypes machineTypes,
      MachineIndex machines,
      ProvisionedCapacity capacity,
      OpenScaleOutRequests openRequests,
      CapacityRefusals refusals,
      ZoneOutages zoneOutages) {
    this.machineTypes = machineTypes;
    this.machines = machines;
    this.capacity = capacity;
    this.openRequests = openRequests;
    this.refusals = refusals;
    this.zoneOutages = zoneOutages;
  }

  /**
   * The cheapest pool for a shortage that may be asked now; null if there is none.
   *
   * @param missingCpus how many CPUs are to be added
   */
  CapacityPool select(boolean spot, double missingCpus) {
    CapacityPool best = null;
    double lowestCost = Double.MAX_VALUE;
    for (MachineType type : machineTypes.all()) {
      for (String zoneName : type.zones()) {
        CapacityPool pool = new CapacityPool(type.name(), machines.zone(zoneName), spot);
        if (!isEligible(pool)) {
          continue;
        }
        double cost = cost(pool, type, missingCpus);
        if (cost < lowestCost) {
          best = pool;
          lowestCost = cost;
        }
      }
    }
    return best;
  }

  private boolean isEligible(CapacityPool pool) {
    int zone = pool.zone();
    // One machine in a zone with an outage tells when it is over; more would be idle.
    boolean idle = zoneOutages.hasOutage(zone) && capacity.hasMachineIn(zone);
    return machines.zoneKnown(zone)
        && !refusals.isInBackoff(pool)
        && !idle
        && !openRequests.hasRequestFor(pool);
  }

  /** The price of each CPU that would be used, weighted by what the zone has already. */
  private double cost(CapacityPool pool, MachineType type, double missingCpus) {
    double price = pool.spot() ? type.spotPrice() : type.price();
    double usedCpus = Math.min(missingCpus, type.cpus());
    return price
        / Math.max(1, usedCpus)
        * (1 + ZONE_BALANCE_WEIGHT * capacity.cpusInMarketOf(pool));
  }

  /** How many machines to request at once: the shortage, shared among the type's zones. */
  int machineCount(CapacityPool pool, double missingCpus) {
    if (zoneOutages.hasOutage(pool.zone())) {
      return 1;
    }
    MachineType type = machineTypes.get(pool.type());
    double count = Math.ceil(missingCpus / Math.max(1, type.cpus()) / type.zones().size());
    return (int) Math.max(1, Math.min(MAX_MACHINES_PER_REQUEST, count));
  }
}
