package org.snowturn.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/** Empties machines that are not needed and returns idle and quarantined ones. */
final class ScaleIn {
  /** Each machine is paid for at least this long. */
  private static final long MIN_BILLED_MS = 60_000;

  /** An idle machine is returned so long before its first billed period ends, at the earliest. */
  private static final long BILLING_MARGIN_MS = 5_000;

  /** While more than a third of the fleet is quarantined, one goes each time. */
  private static final long QUARANTINE_INTERVAL_MS = 3_000;

  /** One surplus machine of so many is emptied at a time: after a burst there are hundreds. */
  private static final int SURPLUS_PER_RETURN = 100;

  /** Surplus machines that are examined at a time, the least used first. */
  private static final int MAX_EXAMINED = 8;

  private final CoreRuntime runtime;
  private final Tunables tunables;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final CapacityDemand demand;
  private final ProvisionedCapacity capacity;
  private final ReplicaRelocation relocation;
  private final MachineTermination termination;
  private long nextQuarantinedAt;

  ScaleIn(
      ClusterContext cluster,
      CapacityDemand demand,
      ProvisionedCapacity capacity,
      ReplicaRelocation relocation,
      MachineTermination termination) {
    this.runtime = cluster.runtime();
    this.tunables = cluster.tunables();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.demand = demand;
    this.capacity = capacity;
    this.relocation = relocation;
    this.termination = termination;
  }

  /** Marks surplus machines, moves a replica off one, returns what is idle or quarantined. */
  void run() {
    int presentCount = 0;
    int quarantinedCount = 0;
    for (Machine machine : machines.present()) {
      presentCount++;
      quarantinedCount += machine.isQuarantined() ? 1 : 0;
    }
    markSurplus(false, demand.targetCpus(false));
    markSurplus(true, demand.targetCpus(true));
    relocation.relocateOne();
    boolean fewQuarantined = quarantinedCount * 3 <= presentCount;
    for (Machine machine : machines.present()) {
      if (!machine.isTerminating()) {
        returnIfUseless(machine, fewQuarantined);
      }
    }
  }

  private void returnIfUseless(Machine machine, boolean fewQuarantined) {
    long now = runtime.now();
    if (machine.isQuarantined() && (fewQuarantined || now >= nextQuarantinedAt)) {
      // Where most are quarantined, one by one: their replacements have to prove themselves first.
      nextQuarantinedAt = now + QUARANTINE_INTERVAL_MS;
      termination.terminate(machine, "quarantined");
    }
    if (isIdle(machine, now)) {
      termination.terminate(machine, "idle");
    }
  }

  private boolean isIdle(Machine machine, long now) {
    return machine.isScalingIn()
        && machine.assigned.isEmpty()
        && machine.unaccounted() == 0
        && now - machine.firstSeenAt() > MIN_BILLED_MS - BILLING_MARGIN_MS
        && now - machine.idleSince() > tunables.idleReturnS() * 1000;
  }

  /** Gives the least used surplus machines no more work: arrays end soon, replicas are moved. */
  private void markSurplus(boolean spot, double targetCpus) {
    if (isAnyArrayWaiting()) {
      return; // what is paid for already may as well work
    }
    List<Machine> candidates = surplus(spot, targetCpus);
    candidates.sort(Comparator.comparingDouble(machine -> machine.cpusUsed()));
    int remaining = 1 + candidates.size() / SURPLUS_PER_RETURN;
    int examined = 0;
    for (Machine machine : candidates) {
      if (!isSurplus(machine, targetCpus)) {
        continue;
      }
      if (spot || relocation.isPossibleForAll(machine)) {
        machine.beginScaleIn();
        capacity.remove(machine);
        remaining--;
      }
      examined++;
      if (remaining == 0 || examined == MAX_EXAMINED) {
        return;
      }
    }
  }

  private List<Machine> surplus(boolean spot, double targetCpus) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.isSpot() == spot
          && capacity.isCounted(machine)
          && machine.lastHeartbeatAt() != MonotonicTime.NEVER
          && runtime.now() - machine.firstSeenAt() > MIN_BILLED_MS / 2
          && isSurplus(machine, targetCpus)) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  private boolean isSurplus(Machine machine, double targetCpus) {
    return capacity.cpus(machine.isSpot()) - machine.machineType().cpus() >= targetCpus;
  }

  private boolean isAnyArrayWaiting() {
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && !job.spec.service() && !job.failures.isSuspect()) {
        return true;
      }
    }
    return false;
  }
}
