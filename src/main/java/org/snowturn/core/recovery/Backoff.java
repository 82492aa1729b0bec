package org.snowturn.core.recovery;

import java.util.random.RandomGenerator;

/**
 * When to repeat a call that failed: at twice the interval each time, up to a bound, with a part of
 * it drawn at random, so that nodes that failed together do not come back together. What the other
 * side asked for by Retry-After is kept where it is longer.
 *
 * <p>A library such as resilience4j or Failsafe brings its own clock and threads; the core has
 * neither, and needs only the next delay.
 */
public final class Backoff {
  private final RandomGenerator random;
  private final long minMs;
  private final long maxMs;
  private long upperBoundMs;

  /**
   * A sequence of delays that starts anew after each success.
   *
   * @param minMs the first delay's upper end
   * @param maxMs what no delay of our own exceeds
   */
  public Backoff(RandomGenerator random, long minMs, long maxMs) {
    if (minMs < 1 || maxMs < minMs) {
      throw new IllegalArgumentException("delays from " + minMs + " to " + maxMs + " ms");
    }
    this.random = random;
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.upperBoundMs = minMs;
  }

  /**
   * The delay in milliseconds before the next try.
   *
   * @param retryAfterMs what the other side asked for; 0 if it did not
   */
  public long nextDelayMs(long retryAfterMs) {
    long upperMs = upperBoundMs;
    upperBoundMs = Math.min(maxMs, upperMs * 2);
    long halfMs = upperMs / 2;
    long delayMs = upperMs - (long) (random.nextDouble() * halfMs);
    return Math.max(delayMs, retryAfterMs);
  }

  /** The last try went well. */
  public void reset() {
    upperBoundMs = minMs;
  }
}
