package org.snowturn.core;

/** Values of the monotonic clock, which counts milliseconds from an arbitrary point in time. */
public final class MonotonicTime {
  /**
   * Value of a time that is not set, such as that of an event that has not happened. It lies far in
   * the past, but subtracting it from any time does not overflow.
   */
  public static final long UNSET = Long.MIN_VALUE / 4;

  private MonotonicTime() {}
}
