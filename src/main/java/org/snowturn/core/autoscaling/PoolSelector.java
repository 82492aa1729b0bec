package org.snowturn.core.autoscaling;

import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** The choice of the pool to request machines from and of the number of machines per request. */
final class PoolSelector {
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /**
   * Relative increase of a pool's cost for each CPU that the zone already has of the same kind,
   * spot or on-demand. It spreads machines over the zones.
   */
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
   * Returns the cheapest pool that machines may be requested from now, or null if there is none.
   *
   * @param spot whether to select among spot or on-demand pools
   * @param missingCpus the number of CPUs to add
   */
  CapacityPool select(boolean spot, double missingCpus) {
    CapacityPool best = null;
    double lowestCost = Double.MAX_VALUE;
    for (MachineType type : machineTypes.all()) {
      for (String zoneName : type.zones()) {
        CapacityPool pool = new CapacityPool(type.name(), machines.zoneIndex(zoneName), spot);
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
    // The first heartbeat of one machine shows the end of an outage; more machines would be idle.
    boolean wouldBeIdle = zoneOutages.hasOutage(zone) && capacity.hasMachineIn(zone);
    return machines.isZoneConfigured(zone)
        && !refusals.isInBackoff(pool)
        && !wouldBeIdle
        && !openRequests.hasRequestFor(pool);
  }

  /**
   * Returns the price per CPU used, weighted by the CPUs that the zone already has of this kind.
   */
  private double cost(CapacityPool pool, MachineType type, double missingCpus) {
    double price = pool.spot() ? type.hourlySpotPrice() : type.hourlyPrice();
    double usedCpus = Math.min(missingCpus, type.cpus());
    return price
        / Math.max(1, usedCpus)
        * (1 + ZONE_BALANCE_WEIGHT * capacity.cpusInMarketOf(pool));
  }

  /**
   * Returns the number of machines for one request: what is missing, divided among the zones of the
   * pool's machine type.
   *
   * @param missingCpus the CPUs that are missing
   * @param missingMachines the machines that are missing, whatever their CPUs
   */
  int machineCount(CapacityPool pool, double missingCpus, int missingMachines) {
    if (zoneOutages.hasOutage(pool.zone())) {
      return 1;
    }
    MachineType type = machineTypes.get(pool.type());
    double machineCount = Math.max(missingCpus / Math.max(1, type.cpus()), missingMachines);
    double count = Math.ceil(machineCount / type.zones().size());
    return (int) Math.max(1, Math.min(MAX_MACHINES_PER_REQUEST, count));
  }
}
