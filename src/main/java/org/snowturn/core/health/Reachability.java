package org.snowturn.core.health;

/**
 * Whether a machine receives what it is sent. Its heartbeats only tell what runs there: they may
 * get out while nothing gets in, and copies of them may come long after it has died. Only what
 * shows that something arrived counts:
 *
 * <ul>
 *   <li>it has answered a message,
 *   <li>it has learnt a token that it did not have before,
 *   <li>two of its heartbeats in a row have come here in their time, the first of which was
 *       answered: without the answer it would have gone to other nodes before.
 * </ul>
 *
 * Nothing new is placed on a machine that is not proven reachable, and nothing follows for what may
 * run there: that stays assigned until there is proof of its end. Times are milliseconds of the
 * steady clock.
 */
public final class Reachability {
  /** So many unanswered messages in a row, while its heartbeats come, are no accident. */
  public static final int MIN_UNANSWERED_MESSAGES = 3;

  /**
   * A machine that is not proven is probed at once, then after delays that double up to a bound.
   */
  private static final long MIN_PROBE_DELAY_MS = 500;

  private static final long MAX_PROBE_DELAY_MS = 4_000;

  private static final int MAX_PROBE_DOUBLINGS = 4;

  /** So many replies in a row that are older than what is known are no accident. */
  private static final int MIN_OUTDATED_REPLIES = 3;

  /** Two heartbeats that come sooner after each other were held back together. */
  private static final long MIN_HEARTBEAT_GAP_MS = 400;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private boolean proven;

  /** Whether its last heartbeat did not bear the present token. */
  private boolean lastHeartbeatLackedToken;

  private long unprovenSince = NEVER;
  private long heartbeatAnsweredAt = NEVER;
  private int unansweredMessages;
  private int outdatedReplies;
  private long nextProbeAt = NEVER;
  private long highestSequence = -1;

  /** Whether it has shown that it receives, and nothing since speaks against it. */
  public boolean isProven() {
    return proven;
  }

  /** How many messages in a row got no answer. */
  public int unansweredMessages() {
    return unansweredMessages;
  }

  /**
   * Whether it sends heartbeats and yet has received nothing for so long, despite several probes.
   */
  public boolean isUnreachable(long nowMs, long limitMs) {
    return !proven
        && unansweredMessages >= MIN_UNANSWERED_MESSAGES
        && nowMs - unprovenSince >= limitMs;
  }

  /** A message got no answer: what came before proves nothing any more. */
  public void onMessageUnanswered(long nowMs) {
    unansweredMessages++;
    revokeProof(nowMs);
  }

  /** What it has shown so far counts no more. */
  public void revokeProof(long nowMs) {
    unprovenSince = unprovenSince == NEVER ? nowMs : unprovenSince;
    proven = false;
    heartbeatAnsweredAt = NEVER;
  }

  /** A later agent epoch of it was seen. It has received nothing for as long as a lease. */
  public void onNewAgentEpoch(long nowMs) {
    revokeProof(nowMs);
    lastHeartbeatLackedToken = false;
    highestSequence = -1;
  }

  /** Whether to probe it now, so that it may show that it receives; if so, it counts as probed. */
  public boolean claimProbe(long nowMs) {
    if (proven || nowMs < nextProbeAt) {
      return false;
    }
    int doublings = Math.min(MAX_PROBE_DOUBLINGS, unansweredMessages);
    nextProbeAt = nowMs + Math.min(MAX_PROBE_DELAY_MS, MIN_PROBE_DELAY_MS << doublings);
    return true;
  }

  /**
   * It has answered a message; tells whether it has come back as a new machine under its old name,
   * whose counts begin anew: nothing that it says would be accepted, nor its silence noticed.
   *
   * @param isOutdated whether the reply is older than what is known of it
   */
  public boolean detectNewIncarnation(boolean isOutdated) {
    outdatedReplies = isOutdated ? outdatedReplies + 1 : 0;
    return outdatedReplies >= MIN_OUTDATED_REPLIES;
  }

  /** It has received something. */
  public void markProven() {
    proven = true;
    unprovenSince = NEVER;
    unansweredMessages = 0;
  }

  /**
   * A heartbeat of the present agent epoch was accepted.
   *
   * @param hasPresentToken whether it bears the present token
   */
  public void onHeartbeatAccepted(boolean hasPresentToken) {
    if (hasPresentToken && lastHeartbeatLackedToken) {
      lastHeartbeatLackedToken = false;
      markProven();
    }
    lastHeartbeatLackedToken |= !hasPresentToken;
  }

  /**
   * Whether a heartbeat of the present agent epoch, by its sequence number, is a copy or was given
   * up long ago.
   */
  public boolean isStale(long sequence) {
    return sequence <= highestSequence;
  }

  /**
   * A heartbeat of the present agent epoch has come.
   *
   * @param sequence its sequence number
   * @param nextHeartbeatWithinMs time within which a machine that was answered sends the next
   *     heartbeat
   */
  public void onHeartbeatReceived(long sequence, long nowMs, long nextHeartbeatWithinMs) {
    highestSequence = Math.max(highestSequence, sequence);
    long sinceAnswerMs = nowMs - heartbeatAnsweredAt;
    if (!proven
        && heartbeatAnsweredAt != NEVER
        && sinceAnswerMs >= MIN_HEARTBEAT_GAP_MS
        && sinceAnswerMs <= nextHeartbeatWithinMs) {
      markProven();
    }
  }

  /** How long ago its last heartbeat since it was unproven was answered; 0 if none was. */
  public long sinceHeartbeatAnswerMs(long nowMs) {
    return heartbeatAnsweredAt == NEVER ? 0 : nowMs - heartbeatAnsweredAt;
  }

  /** That heartbeat is answered with what may renew its lease. */
  public void onHeartbeatAnswered(long nowMs) {
    heartbeatAnsweredAt = nowMs;
  }
}
