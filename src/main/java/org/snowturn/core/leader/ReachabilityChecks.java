package org.snowturn.core.leader;

import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.autoscaling.Autoscaler;
import org.snowturn.core.connectivity.ConnectivityMonitor;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.Reachability;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Heartbeat;

/** Learns from heartbeats, replies and missing replies which machines receive messages. */
final class ReachabilityChecks {
  /** So many messages of a machine may overtake one of its replies. */
  private static final int MAX_OVERTAKEN = 10;

  /** A worker that has just been given the token sends another heartbeat within this time. */
  private static final long NEXT_HEARTBEAT_MS = 1_500;

  /** A machine that left a message unanswered gets no new work for so long, or until it reports. */
  private static final long BLOCKED_MS = 1_500;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Autoscaler autoscaler;
  private final LeaderRecovery recovery;
  private final ConnectivityMonitor connectivity;
  private final MachineSilence silence;
  private long staleHeartbeats;

  ReachabilityChecks(
      LeaderDependencies node,
      Autoscaler autoscaler,
      LeaderRecovery recovery,
      MachineSilence silence) {
    this.runtime = node.runtime();
    this.settings = node.settings();
    this.connectivity = node.connectivity();
    this.autoscaler = autoscaler;
    this.recovery = recovery;
    this.silence = silence;
  }

  /**
   * Whether a heartbeat is older than one that has come already: a copy, or one that its worker has
   * given up. Whatever it is answered renews nothing.
   */
  boolean isStale(Machine machine, Heartbeat heartbeat) {
    boolean stale =
        heartbeat.agentEpoch() < machine.epoch()
            || (heartbeat.agentEpoch() == machine.epoch()
                && machine.reachability.isStale(heartbeat.sequence()));
    staleHeartbeats += stale ? 1 : 0;
    return stale;
  }

  /** A heartbeat has come that is not stale. */
  void heartbeatReceived() {
    silence.workerHeard();
  }

  /** That heartbeat was applied. */
  void heartbeatApplied(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.agentEpoch() == machine.epoch()) {
      machine.reachability.heartbeatReceived(
          heartbeat.sequence(), runtime.now(), HeartbeatProcessor.heartbeatDueMs(settings));
    }
    probeIfDue(machine);
  }

  /** The machine has answered a message; the heartbeat in its reply has not been applied yet. */
  void messageAnswered(Machine machine, Heartbeat heartbeat) {
    silence.workerHeard();
    connectivity.workerHeard();
    machine.endProbe();
    if (machine.reachability.replyShowsNewIncarnation(isOutdated(machine, heartbeat))) {
      autoscaler.terminate(machine, "has started anew");
    }
  }

  /** Whether a reply is older than what is known by more than what overtakes it on the way. */
  private static boolean isOutdated(Machine machine, Heartbeat heartbeat) {
    return heartbeat.agentEpoch() < machine.epoch()
        || (heartbeat.agentEpoch() == machine.epoch()
            && heartbeat.sequence() + MAX_OVERTAKEN < machine.session.heartbeatSequence());
  }

  /**
   * Probes a machine that sends heartbeats, to see whether it receives anything. One that is new to
   * this leader is given the time to come back with the token; those of a new leader are probed by
   * the recovery, in its order.
   */
  void probeIfDue(Machine machine) {
    boolean inTurn =
        machine.session.isAcknowledged()
            || (recovery.mostHeard()
                && machine.reachability.answeredAgoMs(runtime.now()) > NEXT_HEARTBEAT_MS);
    if (inTurn
        && machine.address() != null
        && machine.commands().isIdle()
        && machine.reachability.claimProbe(runtime.now())) {
      machine.commands().probe();
    }
  }

  /** A message to the machine got no answer. */
  void messageUnanswered(Machine machine) {
    // Commands count as well as probes: a dead machine with free room is given new ones again and
    // again, and would never be probed.
    machine.setBlockedUntil(Math.max(machine.blockedUntil(), runtime.now() + BLOCKED_MS));
    recovery.unanswered(machine);
    silence.workerUnanswered();
    if (machine.reachability.unansweredMessages() == Reachability.UNREACHABLE_AFTER) {
      runtime
          .events()
          .info(LogEvent.MACHINE_UNREACHABLE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.UNANSWERED, machine.reachability.unansweredMessages())
          .write();
    }
    boolean silent = MachineSilence.hasBeenUp(machine) && silence.isSilent(machine);
    if (machine.isProbing() || silent) {
      suspect(machine);
    }
  }

  /** A second failed probe of a machine that was heard replaces it. */
  private void suspect(Machine machine) {
    machine.endProbe();
    if (machine.isSuspected() && MachineSilence.isHeard(machine) && silence.mayReplace()) {
      autoscaler.terminate(machine, "silent");
    }
    machine.markSuspected();
  }

  /** The gauges of these checks by name. */
  Map<String, Double> gauges() {
    return Map.of("snowturn.heartbeats.late", (double) staleHeartbeats);
  }
}
