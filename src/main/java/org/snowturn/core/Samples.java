package org.snowturn.core;

import java.util.Arrays;

/** A growing list of numbers without boxing. */
final class Samples {
  private double[] values = new double[8];
  private int size;
  private double[] sorted;

  void add(double v) {
    if (size == values.length) {
      values = Arrays.copyOf(values, size * 2);
    }
    values[size++] = v;
    sorted = null;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  double get(int i) {
    return values[i];
  }

  double median() {
    return percentile(50);
  }

  /** The value below which {@code percent} of the numbers lie; NaN if there are none. */
  double percentile(double percent) {
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
