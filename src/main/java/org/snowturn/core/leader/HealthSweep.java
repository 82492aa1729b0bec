package org.snowturn.core.leader;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.connectivity.WorkerSilenceDetector;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.Reachability;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/**
 * Checks the health of all machines at regular intervals: probes machines that are silent, replaces
 * machines that stay silent, and detects when this node itself is cut off from the workers.
 *
 * <p>Silence alone never proves that a task has ended. The tasks of a silent machine are released
 * only once its worker's lease has expired or the cloud has confirmed that the machine is deleted.
 */
final class HealthSweep {
  /** Interval between two sweeps. */
  static final long INTERVAL_MS = 250;

  /** Minimum number of silent machines for this node to count as cut off. */
  private static final int MIN_SILENT_MACHINES = 3;

  /** Ratio of silent to heard machines above which this node counts as cut off. */
  private static final int MIN_SILENT_PER_HEARD = 4;

  /** Factor that converts a lease's length in seconds to half that length in milliseconds. */
  private static final long HALF_LEASE_MS_PER_S = 500;

  private final LeaderDependencies shared;
  private final CoreRuntime runtime;
  private final Settings settings;
  private final MachineIndex machines;
  private final AssignmentServices services;
  private final SchedulingServices scheduling;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final MachineSilenceDetector machineSilence;

  /** Machines in the last sweep that have been up and are not being terminated. */
  private int lastMachineCount;

  /** Machines in the last sweep that send heartbeats but left several messages unanswered. */
  private int lastUnreachableCount;

  /** Machines in the last sweep that answer messages but miss heartbeats. */
  private int lastMissingHeartbeatsCount;

  // Counts of the sweep in progress.
  private int machineCount;
  private int unreachableCount;
  private int missingHeartbeatsCount;
  private int heardCount;
  private int silentCount;

  HealthSweep(
      LeaderDependencies shared,
      AssignmentServices services,
      SchedulingServices scheduling,
      LeaderRecovery recovery,
      ReachabilityChecks reachability,
      MachineSilenceDetector machineSilence) {
    this.shared = shared;
    this.runtime = shared.runtime();
    this.settings = shared.settings();
    this.machines = services.machines();
    this.services = services;
    this.scheduling = scheduling;
    this.recovery = recovery;
    this.reachability = reachability;
    this.machineSilence = machineSilence;
  }

  /**
   * Checks all machines once.
   *
   * @return the reason for which this node should resign its leadership, for the log; null if it
   *     should not resign
   */
  String checkMachines() {
    if (isCutOffFromWorkers()) {
      return "no worker reaches this node any more";
    }
    resetCounts();
    scheduling.zoneOutages().reset();
    for (Machine machine : machines.present()) {
      if (machine.machineType() == null && machine.type() != null) {
        machine.setMachineType(shared.machineTypes().get(machine.type()));
      }
      services.heartbeatProcessor().releaseIfLeaseExpired(machine);
      if (MachineSilenceDetector.hasBeenUp(machine)) {
        checkMachine(machine);
      }
    }
    scheduling.zoneOutages().evaluate();
    lastMachineCount = machineCount;
    lastUnreachableCount = unreachableCount;
    lastMissingHeartbeatsCount = missingHeartbeatsCount;
    return isCutOffFromMost()
        ? "most machines are silent and a peer may be able to reach them"
        : null;
  }

  private void resetCounts() {
    machineCount = 0;
    unreachableCount = 0;
    missingHeartbeatsCount = 0;
    heardCount = 0;
    silentCount = 0;
  }

  /** Returns whether this node hears few of its machines while a peer may hear more. */
  private boolean isCutOffFromMost() {
    return silentCount >= MIN_SILENT_MACHINES
        && heardCount * MIN_SILENT_PER_HEARD < silentCount
        && machineSilence.isTermOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && !settings.peers().isEmpty()
        && shared.connectivity().canPeerServe();
  }

