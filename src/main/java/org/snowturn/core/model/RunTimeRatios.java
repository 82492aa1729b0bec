package org.snowturn.core.model;

import java.util.Arrays;

/**
 * The run times of the last tasks that finished on a machine, each divided by the median run time
 * of the task's array.
 */
final class RunTimeRatios {
  /** Maximum number of run times kept; a new one then replaces the oldest. */
  private static final int MAX_RATIOS = 32;

  private final double[] ratios = new double[MAX_RATIOS];
  private int count;

  /** The cached median; NaN until it is computed again. */
  private double median = 1;

  void add(double ratio) {
    ratios[count++ % ratios.length] = ratio;
    median = Double.NaN;
  }

  /** Returns the number of run times ever added. */
  int count() {
    return count;
  }

  /** Returns the median of the kept ratios; 1 if there are none. */
  double median() {
    if (Double.isNaN(median)) {
      double[] sorted = Arrays.copyOf(ratios, Math.min(count, ratios.length));
      Arrays.sort(sorted);
      median = sorted[sorted.length / 2];
    }
    return median;
  }
}
