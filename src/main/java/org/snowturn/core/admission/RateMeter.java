package org.snowturn.core.admission;

/** How often something happens a second, lately: an average that forgets. */
public final class RateMeter {
  private final double lifeMs;
  private double sum;
  private long at;

  /** Forgets two thirds of what was within {@code lifeMs}. */
  public RateMeter(long lifeMs) {
    this.lifeMs = lifeMs;
  }

  /** So much has happened now. */
  public void add(double amount, long nowMs) {
    fade(nowMs);
    sum += amount;
  }

  /** How much a second. */
  public double perSecond(long nowMs) {
    fade(nowMs);
    return sum * 1000 / lifeMs;
  }

  private void fade(long nowMs) {
    if (nowMs > at) {
      sum *= Math.exp((at - nowMs) / lifeMs);
      at = nowMs;
    }
  }
}
