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

/**
 * Tracks by heartbeats, replies and missing replies which machines receive messages, and sends the
 * probes that are needed to find out.
 */
final class ReachabilityChecks {
  /**
   * Maximum number of heartbeats of a machine that may overtake one of its replies on the way to
   * this node.
   */
  private static final int MAX_SEQUENCE_LAG = 10;

  /** Maximum time until a worker that has just received a new token sends its next heartbeat. */
  private static final long MAX_NEXT_HEARTBEAT_MS = 1_500;

  /**
   * Time for which a machine gets no new tasks after it has left a message unanswered, unless it
   * sends a heartbeat before.
   */
  private static final long BLOCKED_MS = 1_500;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Autoscaler autoscaler;
  private final LeaderRecovery recovery;
  private final ConnectivityMonitor connectivity;
  private final MachineSilenceDetector machineSilence;
  private long staleHeartbeatCount;

  ReachabilityChecks(
      LeaderDependencies shared,
      Autoscaler autoscaler,
      LeaderRecovery recovery,
      MachineSilenceDetector machineSilence) {
    this.runtime = shared.runtime();
    this.settings = shared.settings();
    this.connectivity = shared.connectivity();
    this.autoscaler = autoscaler;
    this.recovery = recovery;
    this.machineSilence = machineSilence;
  }

  /**
   * Returns whether a heartbeat is not newer than one that has already arrived. It is then a copy,
   * or its worker no longer waits for the answer, so an answer would not renew the lease.
   */
  boolean isStale(Machine machine, Heartbeat heartbeat) {
    boolean isStale =
        heartbeat.agentEpoch() < machine.epoch()
            || (heartbeat.agentEpoch() == machine.epoch()
                && machine.reachability.isStale(heartbeat.sequence()));
    staleHeartbeatCount += isStale ? 1 : 0;
    return isStale;
  }

  /** Records that a heartbeat has arrived that is not stale. */
  void onHeartbeatReceived() {
    machineSilence.onWorkerHeard();
  }

  /** Updates the machine's reachability after its heartbeat has been applied. */
  void onHeartbeatApplied(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.agentEpoch() == machine.epoch()) {
      machine.reachability.onHeartbeatReceived(
          heartbeat.sequence(),
          runtime.now(),
          HeartbeatProcessor.maxAnsweredHeartbeatIntervalMs(settings));
    }
    probeIfDue(machine);
  }

  /**
   * Handles the reply of a machine to a message.
   *
   * @param heartbeat the heartbeat in the reply, which has not been applied yet
   */
  void onMessageAnswered(Machine machine, Heartbeat heartbeat) {
    machineSilence.onWorkerHeard();
    connectivity.onWorkerHeard();
    machine.endProbe();
    if (machine.reachability.detectNewIncarnation(isOutdated(machine, heartbeat))) {
      autoscaler.terminate(machine, "has started anew");
    }
  }

  /**
   * Returns whether a reply is older than the newest heartbeat by more than heartbeats that
   * overtook it can explain.
   */
  private static boolean isOutdated(Machine machine, Heartbeat heartbeat) {
    return heartbeat.agentEpoch() < machine.epoch()
        || (heartbeat.agentEpoch() == machine.epoch()
            && heartbeat.sequence() + MAX_SEQUENCE_LAG < machine.session.heartbeatSequence());
  }

  /**
   * Probes a machine that sends heartbeats, to find out whether it receives messages.
   *
   * <p>A machine that has not acknowledged the token yet is first given the time to send its next
   * heartbeat, which shows that it has received the token. Until most machines have been heard,
   * such machines are probed only by the recovery, in the order of their urgency.
   */
  void probeIfDue(Machine machine) {
    boolean canProbe =
        machine.session.isAcknowledged()
            || (recovery.hasHeardMostMachines()
                && machine.reachability.sinceHeartbeatAnswerMs(runtime.now())
                    > MAX_NEXT_HEARTBEAT_MS);
    if (canProbe
        && machine.address() != null
        && machine.commands().isIdle()
        && machine.reachability.claimProbe(runtime.now())) {
      machine.commands().probe();
    }
  }

  /** Handles a message to the machine that got no answer. */
  void onMessageUnanswered(Machine machine) {
    // Unanswered commands count like unanswered probes. A dead machine with free room keeps getting
    // new commands, so its queue is never idle and it would never be probed.
    machine.setBlockedUntil(Math.max(machine.blockedUntil(), runtime.now() + BLOCKED_MS));
    recovery.onMessageUnanswered(machine);
    machineSilence.onMessageUnanswered();
    if (machine.reachability.unansweredMessages() == Reachability.MIN_UNANSWERED_MESSAGES) {
      runtime
          .events()
          .info(LogEvent.MACHINE_UNREACHABLE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.UNANSWERED, machine.reachability.unansweredMessages())
          .write();
    }
    boolean isSilent =
        MachineSilenceDetector.hasBeenUp(machine) && machineSilence.isSilent(machine);
    if (machine.isProbing() || isSilent) {
      suspectOrReplace(machine);
    }
  }

  /**
   * Marks a machine as suspected after an unanswered message. A machine that was suspected already
   * and has been heard by this leader is replaced.
   */
  private void suspectOrReplace(Machine machine) {
    machine.endProbe();
    if (machine.isSuspected()
        && MachineSilenceDetector.hasBeenHeard(machine)
        && machineSilence.canReplaceHeard()) {
      autoscaler.terminate(machine, "silent");
    }
    machine.markSuspected();
  }

  /** Returns the gauges of these checks, by metric name. */
  Map<String, Double> gauges() {
    return Map.of("snowturn.heartbeats.late", (double) staleHeartbeatCount);
  }
}
