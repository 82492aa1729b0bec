package org.snowturn.core.election;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;

/** How far the cancellations that one peer has confirmed to users are known here. */
final class PeerCancellations {
  private String incarnation;
  private long received;
  private long firstHeardAt = Long.MAX_VALUE;
  private long knownUntil = MonotonicTime.NEVER;

  /** Whether the peer has ever replied. */
  boolean heard() {
    return incarnation != null;
  }

  /** Up to where the peer's log has been received. */
  PeerMessage.LogPosition position() {
    return new PeerMessage.LogPosition(incarnation, received);
  }

  /**
   * Every cancellation that the peer confirmed before this moment is known; {@link
   * MonotonicTime#NEVER} if there is no such moment.
   */
  long knownUntil() {
    return knownUntil;
  }

  /**
   * The jobs that a reply names have been learnt.
   *
   * @param requestSentAt when the request was sent that this answers; null if it is not known
   * @param readUntil when the last read of the state service was sent that was answered
   */
  void advance(
      PeerMessage.CancellationsReply reply, Long requestSentAt, long readUntil, long nowMs) {
    if (!reply.incarnation().equals(incarnation)) {
      incarnation = reply.incarnation();
      received = 0;
      firstHeardAt = nowMs;
    }
    if (gapBefore(reply, readUntil, nowMs)) {
      return;
    }
    received = Math.max(received, reply.precedingNumber() + reply.jobs().size());
    boolean complete = received >= reply.lastNumber() && readUntil >= firstHeardAt;
    if (requestSentAt != null && complete) {
      knownUntil = Math.max(knownUntil, requestSentAt);
    }
  }

  /**
   * Whether entries are missing before the first of a reply. What the peer has dropped for its age
   * counts as received once the state service was read since.
   */
  private boolean gapBefore(PeerMessage.CancellationsReply reply, long readUntil, long nowMs) {
    long droppedAt = nowMs - ClockDrift.minElapsedMs((double) reply.lastDroppedAgeMs());
    return reply.precedingNumber() > received
        && (reply.precedingNumber() > reply.lastDroppedNumber() || readUntil < droppedAt);
  }
}
