package org.snowturn.core.overload;

/**
 * How many requests of one kind may be in progress at a time, found by additive increase and
 * multiplicative decrease on the time that they take.
 *
 * <p>A caller gives up after a while and comes again. If a node takes in more than it can answer in
 * that time, all that it answers is answered too late, and it goes on so for as long as callers
 * come again: it works at full speed and serves nobody. With fewer in progress those are answered
 * in time, and the others wait before their bodies are read ({@link AdmissionQueue}). Not safe for
 * use by several threads.
 */
public final class ConcurrencyLimit {
  /** Above this time the limit shrinks. */
  private static final long SLOW_NANOS = 1_000_000_000L;

  /** Below this time it grows. */
  private static final long QUICK_NANOS = 300_000_000L;

  private static final double SHRINK = 0.7;

  /** The limit shrinks at most once in such a time: what is in progress was admitted before. */
  private static final long SHRINK_EVERY_NANOS = 500_000_000L;

  private final int least;
  private final int most;
  private double limit;
  private int inProgress;
  private long shrunkAtNanos;
  private boolean everShrunk;

  /**
   * Starts with the largest limit.
   *
   * @param least the limit never becomes smaller
   * @param most the limit never becomes larger
   */
  public ConcurrencyLimit(int least, int most) {
    this.least = least;
    this.most = Math.max(least, most);
    this.limit = this.most;
  }

  /**
   * Whether another request is taken in; if so {@link #done} must be called once it is answered.
   */
  public boolean admit() {
    if (inProgress >= (int) limit) {
      return false;
    }
    inProgress++;
    return true;
  }

  /** A request was answered, or has come to nothing, after such a time. */
  public void done(long tookNanos, long nowNanos) {
    inProgress--;
    if (tookNanos > SLOW_NANOS) {
      if (!everShrunk || nowNanos - shrunkAtNanos >= SHRINK_EVERY_NANOS) {
        everShrunk = true;
        shrunkAtNanos = nowNanos;
        limit = Math.max(least, limit * SHRINK);
      }
    } else if (tookNanos < QUICK_NANOS) {
      limit = Math.min(most, limit + 1);
    }
  }

  /** The limit now. */
  public int limit() {
    return (int) limit;
  }

  /** How many requests are in progress. */
  public int inProgress() {
    return inProgress;
  }
}
