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

/** The draining of surplus machines and the return of idle and quarantined ones to the cloud. */
final class ScaleIn {
  /** Minimum time that the cloud bills for a machine. */
  private static final long MIN_BILLED_MS = 60_000;

  /** Maximum time before the end of {@link #MIN_BILLED_MS} at which an idle machine is returned. */
  private static final long BILLING_MARGIN_MS = 5_000;

  /**
   * Time between two returns of quarantined machines while more than a third of the fleet is
   * quarantined.
   */
  private static final long QUARANTINE_INTERVAL_MS = 3_000;

  /**
   * Surplus machines for each machine beyond the first that is drained at a time, since a burst
   * leaves hundreds of them.
   */
  private static final int SURPLUS_PER_RETURN = 100;

  /** Maximum number of surplus machines examined at a time, the least used first. */
  private static final int MAX_EXAMINED = 8;

  private final CoreRuntime runtime;
  private final Tunables tunables;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final CapacityDemand demand;
  private final ProvisionedCapacity capacity;
  private final ReplicaRelocation relocation;
  private final double leaseS;
  private final MachineTermination termination;
  private long nextQuarantinedReturnAt;

  ScaleIn(
      ClusterContext cluster,
      CapacityDemand demand,
      ProvisionedCapacity capacity,
      ReplicaRelocation relocation,
      MachineTermination termination) {
    this.runtime = cluster.runtime();
    this.tunables = cluster.tunables();
    this.leaseS = cluster.settings().workers().leaseS();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.demand = demand;
    this.capacity = capacity;
    this.relocation = relocation;
    this.termination = termination;
  }

  /**
   * Drains surplus machines, moves at most one replica off them, and returns idle and quarantined
   * machines.
   */
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
    boolean hasFewQuarantined = quarantinedCount * 3 <= presentCount;
    for (Machine machine : machines.present()) {
      if (!machine.lifecycle.isTerminating()) {
        returnIfIdleOrQuarantined(machine, hasFewQuarantined);
      }
    }
  }

  private void returnIfIdleOrQuarantined(Machine machine, boolean hasFewQuarantined) {
    long now = runtime.now();
    if (machine.isQuarantined() && (hasFewQuarantined || now >= nextQuarantinedReturnAt)) {
      // Many are returned one by one, so that the replacements are known to work in the meantime.
      nextQuarantinedReturnAt = now + QUARANTINE_INTERVAL_MS;
      termination.terminate(machine, "quarantined");
    }
    if (isIdle(machine, now)) {
      termination.terminate(machine, "idle");
    }
  }

  private boolean isIdle(Machine machine, long now) {
    return machine.lifecycle.isScalingIn()
        && machine.assigned.isEmpty()
        && machine.unaccountedTasks() == 0
        && now - machine.lifecycle.firstSeenAt() > MIN_BILLED_MS - BILLING_MARGIN_MS
        && now - machine.idleSince() > maxIdleMs(machine);
  }

  /**
   * Returns the time in milliseconds after which an idle machine is returned. An unused machine in
   * its first agent epoch has to be idle until that epoch has ended, to get starts directly.
   */
  private double maxIdleMs(Machine machine) {
    boolean isUnused = machine.session.isInFirstEpoch() && machine.images.size() == 0;
    return (tunables.idleReturnS() + (isUnused ? leaseS : 0)) * 1000;
  }

  /**
   * Stops placing tasks on the least used surplus machines. Their array tasks end soon, and their
   * replicas are relocated.
   */
  private void markSurplus(boolean spot, double targetCpus) {
    if (isAnyArrayWaiting()) {
      return; // machines that are already paid for can run the waiting arrays
    }
    List<Machine> candidates = findSurplus(spot, targetCpus);
    candidates.sort(Comparator.comparingDouble(machine -> machine.cpusUsed()));
    int remainingToDrain = 1 + candidates.size() / SURPLUS_PER_RETURN;
    int examined = 0;
    for (Machine machine : candidates) {
      if (!isSurplus(machine, targetCpus)) {
        continue;
      }
      if (spot || relocation.isPossibleForAll(machine)) {
        machine.lifecycle.beginScaleIn();
        capacity.remove(machine);
        remainingToDrain--;
      }
      examined++;
      if (remainingToDrain == 0 || examined == MAX_EXAMINED) {
        return;
      }
    }
  }

  private List<Machine> findSurplus(boolean spot, double targetCpus) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.isSpot() == spot
          && capacity.isCounted(machine)
          && machine.lastHeartbeatAt() != MonotonicTime.UNSET
          && runtime.now() - machine.lifecycle.firstSeenAt() > MIN_BILLED_MS / 2
          && isSurplus(machine, targetCpus)) {
        candidates.add(machine);
      }
    }
    return candidates;
  }

  private boolean isSurplus(Machine machine, double targetCpus) {
    return capacity.cpus(machine.isSpot()) - capacity.cpusOf(machine) >= targetCpus;
  }

  private boolean isAnyArrayWaiting() {
    for (Job job : assignments.jobs()) {
      if (job.hasPlaceableTasks() && !job.spec.isService() && !job.failures.isSuspect()) {
        return true;
      }
    }
    return false;
  }
}
