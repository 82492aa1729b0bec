package org.snowturn.core.autoscaling;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.ListedTaskSize;

/**
 * The CPUs of the machines that are up, booting or requested, as far as work can use them,
 * recounted on each tick.
 */
final class ProvisionedCapacity {
  /** All spot or all on-demand machines of a zone. */
  private record Market(int zone, boolean spot) {}

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final OpenScaleOutRequests openRequests;
  private final ZoneOutages zoneOutages;
  private final ExternallyManagedMachines externallyManaged;
  private final PreemptionRate spotPreemptions;
  private final UsableCpus usableCpus;
  private final Map<Market, Double> cpusByMarket = new HashMap<>();
  private final int[] machinesInZone;
  private double onDemandCpus;
  private double spotCpus;
  private double freeOnDemandListBytes;
  private double freeSpotListBytes;
  private long lastCountedAt;

  ProvisionedCapacity(
      CoreRuntime runtime,
      MachineIndex machines,
      OpenScaleOutRequests openRequests,
      ZoneOutages zoneOutages,
      ExternallyManagedMachines externallyManaged,
      PreemptionRate spotPreemptions,
      UsableCpus usableCpus) {
    this.runtime = runtime;
    this.machines = machines;
    this.openRequests = openRequests;
    this.zoneOutages = zoneOutages;
    this.externallyManaged = externallyManaged;
    this.spotPreemptions = spotPreemptions;
    this.usableCpus = usableCpus;
    this.machinesInZone = new int[machines.zoneCount()];
    this.lastCountedAt = runtime.now();
  }

  /**
   * Recounts all machines and updates the statistics on externally managed machines and on spot
   * uptime.
   */
  void recount() {
    onDemandCpus = 0;
    spotCpus = 0;
    freeOnDemandListBytes = 0;
    freeSpotListBytes = 0;
    cpusByMarket.clear();
    Arrays.fill(machinesInZone, 0);
    int spotMachinesUp = 0;
    int onDemandNotRentedByThisTerm = 0;
    for (Machine machine : machines.present()) {
      machinesInZone[machine.zone()]++;
      boolean isUp = machine.lastHeartbeatAt() != MonotonicTime.UNSET;
      if (isUp && !machine.isSpot() && !machine.lifecycle.isRentedInThisTerm()) {
        onDemandNotRentedByThisTerm++;
      }
      if (isCounted(machine)) {
        adjust(machine, 1);
        spotMachinesUp += machine.isSpot() && isUp ? 1 : 0;
      }
    }
    externallyManaged.observe(onDemandNotRentedByThisTerm);
    spotPreemptions.recordUptime(spotMachinesUp, (runtime.now() - lastCountedAt) / 1000.0);
    lastCountedAt = runtime.now();
  }

  /** Returns whether the machine can run waiting tasks now or after its boot. */
  boolean isCounted(Machine machine) {
    return !isLeaving(machine)
        && !machine.isQuarantined()
        && !machine.isSuspected()
        && machine.machineType() != null
        && !(machine.lastHeartbeatAt() == MonotonicTime.UNSET
            && zoneOutages.hasOutage(machine.zone()));
  }

  private static boolean isLeaving(Machine machine) {
    return machine.lifecycle.isGone()
        || machine.lifecycle.isTerminating()
        || machine.lifecycle.isScalingIn()
        || machine.preemptionAt() != Long.MAX_VALUE;
  }

  /** Adds the CPUs of a machine whose scale-in was cancelled. */
  void add(Machine machine) {
    adjust(machine, 1);
  }

  /** Subtracts the CPUs of a machine that is to be scaled in. */
  void remove(Machine machine) {
    adjust(machine, -1);
  }

  private void adjust(Machine machine, int sign) {
    double cpus = sign * usableCpus.of(machine);
    double listBytes = sign * (double) Math.max(0, machine.heartbeatUsage.freeBytes());
    if (machine.isSpot()) {
      spotCpus += cpus;
      freeSpotListBytes += listBytes;
    } else {
      onDemandCpus += cpus;
      freeOnDemandListBytes += listBytes;
    }
    cpusByMarket.merge(new Market(machine.zone(), machine.isSpot()), cpus, Double::sum);
  }

  /** Returns the usable CPUs of a counted machine. */
  double cpusOf(Machine machine) {
    return usableCpus.of(machine);
  }

  /** Returns the CPUs of all spot or all on-demand machines, including requested ones. */
  double cpus(boolean spot) {
    return openRequests.addRequestedCpus(spot ? spotCpus : onDemandCpus, spot);
  }

  /**
   * Returns how many more spot or on-demand machines, beside requested ones, the waiting tasks need
   * to have room in heartbeats.
   */
  int missingMachines(boolean spot) {
    double freeBytes =
        (spot ? freeSpotListBytes : freeOnDemandListBytes)
            + (double) openRequests.requestedMachines(spot) * ListedTaskSize.MAX_LIST_BYTES;
    double missingBytes = usableCpus.waitingListBytes(spot) - freeBytes;
    return (int) Math.max(0, Math.ceil(missingBytes / ListedTaskSize.MAX_LIST_BYTES));
  }

  /** Returns the CPUs of the pool's zone: of its spot machines for a spot pool, else on-demand. */
  double cpusInMarketOf(CapacityPool pool) {
    return cpusByMarket.getOrDefault(new Market(pool.zone(), pool.spot()), 0.0);
  }

  /** Returns whether any machine is present in the zone or requested there. */
  boolean hasMachineIn(int zone) {
    return machinesInZone[zone] > 0 || openRequests.hasRequestInZone(zone);
  }
}
