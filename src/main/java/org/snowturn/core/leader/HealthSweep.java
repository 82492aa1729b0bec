package org.snowturn.core.leader;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.connectivity.WorkerSilence;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.Reachability;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/**
 * Checks the health of all machines at intervals: probes those that are silent, replaces those that
 * stay so, and notices when this node itself is cut off. It terminates machines, which is proof,
 * and probes; it never takes a task for ended.
 */
final class HealthSweep {
  /** The time between two sweeps. */
  static final long INTERVAL_MS = 250;

  /** Fewer silent machines than this do not mean that the node is cut off. */
  private static final int MIN_SILENT_MACHINES = 3;

  /** The node is cut off where silent machines are more than so many times those heard. */
  private static final int MIN_SILENT_PER_HEARD = 4;

  /** Half a lease, for a lease in seconds. */
  private static final long HALF_LEASE_MS_PER_S = 500;

  private final LeaderDependencies dependencies;
  private final CoreRuntime runtime;
  private final Settings settings;
  private final MachineIndex machines;
  private final AssignmentServices services;
  private final SchedulingServices scheduling;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final MachineSilence machineSilence;

  /** Machines that have been up, in the last sweep. */
  private int lastMachineCount;

  /** Machines that send heartbeats and left several messages unanswered, in the last sweep. */
  private int lastUnreachableCount;

  /** Machines that answer messages and miss heartbeats, in the last sweep. */
  private int lastMissingHeartbeatsCount;

  private int machineCount;
  private int unreachableCount;
  private int missingHeartbeatsCount;
  private int heardCount;
  private int silentCount;

  HealthSweep(
      LeaderDependencies dependencies,
      AssignmentServices services,
      SchedulingServices scheduling,
      LeaderRecovery recovery,
      ReachabilityChecks reachability,
      MachineSilence machineSilence) {
    this.dependencies = dependencies;
    this.runtime = dependencies.runtime();
    this.settings = dependencies.settings();
    this.machines = services.machines();
    this.services = services;
    this.scheduling = scheduling;
    this.recovery = recovery;
    this.reachability = reachability;
    this.machineSilence = machineSilence;
  }

  /**
   * Checks all machines.
   *
   * @return why this node should resign its leadership, or null
   */
  String sweep() {
    if (isCutOffFromWorkers()) {
      return "no worker reaches this node any more";
    }
    resetCounts();
    scheduling.zoneOutages().reset();
    for (Machine machine : machines.present()) {
      if (machine.machineType() == null && machine.type() != null) {
        machine.setMachineType(dependencies.machineTypes().get(machine.type()));
      }
      services.heartbeatProcessor().leaseExpired(machine);
      if (MachineSilence.hasBeenUp(machine)) {
        checkMachine(machine);
      }
    }
    scheduling.zoneOutages().evaluate();
    lastMachineCount = machineCount;
    lastUnreachableCount = unreachableCount;
    lastMissingHeartbeatsCount = missingHeartbeatsCount;
    return isCutOffFromMost() ? "most machines are out of reach" : null;
  }

  private void resetCounts() {
    machineCount = 0;
    unreachableCount = 0;
    missingHeartbeatsCount = 0;
    heardCount = 0;
    silentCount = 0;
  }

  /** Whether this node hears few of its machines while a peer might hear more. */
  private boolean isCutOffFromMost() {
    return silentCount >= MIN_SILENT_MACHINES
        && heardCount * MIN_SILENT_PER_HEARD < silentCount
        && machineSilence.isTermOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && !settings.peers().isEmpty()
        && dependencies.connectivity().otherMayServe();
  }

  private void checkMachine(Machine machine) {
    machineCount += machine.isTerminating() ? 0 : 1;
    boolean isSilent = machineSilence.isSilent(machine);
    boolean isHeard = MachineSilence.hasBeenHeard(machine);
    // Those that have not been heard yet count once they have left a probe unanswered: else the
    // first that are probed often enough would be judged by the few that were heard.
    boolean hasMissedProbe = !isHeard && recovery.hasMissedProbe(machine);
    if (isSilent || hasMissedProbe || isHeard) {
      scheduling.zoneOutages().count(machine, isSilent || hasMissedProbe);
    }
    if (isHeard) {
      checkHeard(machine, isSilent);
    } else if (isSilent) {
      replaceUnheard(machine);
    }
  }