  private void checkMachine(Machine machine) {
    machineCount += machine.lifecycle.isTerminating() ? 0 : 1;
    boolean isSilent = machineSilence.isSilent(machine);
    boolean isHeard = MachineSilenceDetector.hasBeenHeard(machine);
    // A machine that has not been heard yet counts as silent once it has missed one probe. If it
    // counted only after several missed probes, the detection of zone outages would compare the
    // first machines that are found unresponsive with only the few machines heard so far.
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

  /**
   * Removes or replaces a machine that an earlier leader recorded and this one has not heard in
   * time.
   */
  private void replaceUnheard(Machine machine) {
    if (machine.assigned.isEmpty()
        && machineSilence.isTermOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && machine.lifecycle.listedAt() == MonotonicTime.UNSET) {
      machines.remove(machine);
    } else if (machineSilence.canReplaceUnheard(machine)) {
      scheduling.autoscaler().terminate(machine, "not heard of since the change of leader");
    }
  }

  private void checkHeard(Machine machine, boolean isSilent) {
    boolean missesHeartbeats = machine.isMissingHeartbeats(runtime.now());
    boolean isLost = isSilent || missesHeartbeats;
    silentCount += isLost && !machine.lifecycle.isTerminating() ? 1 : 0;
    heardCount += isLost ? 0 : 1;
    missingHeartbeatsCount += missesHeartbeats && !isSilent ? 1 : 0;
    services.failureHandler().reassess(machine);
    if (isSilent) {
      probeOrReplaceSilent(machine);
    } else {
      replaceUnreachable(machine);
      replaceMissingHeartbeats(machine);
    }
  }

  /** Probes or replaces a machine whose heartbeats arrive but which may receive no messages. */
  private void replaceUnreachable(Machine machine) {
    if (machine.lifecycle.isTerminating() || machine.reachability.isProven()) {
      return;
    }
    reachability.probeIfDue(machine);
    unreachableCount +=
        machine.reachability.unansweredMessages() >= Reachability.MIN_UNANSWERED_MESSAGES ? 1 : 0;
    if (machine.reachability.isUnreachable(runtime.now(), unreachableLimitMs())
        && lastUnreachableCount * 2 < lastMachineCount
        && machineSilence.canReplaceHeard()) {
      scheduling.autoscaler().terminate(machine, "sends heartbeats, but receives no messages");
    }
  }

  /**
   * Returns the time in milliseconds after which a machine that has received no message is
   * replaced.
   */
  private long unreachableLimitMs() {
    return Math.max(
        HeartbeatProcessor.maxHeartbeatIntervalMs(settings),
        (long) (HALF_LEASE_MS_PER_S * settings.workers().leaseS()));
  }

  /** Replaces a machine that answers messages but whose own heartbeats do not arrive. */
  private void replaceMissingHeartbeats(Machine machine) {
    boolean isOverdue =
        runtime.now() - HeartbeatProcessor.leaseExpiryMs(settings)
            > machine.session.heartbeatDueAt();
    if (!machine.lifecycle.isTerminating()
        && isOverdue
        && lastMissingHeartbeatsCount * 2 < lastMachineCount
        && machineSilence.canReplaceHeard()) {
      scheduling
          .autoscaler()
          .terminate(machine, "answers messages, but its heartbeats reach no controller");
    }
  }

  private void probeOrReplaceSilent(Machine machine) {
    if (machine.isProbing() || machine.lifecycle.isTerminating() || machine.address() == null) {
      return;
    }
    if (runtime.now() > machine.preemptionAt()) {
      if (machineSilence.canReplaceHeard()) {
        scheduling.autoscaler().terminate(machine, "silent after the end of its preemption notice");
      }
    } else if (machine.commands().isIdle()) {
      machine.beginProbe();
      machine.commands().probe();
    }
  }

  /**
   * Returns whether this node should resign because no worker reaches it while a peer may be able
   * to serve workers.
   */
  private boolean isCutOffFromWorkers() {
    WorkerSilenceDetector workers = machineSilence.workerSilence();
    workers.endSweep(lastMachineCount, runtime.now());
    boolean isReassignmentPeriodOver = machineSilence.isReassignmentPeriodOver();
    probeSample(isReassignmentPeriodOver ? 0 : workers.probesNeeded());
    boolean isUnheard = workers.isIsolated(isReassignmentPeriodOver) && !settings.peers().isEmpty();
    return workers.countHandoverSweep(isUnheard, shared.connectivity().canPeerServe());
  }

  /**
   * Probes machines that are spread evenly over the cluster.
   *
   * @param size the approximate number of machines to probe; 0 for none
   */
  private void probeSample(int size) {
    List<Machine> all = size == 0 ? List.of() : machines.present();
    for (int i = 0; i < all.size(); i += Math.max(1, all.size() / size)) {
      Machine machine = all.get(i);
      if (machine.address() != null && MachineSilenceDetector.hasBeenUp(machine)) {
        machine.commands().probe();
      }
    }
  }

  /** Returns the gauges of the last sweep, by metric name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.machines.unreachable", (double) lastUnreachableCount,
        "snowturn.machines.missing.heartbeats", (double) lastMissingHeartbeatsCount);
  }
}
