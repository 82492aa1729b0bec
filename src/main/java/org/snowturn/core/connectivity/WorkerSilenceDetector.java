package org.snowturn.core.connectivity;

/**
 * Detector for a leader that receives no messages from any worker. In that case the leader's own
 * network is the likely fault, and it has to be detected before the leader considers its machines
 * dead, one after the other, and deletes them. Silence is counted in health sweeps, not by the
 * clock, since a node that was paused did not receive anything during the pause.
 */
public final class WorkerSilenceDetector {
  /** Minimum number of consecutive sweeps without any message that counts as silence. */
  private static final int MIN_SILENT_SWEEPS = 6;

  /** Minimum number of missed messages that rules out a coincidence. */
  private static final int MIN_MISSED_MESSAGES = 15;

  /** Number of probes to send for each unanswered message that is needed to confirm a silence. */
  private static final int PROBES_PER_MISSED_MESSAGE = 3;

  /**
   * Minimum number of consecutive sweeps before a handover. One is not enough, since the links do
   * not all recover at the same moment when a network partition ends.
   */
  private static final int MIN_HANDOVER_SWEEPS = 2;

  /**
   * Time after a silence within which the probes that failed during it time out and workers
   * reconnect.
   */
  private static final long RECOVERY_PERIOD_MS = 2_500;

  private final long sweepIntervalMs;
  private final double heartbeatIntervalS;
  private boolean hasHeardWorkerSinceSweep;
  private int silentSweeps;
  private int unansweredMessages;
  private int handoverSweeps;
  private boolean isSilent;
  private boolean hasBeenSilent;
  private long lastSilentAt;

  /**
   * Creates a detector for a leader whose term begins now.
   *
   * @param sweepIntervalMs time between two health sweeps, in milliseconds
   * @param heartbeatIntervalS time between two heartbeats of a worker, in seconds
   */
  public WorkerSilenceDetector(long sweepIntervalMs, double heartbeatIntervalS) {
    this.sweepIntervalMs = sweepIntervalMs;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /** Records that a worker sent a heartbeat or answered. */
  public void onWorkerHeard() {
    hasHeardWorkerSinceSweep = true;
  }

  /** Records that a probe or a command was not answered. */
  public void onMessageUnanswered() {
    unansweredMessages++;
  }

  /**
   * Ends a sweep and updates whether the workers are silent.
   *
   * @param machinesUp number of machines that have been up, whether or not they are heard now. If
   *     only those heard now counted, an isolated node would soon expect no messages.
   * @param nowMs present time of the monotonic clock, in milliseconds
   */
  public void endSweep(int machinesUp, long nowMs) {
    silentSweeps = hasHeardWorkerSinceSweep ? 0 : silentSweeps + 1;
    unansweredMessages = hasHeardWorkerSinceSweep ? 0 : unansweredMessages;
    hasHeardWorkerSinceSweep = false;
    double missedMessages =
        silentSweeps * sweepIntervalMs / 1000.0 * machinesUp / heartbeatIntervalS;
    isSilent = silentSweeps >= MIN_SILENT_SWEEPS && missedMessages > MIN_MISSED_MESSAGES;
    if (isSilent) {
      hasBeenSilent = true;
      lastSilentAt = nowMs;
    }
  }

  /**
   * Returns whether this node receives nothing from any worker.
   *
   * @param hasReassignmentEnded whether workers have had the time to find this leader. Until then
   *     they may be waiting for an answer from the previous leader, so only unanswered probes and
   *     commands count as evidence.
   */
  public boolean isIsolated(boolean hasReassignmentEnded) {
    return isSilent && (hasReassignmentEnded || unansweredMessages >= MIN_MISSED_MESSAGES);
  }

  /** Returns the number of machines to probe now to confirm a silence; 0 if none is needed. */
  public int probesNeeded() {
    return isSilent
            && unansweredMessages < MIN_MISSED_MESSAGES
            && silentSweeps % MIN_SILENT_SWEEPS == 0
        ? PROBES_PER_MISSED_MESSAGE * MIN_MISSED_MESSAGES
        : 0;
  }

  /**
   * Returns whether the silence of a single machine is evidence about that machine. It is not
   * during a general silence and for {@link #RECOVERY_PERIOD_MS} after it. A leader keeps leading
   * through a network partition if no peer is better connected. It would then consider the machines
   * that fall silent first dead while messages from the others are not yet overdue.
   */
  public boolean canTrustMachineSilence(long nowMs) {
    return !hasBeenSilent || nowMs - lastSilentAt > RECOVERY_PERIOD_MS;
  }

  /**
   * Counts one sweep towards a handover, or resets the count.
   *
   * @param isCutOff whether workers do not reach this node
   * @param canPeerServe whether a peer may be better connected
   * @return whether this node should resign so that a peer can lead
   */
  public boolean countHandoverSweep(boolean isCutOff, boolean canPeerServe) {
    handoverSweeps = isCutOff && canPeerServe ? handoverSweeps + 1 : 0;
    return handoverSweeps >= MIN_HANDOVER_SWEEPS;
  }
}
