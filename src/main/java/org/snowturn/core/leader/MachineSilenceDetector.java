package org.snowturn.core.leader;

import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.autoscaling.ZoneOutages;
import org.snowturn.core.connectivity.WorkerSilenceDetector;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;

/**
 * Detector of silent machines, which also decides whether a silence is caused by the machine itself
 * rather than by this node's network or an outage of a whole zone.
 */
final class MachineSilenceDetector {
  private final CoreRuntime runtime;
  private final Settings settings;
  private final ZoneOutages zoneOutages;
  private final LeaderRecovery recovery;
  private final WorkerSilenceDetector workerSilence;
  private final long termStartedAt;

  MachineSilenceDetector(
      LeaderDependencies shared, ZoneOutages zoneOutages, LeaderRecovery recovery) {
    this.runtime = shared.runtime();
    this.settings = shared.settings();
    this.zoneOutages = zoneOutages;
    this.recovery = recovery;
    this.workerSilence =
        new WorkerSilenceDetector(HealthSweep.INTERVAL_MS, settings.workers().heartbeatIntervalS());
    this.termStartedAt = runtime.now();
  }

  /** Returns whether the machine was heard by this leader or recorded by an earlier one. */
  static boolean hasBeenUp(Machine machine) {
    return hasBeenHeard(machine) || machine.isRegistered();
  }

  /** Returns whether this leader has received a heartbeat of the machine. */
  static boolean hasBeenHeard(Machine machine) {
    return machine.lastHeartbeatAt() != MonotonicTime.UNSET;
  }

  /** Records that a worker has sent a heartbeat to this node or answered one of its messages. */
  void onWorkerHeard() {
    workerSilence.onWorkerHeard();
  }

  /** Records that a message to a worker got no answer. */
  void onMessageUnanswered() {
    workerSilence.onMessageUnanswered();
  }

  /** Returns the detector that tells whether workers as a whole are silent towards this node. */
  WorkerSilenceDetector workerSilence() {
    return workerSilence;
  }

  /** Returns whether the term is older than the given age in milliseconds. */
  boolean isTermOlderThan(long ageMs) {
    return runtime.now() - termStartedAt > ageMs;
  }

  /** Returns whether workers have had enough time to find this leader. */
  boolean isReassignmentPeriodOver() {
    return isTermOlderThan(HeartbeatProcessor.maxLeaderDiscoveryMs(settings));
  }

  /** Returns whether a machine that has been up has not been heard in time. */
  boolean isSilent(Machine machine) {
    return hasBeenHeard(machine)
        ? runtime.now() > machine.session.silentAt()
        : recovery.isUnresponsive(machine) || isReassignmentPeriodOver();
  }

  /**
   * Returns whether a fault of a machine that this leader has heard can be attributed to the
   * machine itself, so that it can be replaced.
   */
  boolean canReplaceHeard() {
    return isReassignmentPeriodOver() && canTrustSilence();
  }

  /**
   * Returns whether a machine that this leader has not heard yet can be replaced. It must have left
   * repeated probes unanswered, or been silent for longer than a worker takes to find a new leader.
   */
  boolean canReplaceUnheard(Machine machine) {
    return (isReassignmentPeriodOver() || recovery.isUnresponsive(machine)) && canTrustSilence();
  }

  /** Returns whether this node is connected well enough to attribute silence to single machines. */
  private boolean canTrustSilence() {
    return workerSilence.canTrustMachineSilence(runtime.now()) && zoneOutages.isConnected();
  }
}
