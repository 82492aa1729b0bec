package org.snowturn.core.model;

import java.util.Arrays;

/** The last finished run times on a machine, each over the median of its array. */
final class RunTimeRatios {
  private static final int REMEMBERED = 32;

  private final double[] ratios = new double[REMEMBERED];
  private int count;

  /** NaN until it is worked out again. */
  private double median = 1;

  void add(double ratio) {
    ratios[count++ % ratios.length] = ratio;
    median = Double.NaN;
  }

  /** How many run times were ever added. */
  int count() {
    return count;
  }

  /** 1 before there are any. */
  double median() {
    if (Double.isNaN(median)) {
      double[] sorted = Arrays.copyOf(ratios, Math.min(count, ratios.length));
      Arrays.sort(sorted);
      median = sorted[sorted.length / 2];
    }
    return median;
  }
}
