package org.snowturn.core.admission;

import java.util.Arrays;

/**
 * Max-min fair division of a rate: no share exceeds its demand, and unused shares are passed on.
 */
public final class FairShares {
  private FairShares() {}

  /**
   * Returns weighted max-min fair shares: demands below their weighted share are met in full, and
   * the remainder is divided among the others.
   *
   * @param demands the rate that each participant can use, per second
   * @param weights the participants' weights, each greater than 0
   * @param rate the rate to divide, per second
   * @return the share of each participant, per second; the sum is at most {@code rate}
   */
  public static double[] of(double[] demands, double[] weights, double rate) {
    double[] shares = new double[demands.length];
    boolean[] isMet = new boolean[demands.length];
    double remaining = Math.max(0, rate);
    for (int round = 0; round < demands.length; round++) {
      double unmetWeight = 0;
      for (int i = 0; i < demands.length; i++) {
        unmetWeight += isMet[i] ? 0 : weights[i];
      }
      boolean hasChanged = false;
      double available = remaining;
      for (int i = 0; i < demands.length; i++) {
        if (!isMet[i] && demands[i] <= available * weights[i] / unmetWeight) {
          shares[i] = Math.max(0, demands[i]);
          remaining -= shares[i];
          isMet[i] = true;
          hasChanged = true;
        }
      }
      if (!hasChanged) {
        for (int i = 0; i < demands.length; i++) {
          shares[i] = isMet[i] ? shares[i] : remaining * weights[i] / unmetWeight;
        }
        break;
      }
    }
    return shares;
  }

  /**
   * Returns max-min fair shares with equal weights.
   *
   * @param demands the rate that each participant can use, per second
   * @param rate the rate to divide, per second
   * @return the share of each participant, per second; the sum is at most {@code rate}
   */
  public static double[] of(double[] demands, double rate) {
    double[] weights = new double[demands.length];
    Arrays.fill(weights, 1);
    return of(demands, weights, rate);
  }
}
