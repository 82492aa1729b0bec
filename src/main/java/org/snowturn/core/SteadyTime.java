package org.snowturn.core;

/** Moments of a node's steady clock, in milliseconds; see {@link Controller#handle}. */
public final class SteadyTime {
  /** A moment before all others; the time that has passed since does not overflow. */
  public static final long NEVER = Long.MIN_VALUE / 4;

  private SteadyTime() {}
}
