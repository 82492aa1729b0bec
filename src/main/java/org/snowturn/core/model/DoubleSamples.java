package org.snowturn.core.model;

import java.util.Arrays;

/** A growable list of {@code double} samples, stored without boxing. */
public final class DoubleSamples {
  private static final int INITIAL_CAPACITY = 8;
  private static final double MEDIAN_PERCENTILE = 50;

  private double[] values = new double[INITIAL_CAPACITY];
  private int size;

  /** Sorted copy of the samples; null until it is needed after a change. */
  private double[] sorted;

  /** Adds a sample. */
  public void add(double value) {
    if (size == values.length) {
      values = Arrays.copyOf(values, size * 2);
    }
    values[size++] = value;
    sorted = null;
  }

  /** Returns the number of samples. */
  public int size() {
    return size;
  }

  /** Returns whether there are no samples. */
  public boolean isEmpty() {
    return size == 0;
  }

  /** Returns the sample at an index, in the order in which they were added. */
  public double get(int index) {
    return values[index];
  }

  /** Returns the median; NaN if there are no samples. */
  public double median() {
    return percentile(MEDIAN_PERCENTILE);
  }

  /**
   * Returns the sample at a percentile; NaN if there are no samples.
   *
   * @param percent the share of the samples below the returned one, from 0 to 100
   */
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
