package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Committed figures of many scale runs, grouped by series. */
final class Measurements {
  /** First line of a file of measurements. */
  static final String HEADER = "series," + ScaleResultWriter.HEADER;

  private static final int COLUMN_COUNT = HEADER.split(",").length;
  private static final int FAILURE_COLUMN = COLUMN_COUNT - 4;
  private static final int SCOPE_COLUMN = COLUMN_COUNT - 3;
  private static final int FIGURE_COLUMN = COLUMN_COUNT - 2;
  private static final int VALUE_COLUMN = COLUMN_COUNT - 1;

  /** Parameters that vary from run to run, with the index of their column in the file. */
  enum Factor {
    WORKERS(1),
    TASKS(2),
    STARTS(3),
    CONTROLLERS(5),
    TEAMS(6);

    final int column;

    Factor(int column) {
      this.column = column;
    }

    /** Returns the name of the factor in the files, which also names the series that varies it. */
    String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /**
   * One figure of one run.
   *
   * @param series name of the series to which the run belongs
   * @param size value of each factor in the plan of the run
   * @param failure failure that was injected, or "none"
   * @param role {@code leader}, {@code standby}, {@code region}, {@code one worker} or the thread
   *     of a simulated service, such as {@code stand-in state}
   * @param figure name of the figure
   * @param value value of the figure
   */
  record Point(
      String series,
      Map<Factor, Double> size,
      String failure,
      String role,
      String figure,
      double value) {}

  private final List<Point> points = new ArrayList<>();

  /**
   * Reads a file of measurements.
   *
   * @throws InvalidInputException if the file cannot be read, or with the number of the first
   *     malformed line
   */
  static Measurements read(Path file) throws InvalidInputException {
    Measurements measurements = new Measurements();
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
    if (lines.isEmpty() || !lines.get(0).equals(HEADER)) {
      throw new InvalidInputException(file + ":1: expected the header " + HEADER);
    }
    for (int i = 1; i < lines.size(); i++) {
      String[] columns = lines.get(i).split(",", -1);
      if (columns.length != COLUMN_COUNT) {
        throw new InvalidInputException(
            file
                + ":"
                + (i + 1)
                + ": expected "
                + COLUMN_COUNT
                + " columns, found "
                + columns.length);
      }
      try {
        measurements.points.add(parsePoint(columns));
      } catch (NumberFormatException e) {
        throw new InvalidInputException(
            file + ":" + (i + 1) + ": expected a number: " + e.getMessage());
      }
    }
    return measurements;
  }

  private static Point parsePoint(String[] columns) {
    Map<Factor, Double> size = new TreeMap<>();
    for (Factor factor : Factor.values()) {
      size.put(factor, Double.parseDouble(columns[factor.column]));
    }
    double value = Double.parseDouble(columns[VALUE_COLUMN]);
    String failure = columns[FAILURE_COLUMN];
    return new Point(
        columns[0], size, failure, roleOf(columns[SCOPE_COLUMN]), columns[FIGURE_COLUMN], value);
  }

  /** Returns the scope without a name or number: "leader r0-n1" becomes "leader". */
  private static String roleOf(String scope) {
    String first = scope.split(" ", -1)[0];
    return List.of("leader", "standby", "region").contains(first) ? first : scope;
  }

  List<Point> points() {
    return points;
  }

  /**
   * Returns the values of a figure in the runs of a series by the value of the factor. Figures of
   * all processes of the role, and of repeated runs, are averaged.
   */
  Map<Double, Double> averagesByFactor(Factor factor, String series, String role, String figure) {
    Map<Double, List<Double>> valuesByFactor = new TreeMap<>();
    for (Point point : points) {
      if (point.series.equals(series) && point.role.equals(role) && point.figure.equals(figure)) {
        valuesByFactor
            .computeIfAbsent(point.size.get(factor), key -> new ArrayList<>())
            .add(point.value);
      }
    }
    Map<Double, Double> averages = new TreeMap<>();
    valuesByFactor.forEach(
        (factorValue, values) ->
            averages.put(
                factorValue, values.stream().mapToDouble(Double::doubleValue).average().orElse(0)));
    return averages;
  }

  /**
   * Returns the value of a factor that the series does not vary, taken from its first run.
   *
   * @throws InvalidInputException if the series has no runs
   */
  double fixedValue(Factor factor, String series) throws InvalidInputException {
    return points.stream()
        .filter(point -> point.series.equals(series))
        .mapToDouble(point -> point.size.get(factor))
        .findFirst()
        .orElseThrow(
            () ->
                new InvalidInputException(
                    "the measurements contain no run of the series " + series));
  }
}
