package org.snowturn.core.election;

/** Bound on the difference between the rates of the monotonic clocks of two nodes. */
final class ClockDrift {
  /** Maximum relative difference between the rates of two clocks. */
  static final double MAX_RATE = 0.002;

  private ClockDrift() {}

  /**
   * Returns the minimum time that elapses on one clock while a given time elapses on another, in
   * milliseconds.
   *
   * @param ms the time that elapses on the other clock, in milliseconds
   */
  static long minElapsedMs(double ms) {
    return (long) (ms * (1 - MAX_RATE));
  }
}
