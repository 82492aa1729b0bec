package org.snowturn.core.model;

import java.util.Arrays;

/** A growing list of numbers without boxing. */
public final class DoubleSamples {
  private double[] values = new double[8];
  private int size;
  private double[] sorted;

  /** Adds a number. */
  public void add(double value) {
    if (size == values.length) {
      values = Arrays.copyOf(values, size * 2);
    }
    values[size++] = value;
    sorted = null;
  }

  /** How many numbers there are. */
  public int size() {
    return size;
  }

  /** Whether there are no numbers yet. */
  public boolean isEmpty() {
    return size == 0;
  }

  /** The number that was added so many numbers after the first. */
  public double get(int index) {
    return values[index];
  }

  /** The median; NaN if there are no numbers. */
  public double median() {
    return percentile(50);
  }

  /** The value below which {@code percent} of the numbers lie; NaN if there are none. */
  public double percentile(double percent) {
    if (size == 0) {
      return Double.NaN;
    }
    if (sorted == null) {
      sorted = Arrays.copyOf(values, size);
      Arrays.sort(sorted);
    }
    return sorted[Math.min((int) Math.floor(percent / 100 * size), size - 1)];
  }
}
