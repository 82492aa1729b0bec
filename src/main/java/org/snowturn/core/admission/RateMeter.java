package org.snowturn.core.admission;

/** A rate per second, averaged over recent time with exponential decay. */
public final class RateMeter {
  private final double averagingMs;
  private double sum;
  private long decayedAt;

  /**
   * Creates a meter with a rate of zero.
   *
   * @param averagingMs time after which an amount counts by a factor of 1/e, in milliseconds
   */
  public RateMeter(long averagingMs) {
    this.averagingMs = averagingMs;
  }

  /** Adds an amount at the given time. */
  public void add(double amount, long nowMs) {
    decay(nowMs);
    sum += amount;
  }

  /** Returns the average amount per second at the given time. */
  public double perSecond(long nowMs) {
    decay(nowMs);
    return sum * 1000 / averagingMs;
  }

  private void decay(long nowMs) {
    if (nowMs > decayedAt) {
      sum *= Math.exp((decayedAt - nowMs) / averagingMs);
      decayedAt = nowMs;
    }
  }
}
