package org.snowturn.core.model;

import org.snowturn.core.MonotonicTime;

/**
 * What is known of the session of a machine's agent: its epoch, which the agent raises whenever it
 * starts anew, and its heartbeats. Times are those of the core's clock.
 */
public final class AgentSession {
  private long epoch;
  private long heartbeatSequence = -1;
  private long endedEpoch = -1;
  private long lastHeartbeatAt = MonotonicTime.NEVER;
  private long silentAt = MonotonicTime.NEVER;
  private long heartbeatDueAt = Long.MAX_VALUE;
  private long lastAnswerAt;
  private boolean acknowledged;

  /** The highest epoch heard of; 0 if none. */
  public long epoch() {
    return epoch;
  }

  /** An agent with this epoch was on the machine, by a heartbeat or a stored record. */
  public void setEpoch(long epoch) {
    this.epoch = epoch;
  }

  /** The number of the newest heartbeat of the epoch; -1 if there is none. */
  public long heartbeatSequence() {
    return heartbeatSequence;
  }

  /** The highest epoch in which everything has certainly ended; -1 if none. */
  public long endedEpoch() {
    return endedEpoch;
  }

  /** Everything has certainly ended in this epoch and those before. */
  public void markEndedThrough(long ended) {
    endedEpoch = Math.max(endedEpoch, ended);
  }

  /** When this leader took in its newest heartbeat; {@link MonotonicTime#NEVER} if none. */
  public long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /**
   * Takes in the newest heartbeat.
   *
   * @param silentAfterMs without another one for so long, the machine may have died
   */
  public void recordHeartbeat(long seq, long now, long silentAfterMs) {
    heartbeatSequence = seq;
    lastHeartbeatAt = now;
    silentAt = now + silentAfterMs;
  }

  /** From then on, without another heartbeat, the machine may have died: nothing new goes there. */
  public long silentAt() {
    return silentAt;
  }

  /**
   * By then a heartbeat should have been sent here. What it answers to direct messages renews no
   * lease, so from then on nothing new goes there.
   */
  public long heartbeatDueAt() {
    return heartbeatDueAt;
  }

  /** Its next heartbeat should be sent here by then. */
  public void setHeartbeatDueAt(long dueAt) {
    heartbeatDueAt = dueAt;
  }

  /** When a 200 that may have renewed the lease could last have been sent, by any leader. */
  public long lastAnswerAt() {
    return lastAnswerAt;
  }

  /** An answer that may renew the lease was or may have been sent then. */
  public void setLastAnswerAt(long answerAt) {
    lastAnswerAt = answerAt;
  }

  /** Whether a heartbeat of the current epoch carried this leader's token. */
  public boolean isAcknowledged() {
    return acknowledged;
  }

  /** A heartbeat of the current epoch carried this leader's token. */
  public void acknowledge() {
    acknowledged = true;
  }

  /** What is known of this leader's token may be of an earlier epoch. */
  public void clearAcknowledgement() {
    acknowledged = false;
  }
}
