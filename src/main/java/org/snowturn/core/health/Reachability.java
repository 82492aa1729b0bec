package org.snowturn.core.health;

/**
 * Tracks whether one machine receives the messages that are sent to it. Its heartbeats alone do not
 * show that: they may be sent while nothing arrives at the machine, and copies of them may arrive
 * long after its death. A machine is proven reachable by any of these:
 *
 * <ul>
 *   <li>It answers a message.
 *   <li>Its heartbeats carry the present token after one that did not.
 *   <li>Two consecutive heartbeats arrive at this node on time, and the first was answered. Without
 *       the answer, the machine would have tried other nodes in between.
 * </ul>
 *
 * <p>A machine that is not proven reachable gets no new tasks. Its present tasks stay assigned to
 * it until there is proof of their end. Times are in milliseconds of the monotonic clock.
 */
public final class Reachability {
  /** Minimum number of consecutive unanswered messages at which a machine may be unreachable. */
  public static final int MIN_UNANSWERED_MESSAGES = 3;

  /**
   * Delay before the second probe of a machine that is not proven; the first is sent at once. The
   * delay doubles with each unanswered message up to {@link #MAX_PROBE_DELAY_MS}.
   */
  private static final long MIN_PROBE_DELAY_MS = 500;

  private static final long MAX_PROBE_DELAY_MS = 4_000;

  private static final int MAX_PROBE_DOUBLINGS = 4;

  /**
   * Minimum number of consecutive outdated replies at which a machine counts as a new incarnation.
   */
  private static final int MIN_OUTDATED_REPLIES = 3;

  /**
   * Minimum time between two heartbeats that prove anything. Those that arrive closer together were
   * delayed together on the way.
   */
  private static final long MIN_HEARTBEAT_GAP_MS = 400;

  private static final long UNSET = Long.MIN_VALUE / 4;

  private boolean proven;

  /** Whether the last accepted heartbeat did not carry the present token. */
  private boolean lastHeartbeatLackedToken;

  private long unprovenSince = UNSET;
  private long heartbeatAnsweredAt = UNSET;
  private int unansweredMessages;
  private int outdatedReplies;
  private long nextProbeAt = UNSET;
  private long highestSequence = -1;

  /**
   * Returns whether the machine has shown that it receives messages, and no later event put that in
   * doubt.
   */
  public boolean isProven() {
    return proven;
  }

  /** Returns the number of consecutive messages that were not answered. */
  public int unansweredMessages() {
    return unansweredMessages;
  }

  /**
   * Returns whether the machine has not been proven reachable for a given time, despite several
   * messages.
   *
   * @param nowMs the present time
   * @param limitMs minimum time since the proof was revoked
   */
  public boolean isUnreachable(long nowMs, long limitMs) {
    return !proven
        && unansweredMessages >= MIN_UNANSWERED_MESSAGES
        && nowMs - unprovenSince >= limitMs;
  }

  /** Records that a message got no answer, which revokes the proof. */
  public void onMessageUnanswered(long nowMs) {
    unansweredMessages++;
    revokeProof(nowMs);
  }

  /** Revokes the proof: the machine has to show again that it receives messages. */
  public void revokeProof(long nowMs) {
    unprovenSince = unprovenSince == UNSET ? nowMs : unprovenSince;
    proven = false;
    heartbeatAnsweredAt = UNSET;
  }

  /**
   * Records that the machine has a later agent epoch. The machine may have received nothing for the
   * length of a lease before.
   */
  public void onNewAgentEpoch(long nowMs) {
    revokeProof(nowMs);
    onIntendedAgentEpoch();
  }

  /**
   * Records that the machine has a later agent epoch because its leader has left the lease to
   * expire. That puts no proof in doubt.
   */
  public void onIntendedAgentEpoch() {
    lastHeartbeatLackedToken = false;
    highestSequence = -1;
  }

  /**
   * Returns whether the machine is to be probed now. If so, the time of the next probe is set as if
   * the probe was sent.
   */
  public boolean claimProbe(long nowMs) {
    if (proven || nowMs < nextProbeAt) {
      return false;
    }
    int doublings = Math.min(MAX_PROBE_DOUBLINGS, unansweredMessages);
    nextProbeAt = nowMs + Math.min(MAX_PROBE_DELAY_MS, MIN_PROBE_DELAY_MS << doublings);
    return true;
  }

  /**
   * Records a reply and returns whether the machine is a new incarnation under the same name. The
   * counters of a new incarnation start again, so its heartbeats would be taken for outdated and
   * its silence would not be noticed.
   *
   * @param isOutdated whether the reply is older than the newest known state of the machine
   */
  public boolean detectNewIncarnation(boolean isOutdated) {
    outdatedReplies = isOutdated ? outdatedReplies + 1 : 0;
    return outdatedReplies >= MIN_OUTDATED_REPLIES;
  }

  /** Records that the machine has received a message. */
  public void markProven() {
    proven = true;
    unprovenSince = UNSET;
    unansweredMessages = 0;
  }

  /**
   * Records that a heartbeat of the present agent epoch was accepted.
   *
   * @param hasPresentToken whether the heartbeat carries the present token
   */
  public void onHeartbeatAccepted(boolean hasPresentToken) {
    if (hasPresentToken && lastHeartbeatLackedToken) {
      lastHeartbeatLackedToken = false;
      markProven();
    }
    lastHeartbeatLackedToken |= !hasPresentToken;
  }

  /**
   * Returns whether a heartbeat of the present agent epoch is a copy, or one that its worker gave
   * up before it sent a later one.
   *
   * @param sequence sequence number of the heartbeat
   */
  public boolean isStale(long sequence) {
    return sequence <= highestSequence;
  }

  /** Returns whether this heartbeat is the newest that the worker has sent on its own. */
  public boolean isNewestReceived(long sequence) {
    return sequence == highestSequence;
  }

  /**
   * Records that a heartbeat of the present agent epoch arrived.
   *
   * @param sequence sequence number of the heartbeat
   * @param nowMs the present time
   * @param nextHeartbeatWithinMs maximum time from an answer to the next heartbeat
   */
  public void onHeartbeatReceived(long sequence, long nowMs, long nextHeartbeatWithinMs) {
    highestSequence = Math.max(highestSequence, sequence);
    long sinceAnswerMs = nowMs - heartbeatAnsweredAt;
    if (!proven
        && heartbeatAnsweredAt != UNSET
        && sinceAnswerMs >= MIN_HEARTBEAT_GAP_MS
        && sinceAnswerMs <= nextHeartbeatWithinMs) {
      markProven();
    }
  }

  /**
   * Returns the time since a heartbeat of the machine was last answered, in milliseconds; 0 if none
   * was answered since the proof was last revoked.
   */
  public long sinceHeartbeatAnswerMs(long nowMs) {
    return heartbeatAnsweredAt == UNSET ? 0 : nowMs - heartbeatAnsweredAt;
  }

  /** Records that a heartbeat is answered in a way that may renew the lease of the machine. */
  public void onHeartbeatAnswered(long nowMs) {
    heartbeatAnsweredAt = nowMs;
  }
}
