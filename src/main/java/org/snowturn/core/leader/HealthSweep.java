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
  private static final int MIN_SILENT = 3;

  /** The node is cut off where silent machines are more than so many times those heard. */
  private static final int CUT_OFF_RATIO = 4;

  /** Half a lease, for a lease in seconds. */
  private static final long HALF_LEASE_MS_PER_S = 500;

  private final LeaderDependencies node;
  private final CoreRuntime runtime;
  private final Settings settings;
  private final MachineIndex machines;
  private final AssignmentServices services;
  private final SchedulingServices scheduling;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final MachineSilence silence;

  /** Machines that have been up, in the last sweep. */
  private int total;

  /** Machines that send heartbeats and left several messages unanswered, in the last sweep. */
  private int unreachable;

  /** Machines that answer messages and miss heartbeats, in the last sweep. */
  private int missingHeartbeats;

  private int countTotal;
  private int countUnreachable;
  private int countMissingHeartbeats;
  private int countHeard;
  private int countSilent;

  HealthSweep(
      LeaderDependencies node,
      AssignmentServices services,
      SchedulingServices scheduling,
      LeaderRecovery recovery,
      ReachabilityChecks reachability,
      MachineSilence silence) {
    this.node = node;
    this.runtime = node.runtime();
    this.settings = node.settings();
    this.machines = services.machines();
    this.services = services;
    this.scheduling = scheduling;
    this.recovery = recovery;
    this.reachability = reachability;
    this.silence = silence;
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
        machine.setMachineType(node.machineTypes().get(machine.type()));
      }
      services.heartbeats().leaseExpired(machine);
      if (MachineSilence.hasBeenUp(machine)) {
        check(machine);
      }
    }
    scheduling.zoneOutages().evaluate();
    total = countTotal;
    unreachable = countUnreachable;
    missingHeartbeats = countMissingHeartbeats;
    return isCutOffFromMost() ? "most machines are out of reach" : null;
  }

  private void resetCounts() {
    countTotal = 0;
    countUnreachable = 0;
    countMissingHeartbeats = 0;
    countHeard = 0;
    countSilent = 0;
  }

  /** Whether this node hears few of its machines while a peer might hear more. */
  private boolean isCutOffFromMost() {
    return countSilent >= MIN_SILENT
        && countHeard * CUT_OFF_RATIO < countSilent
        && silence.termOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && !settings.peers().isEmpty()
        && node.connectivity().otherMayServe();
  }

  private void check(Machine machine) {
    countTotal += machine.isTerminating() ? 0 : 1;
    boolean silent = silence.isSilent(machine);
    boolean heard = MachineSilence.isHeard(machine);
    // Those that have not been heard yet count once they have left a probe unanswered: else the
    // first that are probed often enough would be judged by the few that were heard.
    boolean missedProbe = !heard && recovery.hasMissedProbe(machine);
    if (silent || missedProbe || heard) {
      scheduling.zoneOutages().count(machine, silent || missedProbe);
    }
    if (heard) {
      checkHeard(machine, silent);
    } else if (silent) {
      replaceUnheard(machine);
    }
  }

  /** A machine that an earlier leader recorded and this one has not heard, though it should. */
  private void replaceUnheard(Machine machine) {
    if (machine.assigned.isEmpty()
        && silence.termOlderThan(2 * HeartbeatProcessor.leaseExpiryMs(settings))
        && machine.listedAt() == MonotonicTime.NEVER) {
      machines.remove(machine);
    } else if (silence.mayReplaceUnheard(machine)) {
      scheduling.autoscaler().terminate(machine, "not heard of since the change of leader");
    }
  }

  private void checkHeard(Machine machine, boolean silent) {
    boolean missesHeartbeats = machine.isMissingHeartbeats(runtime.now());
    boolean lost = silent || missesHeartbeats;
    countSilent += lost && !machine.isTerminating() ? 1 : 0;
    countHeard += lost ? 0 : 1;
    countMissingHeartbeats += missesHeartbeats && !silent ? 1 : 0;
    services.failureHandler().review(machine);
    if (silent) {
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
    countUnreachable +=
        machine.reachability.unansweredMessages() >= Reachability.UNREACHABLE_AFTER ? 1 : 0;
    if (machine.reachability.isUnreachable(runtime.now(), unreachableLimitMs())
        && unreachable * 2 < total
        && silence.mayReplace()) {
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
    boolean forLong =
        runtime.now() - HeartbeatProcessor.leaseExpiryMs(settings)
            > machine.session.heartbeatDueAt();
    if (!machine.isTerminating()
        && forLong
        && missingHeartbeats * 2 < total
        && silence.mayReplace()) {
      scheduling.autoscaler().terminate(machine, "reaches no controller");
    }
  }

  private void probeOrReplaceSilent(Machine machine) {
    if (machine.isProbing() || machine.isTerminating() || machine.address() == null) {
      return;
    }
    if (runtime.now() > machine.preemptionAt()) {
      if (silence.mayReplace()) {
        scheduling.autoscaler().terminate(machine, "taken back");
      }
    } else if (machine.commands().isIdle()) {
      machine.beginProbe();
      machine.commands().probe();
    }
  }

  /** Whether this node should resign since no worker reaches it and a peer is reached. */
  private boolean isCutOffFromWorkers() {
    WorkerSilence workers = silence.workers();
    workers.sweep(total, runtime.now());
    boolean reassigned = silence.workersReassigned();
    probeSample(reassigned ? 0 : workers.probesWanted());
    boolean unheard = workers.isolated(reassigned) && !settings.peers().isEmpty();
    return workers.shouldHandOver(unheard, node.connectivity().otherMayServe());
  }

  /** Probes about so many machines from all over the cluster. */
  private void probeSample(int size) {
    List<Machine> all = size == 0 ? List.of() : machines.present();
    for (int i = 0; i < all.size(); i += Math.max(1, all.size() / size)) {
      Machine machine = all.get(i);
      if (machine.address() != null && MachineSilence.hasBeenUp(machine)) {
        machine.commands().probe();
      }
    }
  }

  /** The gauges of the last sweep by name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.machines.unreachable", (double) unreachable,
        "snowturn.machines.missing.heartbeats", (double) missingHeartbeats);
  }
}
