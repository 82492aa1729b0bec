package org.snowturn.core.autoscaling;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;

/** The CPUs of the machines that are up, booting or requested, counted anew on each tick. */
final class ProvisionedCapacity {
  private record Market(int zone, boolean spot) {}

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final OpenScaleOutRequests openRequests;
  private final ZoneOutages zoneOutages;
  private final ExternallyManagedMachines externallyManaged;
  private final PreemptionRate spotPreemptions;
  private final Map<Market, Double> cpusByMarket = new HashMap<>();
  private final int[] machinesInZone;
  private double onDemandCpus;
  private double spotCpus;
  private long countedAt;

  ProvisionedCapacity(
      CoreRuntime runtime,
      MachineIndex machines,
      OpenScaleOutRequests openRequests,
      ZoneOutages zoneOutages,
      ExternallyManagedMachines externallyManaged,
      PreemptionRate spotPreemptions) {
    this.runtime = runtime;
    this.machines = machines;
    this.openRequests = openRequests;
    this.zoneOutages = zoneOutages;
    this.externallyManaged = externallyManaged;
    this.spotPreemptions = spotPreemptions;
    this.machinesInZone = new int[machines.zoneCount()];
    this.countedAt = runtime.now();
  }

  /** Counts all machines, and reports to those who keep statistics of them. */
  void recount() {
    onDemandCpus = 0;
    spotCpus = 0;
    cpusByMarket.clear();
    Arrays.fill(machinesInZone, 0);
    int spotUp = 0;
    int notRentedByThisTerm = 0;
    for (Machine machine : machines.present()) {
      machinesInZone[machine.zone()]++;
      boolean up = machine.lastHeartbeatAt() != MonotonicTime.NEVER;
      if (up && !machine.isSpot() && !machine.isRentedByThisTerm()) {
        notRentedByThisTerm++;
      }
      if (isCounted(machine)) {
        adjust(machine, 1);
        spotUp += machine.isSpot() && up ? 1 : 0;
      }
    }
    externallyManaged.observe(notRentedByThisTerm);
    spotPreemptions.recordUptime(spotUp, (runtime.now() - countedAt) / 1000.0);
    countedAt = runtime.now();
  }

  /** Whether the machine is, or soon will be, of use to waiting work. */
  boolean isCounted(Machine machine) {
    return !isLeaving(machine)
        && !machine.isQuarantined()
        && !machine.isSuspected()
        && machine.machineType() != null
        && !(machine.lastHeartbeatAt() == MonotonicTime.NEVER
            && zoneOutages.hasOutage(machine.zone()));
  }

  private static boolean isLeaving(Machine machine) {
    return machine.isTerminated()
        || machine.isTerminating()
        || machine.isScalingIn()
        || machine.preemptionAt() != Long.MAX_VALUE;
  }

  /** Counts a machine that is taken back into use. */
  void add(Machine machine) {
    adjust(machine, 1);
  }

  /** Counts a machine no more that is to be scaled in. */
  void remove(Machine machine) {
    adjust(machine, -1);
  }

  private void adjust(Machine machine, int sign) {
    double cpus = sign * machine.machineType().cpus();
    if (machine.isSpot()) {
      spotCpus += cpus;
    } else {
      onDemandCpus += cpus;
    }
    cpusByMarket.merge(new Market(machine.zone(), machine.isSpot()), cpus, Double::sum);
  }

  /** CPUs of all spot or on-demand machines, including those that are requested. */
  double cpus(boolean spot) {
    return openRequests.addRequestedCpus(spot ? spotCpus : onDemandCpus, spot);
  }

  /** CPUs of all machines in the pool's zone that are spot or not as the pool is. */
  double cpusInMarketOf(CapacityPool pool) {
    return cpusByMarket.getOrDefault(new Market(pool.zone(), pool.spot()), 0.0);
  }

  /** Whether any machine is present in the zone, or one is requested there. */
  boolean hasMachineIn(int zone) {
    return machinesInZone[zone] > 0 || openRequests.hasRequestInZone(zone);
  }
}
