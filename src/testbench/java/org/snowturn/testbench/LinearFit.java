package org.snowturn.testbench;

import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points.
 *
 * @param points how many
 * @param perUnit the slope
 * @param spread half the width of its 95% interval; NaN with fewer than three points
 * @param atZero where the line meets zero
 * @param worstResidual the largest distance of a point from the line, as a share of the largest
 *     point
 */
record LinearFit(
    int pointCount, double perUnit, double spread, double intercept, double worstResidual) {
  /** Beyond this the points do not lie on a line. */
  private static final double NOT_A_LINE = 0.15;

  static LinearFit fit(Map<Double, Double> points) {
    SimpleRegression line = new SimpleRegression();
    points.forEach(line::addData);
    double largest = 0;
    double worst = 0;
    for (var e : points.entrySet()) {
      largest = Math.max(largest, Math.abs(e.getValue()));
      worst = Math.max(worst, Math.abs(e.getValue() - line.predict(e.getKey())));
    }
    double spread = points.size() > 2 ? line.getSlopeConfidenceInterval() : Double.NaN;
    double residual = largest == 0 ? 0 : worst / largest;
    return new LinearFit(points.size(), line.getSlope(), spread, line.getIntercept(), residual);
  }

  double predict(double x) {
    return intercept + perUnit * x;
  }

  boolean isLinear() {
    return worstResidual <= NOT_A_LINE;
  }
}
