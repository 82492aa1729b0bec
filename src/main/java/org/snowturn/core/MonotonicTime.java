package org.snowturn.core;

/** Values of the core's clock, which counts milliseconds from an arbitrary moment. */
public final class MonotonicTime {
  /** No such time; far in the past, but safe to subtract from. */
  public static final long NEVER = Long.MIN_VALUE / 4;

  private MonotonicTime() {}
}
