package org.snowturn.core.admission;

import java.util.Arrays;

/**
 * Divides a rate among those who need it: nobody gets more than it needs, nor less than is fair.
 */
public final class FairShares {
  private FairShares() {}

  /**
   * Max-min fair shares by weight: whoever needs less than its part leaves the rest to the others.
   *
   * @param needs what each could use, a second
   * @param weights of what is left each gets a part in proportion to these; more than 0
   * @param rate what there is, a second
   * @return a part for each; together no more than {@code rate}
   */
  public static double[] of(double[] needs, double[] weights, double rate) {
    double[] out = new double[needs.length];
    boolean[] full = new boolean[needs.length];
    double left = Math.max(0, rate);
    for (int round = 0; round < needs.length; round++) {
      double weight = 0;
      for (int i = 0; i < needs.length; i++) {
        weight += full[i] ? 0 : weights[i];
      }
      boolean changed = false;
      double now = left;
      for (int i = 0; i < needs.length; i++) {
        if (!full[i] && needs[i] <= now * weights[i] / weight) {
          out[i] = Math.max(0, needs[i]);
          left -= out[i];
          full[i] = true;
          changed = true;
        }
      }
      if (!changed) {
        for (int i = 0; i < needs.length; i++) {
          out[i] = full[i] ? out[i] : left * weights[i] / weight;
        }
        break;
      }
    }
    return out;
  }

  /** The same among equals. */
  public static double[] of(double[] needs, double rate) {
    double[] weights = new double[needs.length];
    Arrays.fill(weights, 1);
    return of(needs, weights, rate);
  }
}
