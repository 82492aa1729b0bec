package org.snowturn.core.leader;

import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.autoscaling.ZoneOutages;
import org.snowturn.core.connectivity.WorkerSilence;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;

/**
 * Judges the silence of machines: whether one should have been heard by now, and whether its
 * silence is its own rather than that of this node's network or of a whole zone.
 */
final class MachineSilence {
  private final CoreRuntime runtime;
  private final Settings settings;
  private final ZoneOutages zoneOutages;
  private final LeaderRecovery recovery;
  private final WorkerSilence workerSilence;
  private final long termStartedAt;

  MachineSilence(
      LeaderDependencies dependencies, ZoneOutages zoneOutages, LeaderRecovery recovery) {
    this.runtime = dependencies.runtime();
    this.settings = dependencies.settings();
    this.zoneOutages = zoneOutages;
    this.recovery = recovery;
    this.workerSilence = new WorkerSilence(HealthSweep.INTERVAL_MS, settings.workers().reportS());
    this.termStartedAt = runtime.now();
  }

  /** Heard by this leader, or recorded by an earlier one. */
  static boolean hasBeenUp(Machine machine) {
    return hasBeenHeard(machine) || machine.isRegistered();
  }

  /** Whether this leader has had a heartbeat of the machine. */
  static boolean hasBeenHeard(Machine machine) {
    return machine.lastHeartbeatAt() != MonotonicTime.NEVER;
  }

  /** A worker has sent a message to this node. */
  void onWorkerHeard() {
    workerSilence.heard();
  }

  /** A message to a worker got no answer. */
  void onMessageUnanswered() {
    workerSilence.unanswered();
  }

  /** How workers are heard by this node as a whole. */
  WorkerSilence workerSilence() {
    return workerSilence;
  }

  /** Whether the term is older than this, in milliseconds. */
  boolean isTermOlderThan(long ageMs) {
    return runtime.now() - termStartedAt > ageMs;
  }

  /** Whether workers have had the time to find this leader. */
  boolean isReassignmentPeriodOver() {
    return isTermOlderThan(HeartbeatProcessor.reassignmentMs(settings));
  }

  /** Whether a machine that has been up should have been heard again by now. */
  boolean isSilent(Machine machine) {
    return hasBeenHeard(machine)
        ? runtime.now() > machine.session.silentFrom()
        : recovery.isUnresponsive(machine) || isReassignmentPeriodOver();
  }

  /** Whether the silence of a machine that was heard is its own, so that it may be replaced. */
  boolean canReplaceHeard() {
    return isReassignmentPeriodOver() && canTrustSilence();
  }

  /**
   * Whether a machine that this leader has not heard yet may be replaced: it left probes
   * unanswered, or is silent for longer than its way to a new leader takes.
   */
  boolean canReplaceUnheard(Machine machine) {
    return (isReassignmentPeriodOver() || recovery.isUnresponsive(machine)) && canTrustSilence();
  }

  private boolean canTrustSilence() {
    return workerSilence.mayJudgeMachines(runtime.now()) && zoneOutages.isConnected();
  }
}
