package org.snowturn.core.autoscaling;

import org.snowturn.core.effects.CoreRuntime;

/** A token bucket that keeps calls to the cloud below the cloud's request rate. */
final class CloudCallBudget {
  /** Share of the cloud's request rate that is used. */
  private static final double RATE_SHARE = 0.85;

  /** Size of the bucket in seconds of the permitted rate, without {@link #BURST_CALLS}. */
  private static final double BURST_S = 1.5;

  /** Calls that the bucket holds in addition, independent of the rate. */
  private static final double BURST_CALLS = 0.5;

  private final CoreRuntime runtime;
  private final double callsPerSecond;
  private double tokens;
  private long refilledAt;

  /**
   * Creates a bucket that holds one second's worth of calls.
   *
   * @param cloudRate calls per second that the cloud accepts
   */
  CloudCallBudget(CoreRuntime runtime, double cloudRate) {
    this.runtime = runtime;
    this.callsPerSecond = cloudRate * RATE_SHARE;
    this.tokens = cloudRate;
    this.refilledAt = runtime.now();
  }

  /** Adds the tokens for the time since the last refill. */
  void refill() {
    long now = runtime.now();
    double capacity = callsPerSecond * BURST_S + BURST_CALLS;
    tokens = Math.min(capacity, tokens + callsPerSecond * (now - refilledAt) / 1000.0);
    refilledAt = now;
  }

  /** Takes a token for one call. Returns false if none is left and the call must wait. */
  boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
