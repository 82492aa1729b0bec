package org.snowturn.core.autoscaling;

import org.snowturn.core.effects.CoreRuntime;

/** A token bucket for calls to the cloud, so that the cloud's request rate is not exceeded. */
final class CloudCallBudget {
  /** The share of the cloud's rate that is used. */
  private static final double RATE_SHARE = 0.85;

  private static final double BURST_S = 1.5;
  private static final double BURST_CALLS = 0.5;

  private final CoreRuntime runtime;
  private final double callsPerSecond;
  private double tokens;
  private long refilledAt;

  /**
   * A full bucket.
   *
   * @param cloudRate calls a second that the cloud accepts
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

  /** Takes a token for one call; false if there is none, and the call must wait. */
  boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
