package org.snowturn.core.connectivity;

/**
 * Whether a leader is heard by workers at all. Heartbeats that stop altogether are the leader's own
 * trouble, and are known long before its machines, one after the other, would seem to have died and
 * be deleted. Counted in sweeps, not by the clock: a node that was paused has not listened
 * meanwhile.
 */
public final class WorkerSilenceDetector {
  private static final int MIN_SILENT_SWEEPS = 6;

  /** So many messages that were due and did not come are no accident. */
  private static final int MIN_MISSED_MESSAGES = 15;

  /** How many machines to probe for each missed message that makes the silence certain. */
  private static final int PROBES_PER_MISSED_MESSAGE = 3;

  /** Two in a row: at the end of a cut all links come back, but not in the same moment. */
  private static final int MIN_HANDOVER_SWEEPS = 2;

  /** After a silence, probes that it made fail time out, and workers come back. */
  private static final long RECOVERY_PERIOD_MS = 2_500;

  private final long sweepIntervalMs;
  private final double heartbeatIntervalS;
  private boolean isHeardSinceSweep;
  private int silentSweeps;
  private int unansweredMessages;
  private int handoverSweeps;
  private boolean isSilent;
  private boolean hasBeenSilent;
  private long lastSilentAt;

  /**
   * A leader that has just begun.
   *
   * @param sweepIntervalMs the time between two sweeps
   * @param heartbeatIntervalS the interval of the workers' heartbeats
   */
  public WorkerSilenceDetector(long sweepIntervalMs, double heartbeatIntervalS) {
    this.sweepIntervalMs = sweepIntervalMs;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /** A worker has sent a heartbeat or answered. */
  public void onWorkerHeard() {
    isHeardSinceSweep = true;
  }

  /** A probe or a command got no answer. */
  public void onMessageUnanswered() {
    unansweredMessages++;
  }

  /**
   * Counts one sweep.
   *
   * @param machinesUp all that have been up: counted by those that are heard at present, a node
   *     that no machine reaches any more would soon expect none to
   */
  public void endSweep(int machinesUp, long nowMs) {
    silentSweeps = isHeardSinceSweep ? 0 : silentSweeps + 1;
    unansweredMessages = isHeardSinceSweep ? 0 : unansweredMessages;
    isHeardSinceSweep = false;
    double missedMessages =
        silentSweeps * sweepIntervalMs / 1000.0 * machinesUp / heartbeatIntervalS;
    isSilent = silentSweeps >= MIN_SILENT_SWEEPS && missedMessages > MIN_MISSED_MESSAGES;
    if (isSilent) {
      hasBeenSilent = true;
      lastSilentAt = nowMs;
    }
  }

  /**
   * Whether no worker reaches this node any more.
   *
   * @param hasReassignmentEnded whether workers have had the time to find this leader. Before, they
   *     may still wait for an answer from the previous one, and only unanswered probes tell
   */
  public boolean isIsolated(boolean hasReassignmentEnded) {
    return isSilent && (hasReassignmentEnded || unansweredMessages >= MIN_MISSED_MESSAGES);
  }

  /** How many machines to probe now, so that it becomes clear whether any is reached; mostly 0. */
  public int probesNeeded() {
    return isSilent
            && unansweredMessages < MIN_MISSED_MESSAGES
            && silentSweeps % MIN_SILENT_SWEEPS == 0
        ? PROBES_PER_MISSED_MESSAGE * MIN_MISSED_MESSAGES
        : 0;
  }

  /**
   * Whether workers are heard, and have been for a while. A leader that stays through a cut, since
   * no peer is better placed, must not judge single machines meanwhile: the first to fall silent
   * would be taken for dead while the others are not yet late.
   */
  public boolean canTrustMachineSilence(long nowMs) {
    return !hasBeenSilent || nowMs - lastSilentAt > RECOVERY_PERIOD_MS;
  }

  /** Counts a sweep; returns whether to leave leadership to a node that can serve. */
  public boolean countHandoverSweep(boolean isCutOff, boolean canPeerServe) {
    handoverSweeps = isCutOff && canPeerServe ? handoverSweeps + 1 : 0;
    return handoverSweeps >= MIN_HANDOVER_SWEEPS;
  }
}
