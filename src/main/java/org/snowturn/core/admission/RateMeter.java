package org.snowturn.core.admission;

/** A rate per second, averaged over recent time with exponential decay. */
public final class RateMeter {
  private final double averagingMs;
  private double sum;
  private long decayedAt;

  /** Weights an event of {@code averagingMs} ago by a factor of 1/e. */
  public RateMeter(long averagingMs) {
    this.averagingMs = averagingMs;
  }

  /** Counts an amount at this time. */
  public void add(double amount, long nowMs) {
    decay(nowMs);
    sum += amount;
  }

  /** The average amount per second. */
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
