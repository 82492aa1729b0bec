package org.snowturn.core.election;

/** How far the steady clocks of two nodes may diverge. */
final class ClockDrift {
  /** The greatest difference between the rates of two clocks. */
  static final double MAX_RATE = 0.002;

  private ClockDrift() {}

  /** The least time in milliseconds that passes on one clock while {@code ms} pass on another. */
  static long minElapsedMs(double ms) {
    return (long) (ms * (1 - MAX_RATE));
  }
}
