package org.snowturn.core.recovery;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for failed calls. The upper bound of the delay doubles with each
 * failure up to a maximum, and each delay is drawn from the upper half of the range below it, so
 * that nodes that failed together do not retry together. A longer Retry-After of the other side
 * takes precedence.
 *
 * <p>Libraries such as resilience4j or Failsafe bring their own clock and threads. The core has
 * neither and needs only the next delay.
 */
public final class Backoff {
  private final RandomGenerator random;
  private final long minMs;
  private final long maxMs;
  private long upperBoundMs;

  /**
   * Creates a backoff whose next delay is the first of the sequence.
   *
   * @param random source of the jitter
   * @param minMs upper bound of the first delay, in milliseconds; at least 1
   * @param maxMs maximum upper bound, in milliseconds; at least {@code minMs}. Only a Retry-After
   *     can be longer.
   */
  public Backoff(RandomGenerator random, long minMs, long maxMs) {
    if (minMs < 1 || maxMs < minMs) {
      throw new IllegalArgumentException(
          "backoff delays must satisfy 1 <= minMs <= maxMs, but minMs is "
              + minMs
              + " and maxMs is "
              + maxMs);
    }
    this.random = random;
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.upperBoundMs = minMs;
  }

  /**
   * Returns the delay before the next attempt, in milliseconds, and doubles the upper bound.
   *
   * @param retryAfterMs minimum delay that the other side requested, in milliseconds; 0 if none
   */
  public long nextDelayMs(long retryAfterMs) {
    long upperMs = upperBoundMs;
    upperBoundMs = Math.min(maxMs, upperMs * 2);
    long halfMs = upperMs / 2;
    long delayMs = upperMs - (long) (random.nextDouble() * halfMs);
    return Math.max(delayMs, retryAfterMs);
  }

  /** Restarts the sequence of delays after a successful attempt. */
  public void reset() {
    upperBoundMs = minMs;
  }
}
