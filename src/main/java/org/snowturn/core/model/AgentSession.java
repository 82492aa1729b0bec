package org.snowturn.core.model;

import org.snowturn.core.MonotonicTime;

/**
 * The leader's view of a machine's agent: its current epoch, which the agent increments at each
 * start, and its heartbeats. Times are milliseconds of the monotonic clock ({@link MonotonicTime}).
 */
public final class AgentSession {
  private long epoch;
  private long heartbeatSequence = -1;
  private long endedEpoch = -1;
  private long lastHeartbeatAt = MonotonicTime.UNSET;
  private long silentAt = MonotonicTime.UNSET;
  private long heartbeatDueAt = Long.MAX_VALUE;
  private long lastAnswerAt;
  private boolean acknowledged;

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
