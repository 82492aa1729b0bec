package org.snowturn.core.election;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;

/**
 * The part of one peer's cancellation log that this node has received, and the time before which it
 * knows every cancellation that the peer has confirmed to users.
 */
final class PeerCancellations {
  private String incarnation;
  private long lastReceived;
  private long firstReplyAt = Long.MAX_VALUE;
  private long knownUntil = MonotonicTime.UNSET;

  /** Returns whether the peer has ever replied. */
  boolean hasReplied() {
    return incarnation != null;
  }

  /** Returns the position of the last entry that has been received from the peer's log. */
  PeerMessage.LogPosition position() {
    return new PeerMessage.LogPosition(incarnation, lastReceived);
  }

  /**
   * Returns the time before which every cancellation that the peer confirmed is known, in
   * milliseconds of the monotonic clock; {@link MonotonicTime#UNSET} if there is no such time.
   */
  long knownUntil() {
    return knownUntil;
  }

  /**
   * Advances the position and the known time after the jobs in a reply have been learned.
   *
   * @param requestSentAt the time at which the answered request was sent, in milliseconds of the
   *     monotonic clock; null if the request is unknown
   * @param readUntil the time at which the latest answered read of the state service was sent, in
   *     milliseconds of the monotonic clock
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  void advance(
      PeerMessage.CancellationsReply reply, Long requestSentAt, long readUntil, long nowMs) {
    if (!reply.incarnation().equals(incarnation)) {
      incarnation = reply.incarnation();
      lastReceived = 0;
      firstReplyAt = nowMs;
    }
    if (hasGapBefore(reply, readUntil, nowMs)) {
      return;
    }
    lastReceived = Math.max(lastReceived, reply.precedingNumber() + reply.jobs().size());
    boolean isComplete = lastReceived >= reply.lastNumber() && readUntil >= firstReplyAt;
    if (requestSentAt != null && isComplete) {
      knownUntil = Math.max(knownUntil, requestSentAt);
    }
  }

  /**
   * Returns whether entries are missing before the first entry of a reply. Entries that the peer
   * has dropped count as received if the state service was read after they were confirmed.
   */
  private boolean hasGapBefore(PeerMessage.CancellationsReply reply, long readUntil, long nowMs) {
    long droppedConfirmedAt = nowMs - ClockDrift.minElapsedMs((double) reply.lastDroppedAgeMs());
    return reply.precedingNumber() > lastReceived
        && (reply.precedingNumber() > reply.lastDroppedNumber() || readUntil < droppedConfirmedAt);
  }
}
