package org.snowturn.core.autoscaling;

/** One request for machines. The cloud executes a request of the same name only once. */
final class ScaleOutRequest {
  private static final int MAX_ATTEMPTS = 4;

  private final String name;
  private final CapacityPool pool;
  private final int count;
  private int attempts;

  ScaleOutRequest(String name, CapacityPool pool, int count) {
    this.name = name;
    this.pool = pool;
    this.count = count;
  }

  /** The idempotency key. */
  String name() {
    return name;
  }

  CapacityPool pool() {
    return pool;
  }

  /** How many machines are requested. */
  int count() {
    return count;
  }

  /** How many times it has been sent. */
  int attempts() {
    return attempts;
  }

  void recordAttempt() {
    attempts++;
  }

  boolean canRetry() {
    return attempts < MAX_ATTEMPTS;
  }
}
