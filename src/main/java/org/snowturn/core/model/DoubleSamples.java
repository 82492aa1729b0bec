package org.snowturn.core.model;

import java.util.Arrays;

/** A growing list of numbers without boxing. */
public final class DoubleSamples {
  private double[] values = new double[8];
  private int size;
  private double[] sorted;

  public void add(double v) {
    if (size == values.length) {
      values = Arrays.copyOf(values, size * 2);
    }
    values[size++] = v;
    sorted = null;
  }

  public int size() {
    return size;
  }

  public boolean isEmpty() {
    return size == 0;
  }

  public double get(int i) {
    return values[i];
  }

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
