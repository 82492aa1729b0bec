package org.snowturn.core.model;

import java.util.Arrays;

/**
 * A growable list of {@code double} samples, stored without boxing. It may be bounded: of more
 * samples, evenly spaced ones are kept, so that their distribution stays the same.
 */
public final class DoubleSamples {
  private static final int INITIAL_CAPACITY = 8;
  private static final double MEDIAN_PERCENTILE = 50;

  private final int maxSize;
  private double[] values = new double[INITIAL_CAPACITY];
  private int size;

  /** One of this number of added samples is kept. */
  private int stride = 1;

  /** Number of samples that are skipped before the next one is kept. */
  private int skip;

  /** Sorted copy of the samples; null until it is needed after a change. */
  private double[] sorted;

  /** Creates an empty list without a bound. */
  public DoubleSamples() {
    this(Integer.MAX_VALUE);
  }

  /**
   * Creates an empty list.
   *
   * @param maxSize maximum number of samples that are kept; an even number
   */
  public DoubleSamples(int maxSize) {
    this.maxSize = maxSize;
  }

  /** Adds a sample. */
  public void add(double value) {
    if (skip > 0) {
      skip--;
      return;
    }
    if (size == maxSize) {
      dropEverySecond();
    }
    if (size == values.length) {
      values = Arrays.copyOf(values, Math.min(maxSize, size * 2));
    }
    values[size++] = value;
    skip = stride - 1;
    sorted = null;
  }

  private void dropEverySecond() {
    size /= 2;
    for (int i = 0; i < size; i++) {
      values[i] = values[2 * i];
    }
    stride *= 2;
  }

  /** Returns the number of samples that are kept. */
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
