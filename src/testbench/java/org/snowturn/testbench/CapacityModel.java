package org.snowturn.testbench;

import java.util.EnumMap;
import java.util.Map;
import org.snowturn.testbench.Measurements.Factor;

/**
 * What a role needs at a size that was not run: the line along the workers, and for each other
 * factor its own slope from the size at which the workers were varied. It takes the factors to add
 * up; where runs at larger sizes say otherwise, the page says so.
 */
final class CapacityModel {
  private static final int LEAST_POINTS = 3;

  private final Measurements measured;

  CapacityModel(Measurements measured) {
    this.measured = measured;
  }

  /** The slope along one factor, from the series that varies it alone. */
  LinearFit fit(Factor factor, String role, String figure) {
    return LinearFit.fit(measured.averagesByFactor(factor, factor.label(), role, figure));
  }

  /** A figure at a size. */
  double predict(Map<Factor, Double> size, String role, String figure) throws InvalidPlanException {
    double sum = alongWorkers(size.get(Factor.WORKERS), role, figure);
    for (Factor f : Factor.values()) {
      if (f != Factor.WORKERS) {
        double base = measured.fixedValue(f, Factor.WORKERS.label());
        sum += perUnit(fit(f, role, figure)) * (size.get(f) - base);
      }
    }
    return sum;
  }

  private double alongWorkers(double workers, String role, String figure) {
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

  /** A fall within the spread is taken for noise, a rise is not. */
  private static boolean isNoise(LinearFit s) {
    return s.perUnit() < 0 && -s.perUnit() <= s.spread();
  }

  /** Too few points tell nothing. */
  private static double perUnit(LinearFit s) {
    return s.pointCount() < LEAST_POINTS || isNoise(s) ? 0 : s.perUnit();
  }

  /** The same size so many times, but for what does not grow with the load. */
  static Map<Factor, Double> scaleLoad(Map<Factor, Double> size, double factor) {
    Map<Factor, Double> out = new EnumMap<>(size);
    out.replaceAll((f, v) -> f == Factor.CONTROLLERS ? v : v * factor);
    return out;
  }
}
