package org.snowturn.core.autoscaling;

/** A request for machines. The cloud executes requests with the same name only once. */
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

  /** Returns the name of the request, which is its idempotency key. */
  String name() {
    return name;
  }

  CapacityPool pool() {
    return pool;
  }

  /** Returns the number of requested machines. */
  int count() {
    return count;
  }

  /** Returns the number of times that the request has been sent. */
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
