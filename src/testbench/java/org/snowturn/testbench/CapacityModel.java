package org.snowturn.testbench;

import java.util.EnumMap;
import java.util.Map;
import org.snowturn.testbench.Measurements.Factor;

/**
 * Linear model that predicts a figure of a role at sizes that were not measured. It starts from the
 * line fitted to the series that varies the workers, and adds the slope of each other factor times
 * the distance from the value which that factor has in the workers' series. The model assumes that
 * the factors' contributions add up; the capacity page names the larger measured sizes where they
 * do not.
 */
final class CapacityModel {
  private static final int MIN_POINTS = 3;

  private final Measurements measured;

  /** Creates a model of the given measurements. */
  CapacityModel(Measurements measured) {
    this.measured = measured;
  }

  /** Returns the line fitted to the series that varies only the given factor. */
  LinearFit fit(Factor factor, String role, String figure) {
    return LinearFit.fit(measured.averagesByFactor(factor, factor.label(), role, figure));
  }

  /**
   * Returns the predicted value of a figure at the given size.
   *
   * @param size value of every factor
   * @throws InvalidInputException if the series that varies the workers was not measured
   */
  double predict(Map<Factor, Double> size, String role, String figure)
      throws InvalidInputException {
    double sum = predictByWorkers(size.get(Factor.WORKERS), role, figure);
    for (Factor factor : Factor.values()) {
      if (factor != Factor.WORKERS) {
        double base = measured.fixedValue(factor, Factor.WORKERS.label());
        sum += slopeOrZero(fit(factor, role, figure)) * (size.get(factor) - base);
      }
    }
    return sum;
  }

  private double predictByWorkers(double workers, String role, String figure) {
    LinearFit line = fit(Factor.WORKERS, role, figure);
    if (!isNoise(line)) {
      return line.predict(workers);
    }
    return measured
        .averagesByFactor(Factor.WORKERS, Factor.WORKERS.label(), role, figure)
        .values()
        .stream()
        .mapToDouble(Double::doubleValue)
        .average()
        .orElse(0);
  }

  /**
   * Returns whether a falling line is within its confidence interval and so counts as noise. A
   * rising line never counts as noise.
   */
  private static boolean isNoise(LinearFit line) {
    return line.perUnit() < 0 && -line.perUnit() <= line.spread();
  }

  /** Returns the slope, or 0 if the line is noise or has too few points to show a slope. */
  private static double slopeOrZero(LinearFit line) {
    return line.pointCount() < MIN_POINTS || isNoise(line) ? 0 : line.perUnit();
  }

  /** Returns the size times the multiplier, except for controllers, which do not grow with load. */
  static Map<Factor, Double> scaleLoad(Map<Factor, Double> size, double multiplier) {
    Map<Factor, Double> scaled = new EnumMap<>(size);
    scaled.replaceAll((factor, value) -> factor == Factor.CONTROLLERS ? value : value * multiplier);
    return scaled;
  }
}