  /** A machine that an earlier leader recorded and this one has not heard, though it should. */
  private void replaceUnheard(Machine machine) {
    if (machine.assigned.isEmpty()
        && machineSilence.isTermOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && machine.listedAt() == MonotonicTime.NEVER) {
      machines.remove(machine);
    } else if (machineSilence.canReplaceUnheard(machine)) {
      scheduling.autoscaler().terminate(machine, "not heard of since the change of leader");
    }
  }

  private void checkHeard(Machine machine, boolean isSilent) {
    boolean missesHeartbeats = machine.missesHeartbeats(runtime.now());
    boolean isLost = isSilent || missesHeartbeats;
    silentCount += isLost && !machine.isTerminating() ? 1 : 0;
    heardCount += isLost ? 0 : 1;
    missingHeartbeatsCount += missesHeartbeats && !isSilent ? 1 : 0;
    services.failureHandler().review(machine);
    if (isSilent) {
      probeOrReplaceSilent(machine);
    } else {
      replaceUnreachable(machine);
      replaceMissingHeartbeats(machine);
    }
  }

  /** A machine whose heartbeats come, but which may not receive what it is sent. */
  private void replaceUnreachable(Machine machine) {
    if (machine.isTerminating() || machine.reachability.proven()) {
      return;
    }
    reachability.probeIfDue(machine);
    unreachableCount +=
        machine.reachability.unansweredMessages() >= Reachability.UNREACHABLE_AFTER ? 1 : 0;
    if (machine.reachability.isUnreachable(runtime.now(), unreachableLimitMs())
        && lastUnreachableCount * 2 < lastMachineCount
        && machineSilence.canReplaceHeard()) {
      scheduling.autoscaler().terminate(machine, "reports, but receives nothing");
    }
  }

  /** How long a machine may receive nothing, or this node be unable to reach it. */
  private long unreachableLimitMs() {
    return Math.max(
        HeartbeatProcessor.silenceLimitMs(settings),
        (long) (HALF_LEASE_MS_PER_S * settings.workers().leaseS()));
  }

  /** A machine that answers messages, but whose own heartbeats do not come. */
  private void replaceMissingHeartbeats(Machine machine) {
    boolean isOverdue =
        runtime.now() - HeartbeatProcessor.leaseExpiryMs(settings)
            > machine.session.heartbeatDueAt();
    if (!machine.isTerminating()
        && isOverdue
        && lastMissingHeartbeatsCount * 2 < lastMachineCount
        && machineSilence.canReplaceHeard()) {
      scheduling.autoscaler().terminate(machine, "reaches no controller");
    }
  }

  private void probeOrReplaceSilent(Machine machine) {
    if (machine.isProbing() || machine.isTerminating() || machine.addr() == null) {
      return;
    }
    if (runtime.now() > machine.preemptionAt()) {
      if (machineSilence.canReplaceHeard()) {
        scheduling.autoscaler().terminate(machine, "taken back");
      }
    } else if (machine.commands().idle()) {
      machine.probeSent();
      machine.commands().probe();
    }
  }

  /** Whether this node should resign since no worker reaches it and a peer is reached. */
  private boolean isCutOffFromWorkers() {
    WorkerSilence workers = machineSilence.workerSilence();
    workers.sweep(lastMachineCount, runtime.now());
    boolean isReassignmentPeriodOver = machineSilence.isReassignmentPeriodOver();
    probeSample(isReassignmentPeriodOver ? 0 : workers.probesWanted());
    boolean isUnheard = workers.isolated(isReassignmentPeriodOver) && !settings.peers().isEmpty();
    return workers.shouldHandOver(isUnheard, dependencies.connectivity().otherMayServe());
  }

  /** Probes about so many machines from all over the cluster. */
  private void probeSample(int size) {
    List<Machine> all = size == 0 ? List.of() : machines.present();
    for (int i = 0; i < all.size(); i += Math.max(1, all.size() / size)) {
      Machine machine = all.get(i);
      if (machine.addr() != null && MachineSilence.hasBeenUp(machine)) {
        machine.commands().probe();
      }
    }
  }

  /** The gauges of the last sweep by name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.machines.unreachable", (double) lastUnreachableCount,
        "snowturn.machines.missing.heartbeats", (double) lastMissingHeartbeatsCount);
  }
}
