package org.snowturn.core.connectivity;

/**
 * Whether a leader is heard by workers at all. Heartbeats that stop altogether are the leader's own
 * trouble, and are known long before its machines, one after the other, would seem to have died and
 * be deleted. Counted in sweeps, not by the clock: a node that was paused has not listened
 * meanwhile.
 */
public final class WorkerSilence {
  private static final int MIN_SILENT_SWEEPS = 6;

  /** So many messages that were due and did not come are no accident. */
  private static final int MIN_MISSED_MESSAGES = 15;

  /** How many machines to probe for each missed message that makes the silence certain. */
  private static final int PROBES_PER_MISSED_MESSAGE = 3;

  /** Two in a row: at the end of a cut all links come back, but not in the same moment. */
  private static final int MIN_HANDOVER_SWEEPS = 2;

  /** After a silence, probes that it made fail time out, and workers come back. */
  private static final long RECOVERY_MS = 2_500;

  private final long sweepMs;
  private final double heartbeatS;
  private boolean heardSinceSweep;
  private int silentSweeps;
  private int unansweredProbes;
  private int handoverSweeps;
  private boolean silent;
  private boolean everSilent;
  private long silentAt;

  /**
   * A leader that has just begun.
   *
   * @param sweepMs the time between two sweeps
   * @param heartbeatS the interval of the workers' heartbeats
   */
  public WorkerSilence(long sweepMs, double heartbeatS) {
    this.sweepMs = sweepMs;
    this.heartbeatS = heartbeatS;
  }

  /** A worker has sent a heartbeat or answered. */
  public void heard() {
    heardSinceSweep = true;
  }

  /** A probe or a command got no answer. */
  public void unanswered() {
    unansweredProbes++;
  }

  /**
   * Counts one sweep.
   *
   * @param machines all that have been up: counted by those that are heard at present, a node that
   *     no machine reaches any more would soon expect none to
   */
  public void sweep(int machines, long nowMs) {
    silentSweeps = heardSinceSweep ? 0 : silentSweeps + 1;
    unansweredProbes = heardSinceSweep ? 0 : unansweredProbes;
    heardSinceSweep = false;
    double missedHeartbeats = silentSweeps * sweepMs / 1000.0 * machines / heartbeatS;
    silent = silentSweeps >= MIN_SILENT_SWEEPS && missedHeartbeats > MIN_MISSED_MESSAGES;
    if (silent) {
      everSilent = true;
      silentAt = nowMs;
    }
  }

  /**
   * Whether no worker reaches this node any more.
   *
   * @param workersHadTime whether workers have had the time to find this leader. Before, they may
   *     still wait for an answer from the previous one, and only unanswered probes tell
   */
  public boolean isolated(boolean workersHadTime) {
    return silent && (workersHadTime || unansweredProbes >= MIN_MISSED_MESSAGES);
  }

  /** How many machines to probe now, so that it becomes clear whether any is reached; mostly 0. */
  public int probesWanted() {
    return silent && unansweredProbes < MIN_MISSED_MESSAGES && silentSweeps % MIN_SILENT_SWEEPS == 0
        ? PROBES_PER_MISSED_MESSAGE * MIN_MISSED_MESSAGES
        : 0;
  }

  /**
   * Whether workers are heard, and have been for a while. A leader that stays through a cut, since
   * no peer is better placed, must not judge single machines meanwhile: the first to fall silent
   * would be taken for dead while the others are not yet late.
   */
  public boolean mayJudgeMachines(long nowMs) {
    return !everSilent || nowMs - silentAt > RECOVERY_MS;
  }

  /** Counts a sweep; returns whether to leave leadership to a node that can serve. */
  public boolean shouldHandOver(boolean cannotServe, boolean betterElsewhere) {
    handoverSweeps = cannotServe && betterElsewhere ? handoverSweeps + 1 : 0;
    return handoverSweeps >= MIN_HANDOVER_SWEEPS;
  }
}
