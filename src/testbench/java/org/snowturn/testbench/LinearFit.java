package org.snowturn.testbench;

import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Straight line fitted to measured points by least squares.
 *
 * @param pointCount number of points
 * @param perUnit slope of the line
 * @param spread half the width of the slope's 95% confidence interval; NaN with fewer than three
 *     points
 * @param intercept value of the line at zero
 * @param worstResidual largest vertical distance of a point from the line, as a fraction of the
 *     largest absolute value of a point
 */
record LinearFit(
    int pointCount, double perUnit, double spread, double intercept, double worstResidual) {
  /** Largest worst residual with which the points still count as lying on a line. */
  private static final double MAX_LINEAR_RESIDUAL = 0.15;

  /** Returns the line fitted to points, which are given as y values by x value. */
  static LinearFit fit(Map<Double, Double> points) {
    SimpleRegression line = new SimpleRegression();
    points.forEach(line::addData);
    double largest = 0;
    double worstDistance = 0;
    for (var point : points.entrySet()) {
      largest = Math.max(largest, Math.abs(point.getValue()));
      worstDistance =
          Math.max(worstDistance, Math.abs(point.getValue() - line.predict(point.getKey())));
    }
    double spread = points.size() > 2 ? line.getSlopeConfidenceInterval() : Double.NaN;
    double residual = largest == 0 ? 0 : worstDistance / largest;
    return new LinearFit(points.size(), line.getSlope(), spread, line.getIntercept(), residual);
  }

  /** Returns the value of the line at the given x value. */
  double predict(double xValue) {
    return intercept + perUnit * xValue;
  }

  /** Returns whether all points lie close to the line. */
  boolean isLinear() {
    return worstResidual <= MAX_LINEAR_RESIDUAL;
  }
}
