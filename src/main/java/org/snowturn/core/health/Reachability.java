package org.snowturn.core.health;

/**
 * Whether a machine receives what it is sent. Its reports only tell what runs there: they may get
 * out while nothing gets in, and copies of them may come long after it has died. Only what shows
 * that something arrived counts:
 *
 * <ul>
 *   <li>it has answered a message,
 *   <li>it has learnt a token that it did not have before,
 *   <li>two of its reports in a row have come here in their time, the first of which was answered:
 *       without the answer it would have gone to other nodes before.
 * </ul>
 *
 * Nothing new is placed on a machine that is in doubt, and nothing follows for what may run there:
 * that stays bound until there is proof of its end. Times are milliseconds of the steady clock.
 */
public final class Reachability {
  /** So many messages in vain while it reports are no accident. */
  public static final int DEAF_AFTER = 3;

  /** A machine in doubt is asked at once, then ever later up to this. */
  private static final long ASK_FIRST_MS = 500;

  private static final long ASK_MOST_MS = 4_000;

  /** So many answers in a row that are older than what is known are no accident. */
  private static final int ANEW_AFTER = 3;

  /** Two reports that come sooner after each other were held back together. */
  private static final long LEAST_APART_MS = 400;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private boolean proven;
  private boolean withoutToken;
  private long doubtSince = NEVER;
  private long answeredAt = NEVER;
  private int inVain;
  private int olderAnswers;
  private long askAt = NEVER;
  private long highestReport = -1;

  /** Whether it has shown that it receives, and nothing since speaks against it. */
  public boolean proven() {
    return proven;
  }

  /** How many messages in a row got no answer. */
  public int inVain() {
    return inVain;
  }

  /**
   * Whether it reports and yet has received nothing for so long, though it was asked again and
   * again.
   */
  public boolean deaf(long nowMs, long patienceMs) {
    return !proven && inVain >= DEAF_AFTER && nowMs - doubtSince >= patienceMs;
  }

  /** A message got no answer: what came before proves nothing any more. */
  public void unanswered(long nowMs) {
    inVain++;
    doubt(nowMs);
  }

  /** What it has shown so far counts no more. */
  public void doubt(long nowMs) {
    doubtSince = doubtSince == NEVER ? nowMs : doubtSince;
    proven = false;
    answeredAt = NEVER;
  }

  /** A later session of it was seen. It has received nothing for as long as a lease. */
  public void newSession(long nowMs) {
    doubt(nowMs);
    withoutToken = false;
    highestReport = -1;
  }

  /** Whether to ask it now, so that it may show that it receives; counts as asked. */
  public boolean toAsk(long nowMs) {
    if (proven || nowMs < askAt) {
      return false;
    }
    askAt = nowMs + Math.min(ASK_MOST_MS, ASK_FIRST_MS << Math.min(4, inVain));
    return true;
  }

  /**
   * It has answered a message; tells whether it has come back as a new machine under its old name,
   * whose counts begin anew: nothing that it says would be believed, nor its silence noticed.
   *
   * @param older whether the answer is older than what is known of it
   */
  public boolean answersAnew(boolean older) {
    olderAnswers = older ? olderAnswers + 1 : 0;
    return olderAnswers >= ANEW_AFTER;
  }

  /** It has answered a message. */
  public void answered() {
    proven = true;
    doubtSince = NEVER;
    inVain = 0;
  }

  /**
   * A report of the present session was believed.
   *
   * @param token whether it bears the present token
   */
  public void believed(boolean token) {
    if (token && withoutToken) {
      withoutToken = false;
      answered();
    }
    withoutToken |= !token;
  }

  /**
   * Whether a check-in of the present session, by its count, is a copy or was given up long ago.
   */
  public boolean late(long seq) {
    return seq <= highestReport;
  }

  /**
   * A check-in of the present session has come, by its count.
   *
   * @param inTimeMs within which a machine that was answered reports again
   */
  public void checkedIn(long seq, long nowMs, long inTimeMs) {
    highestReport = Math.max(highestReport, seq);
    long since = nowMs - answeredAt;
    if (!proven && answeredAt != NEVER && since >= LEAST_APART_MS && since <= inTimeMs) {
      answered();
    }
  }

  /** How long ago its last check-in since it came into doubt was answered; 0 if none was. */
  public long answeredFor(long nowMs) {
    return answeredAt == NEVER ? 0 : nowMs - answeredAt;
  }

  /** That check-in is answered with what may renew its lease. */
  public void answeredCheckIn(long nowMs) {
    answeredAt = nowMs;
  }
}
