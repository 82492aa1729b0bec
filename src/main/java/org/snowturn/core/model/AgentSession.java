package org.snowturn.core.model;

import org.snowturn.core.MonotonicTime;

/**
 * The leader's view of a machine's agent: its current epoch, which the agent increments at each
 * start, and its heartbeats. Times are milliseconds of the monotonic clock ({@link MonotonicTime}).
 */
public final class AgentSession {
  /** The epoch in which an agent begins, also one whose machine has lost its memory. */
  public static final long FIRST_EPOCH = 1;

  private long epoch;
  private long recordedEpoch;
  private long heartbeatSequence = -1;
  private long endedEpoch = -1;
  private long lastHeartbeatAt = MonotonicTime.UNSET;
  private long silentAt = MonotonicTime.UNSET;
  private long heartbeatDueAt = Long.MAX_VALUE;
  private long lastAnswerAt;
  private boolean acknowledged;
  private boolean leaseLeftToExpire;
  private boolean answerDeferred;
  private long promptAnswerAt = MonotonicTime.UNSET;
  private long nextPromptAt;

  /** Returns the highest known epoch of the agent; 0 if none is known. */
  public long epoch() {
    return epoch;
  }

  /** Sets the highest known epoch of the agent, which a heartbeat or a stored record showed. */
  public void setEpoch(long epoch) {
    this.epoch = epoch;
  }

  /** Returns the sequence number of the newest heartbeat of the epoch; -1 if there is none. */
  public long heartbeatSequence() {
    return heartbeatSequence;
  }

  /** Records the epoch that the agent had according to the stored registry; 0 if it has none. */
  public void setRecordedEpoch(long storedEpoch) {
    recordedEpoch = storedEpoch;
  }

  /** Records that the epoch is in the stored registry. */
  public void markEpochRecorded() {
    recordedEpoch = Math.max(recordedEpoch, epoch);
  }

  /** Returns whether the stored registry does not show that the agent has left its first epoch. */
  public boolean hasUnrecordedEpoch() {
    return epoch > FIRST_EPOCH && epoch > recordedEpoch;
  }

  /**
   * Returns the known epoch or, before the agent is heard, the one in which it most likely is. An
   * agent in another epoch refuses a message for this one and reports its own.
   */
  public long likelyEpoch() {
    return Math.max(FIRST_EPOCH, epoch > 0 ? epoch : recordedEpoch);
  }

  /**
   * Returns whether no later epoch than the first is known. A machine that has lost its memory is
   * in its first epoch again and has seen no token, so it executes late copies of direct messages
   * for that epoch.
   */
  public boolean isInFirstEpoch() {
    return epoch <= FIRST_EPOCH;
  }

  /** Returns the highest epoch whose tasks have all provably ended; -1 if there is none. */
  public long endedEpoch() {
    return endedEpoch;
  }

  /** Records that all tasks of this epoch and of all earlier ones have provably ended. */
  public void markEndedThrough(long lastEpoch) {
    endedEpoch = Math.max(endedEpoch, lastEpoch);
  }

  /**
   * Returns the time at which this leader applied the newest heartbeat; {@link MonotonicTime#UNSET}
   * if there was none.
   */
  public long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /**
   * Records the newest heartbeat.
   *
   * @param sequence the sequence number of the heartbeat
   * @param now the current time, in milliseconds of the monotonic clock
   * @param silentAfterMs the time without another heartbeat after which the machine may be dead, in
   *     milliseconds
   */
  public void recordHeartbeat(long sequence, long now, long silentAfterMs) {
    heartbeatSequence = sequence;
    lastHeartbeatAt = now;
    silentAt = now + silentAfterMs;
  }

  /**
   * Returns the time from which the machine may be dead and gets no new tasks, unless another
   * heartbeat arrives earlier.
   */
  public long silentAt() {
    return silentAt;
  }

  /**
   * Returns the time by which the machine should have sent its next heartbeat to this leader. From
   * then on it gets no new tasks, even if it answers direct messages, since they renew no lease.
   */
  public long heartbeatDueAt() {
    return heartbeatDueAt;
  }

  /** Sets the time by which the machine should have sent its next heartbeat to this leader. */
  public void setHeartbeatDueAt(long dueAt) {
    heartbeatDueAt = dueAt;
  }

  /**
   * Returns the latest time at which any leader may have sent an answer that may renew the lease:
   * status 200 to a heartbeat.
   */
  public long lastAnswerAt() {
    return lastAnswerAt;
  }

  /** Sets the latest time at which an answer that may renew the lease may have been sent. */
  public void setLastAnswerAt(long answerAt) {
    lastAnswerAt = answerAt;
  }

  /** Returns whether the newest answer to the agent was meant to let its lease expire. */
  public boolean isLeaseLeftToExpire() {
    return leaseLeftToExpire;
  }

  /** Records whether the newest answer to the agent was meant to let its lease expire. */
  public void setLeaseLeftToExpire(boolean isLeftToExpire) {
    leaseLeftToExpire = isLeftToExpire;
  }

  /** Returns the time at which a heartbeat was last answered without much delay. */
  public long promptAnswerAt() {
    return promptAnswerAt;
  }

  /** Sets the time at which a heartbeat was last answered without much delay. */
  public void setPromptAnswerAt(long answeredAt) {
    promptAnswerAt = answeredAt;
  }

  /** Returns whether a heartbeat waits for its answer, which can carry commands at any time. */
  public boolean isAnswerDeferred() {
    return answerDeferred;
  }

  /** Records whether a heartbeat waits for its answer. */
  public void setAnswerDeferred(boolean isDeferred) {
    answerDeferred = isDeferred;
  }

  /** Records that a heartbeat was answered now, so that the next one is due later. */
  public void onAnswerSent(long now, long silentAfterMs) {
    silentAt = Math.max(silentAt, now + silentAfterMs);
  }

  /** Returns the time from which the agent may be prompted again to send a heartbeat early. */
  public long nextPromptAt() {
    return nextPromptAt;
  }

  /** Sets the time from which the agent may be prompted again to send a heartbeat early. */
  public void setNextPromptAt(long promptAt) {
    nextPromptAt = promptAt;
  }

  /** Returns whether a heartbeat of the current epoch has carried this leader's token. */
  public boolean isAcknowledged() {
    return acknowledged;
  }

  /** Records that a heartbeat of the current epoch has carried this leader's token. */
  public void acknowledge() {
    acknowledged = true;
  }

  /** Discards the acknowledgement, which may have come from an earlier epoch. */
  public void clearAcknowledgement() {
    acknowledged = false;
  }
}
