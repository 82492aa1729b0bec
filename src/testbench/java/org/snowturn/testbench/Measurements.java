package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The committed figures of many runs: each has a series, a size, and figures by role. */
final class Measurements {
  static final String HEADER = "series," + ScaleResultWriter.HEADER;
  private static final int COLUMNS = HEADER.split(",").length;
  private static final int SCOPE = COLUMNS - 3;
  private static final int FIGURE = COLUMNS - 2;
  private static final int VALUE = COLUMNS - 1;

  /** What may be varied from run to run, and the column where it stands. */
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

    String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /**
   * One figure of one run.
   *
   * @param size what was asked of the run, by factor
   * @param role leader, standby, region, one worker or a stand-in
   */
  record Point(
      String series,
      Map<Factor, Double> size,
      String failure,
      String role,
      String figure,
      double value) {}

  private final List<Point> points = new ArrayList<>();

  /** Reads a file; a damaged line ends it with the line's number. */
  static Measurements read(Path file) throws InvalidPlanException {
    Measurements out = new Measurements();
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new InvalidPlanException(file + ": cannot be read");
    }
    if (lines.isEmpty() || !lines.get(0).equals(HEADER)) {
      throw new InvalidPlanException(file + ": its first line is not the header of measurements");
    }
    for (int i = 1; i < lines.size(); i++) {
      String[] words = lines.get(i).split(",", -1);
      if (words.length != COLUMNS) {
        throw new InvalidPlanException(file + ":" + (i + 1) + ": " + COLUMNS + " columns expected");
      }
      try {
        out.points.add(point(words));
      } catch (NumberFormatException e) {
        throw new InvalidPlanException(file + ":" + (i + 1) + ": a number expected");
      }
    }
    return out;
  }

  private static Point point(String[] words) {
    Map<Factor, Double> size = new TreeMap<>();
    for (Factor f : Factor.values()) {
      size.put(f, Double.parseDouble(words[f.column]));
    }
    double value = Double.parseDouble(words[VALUE]);
    String fail = words[SCOPE - 1];
    return new Point(words[0], size, fail, role(words[SCOPE]), words[FIGURE], value);
  }

  /** "leader r0-n1" and "region 2" are the leader and the region of any run. */
  private static String role(String scope) {
    String first = scope.split(" ", -1)[0];
    return List.of("leader", "standby", "region").contains(first) ? first : scope;
  }

  List<Point> points() {
    return points;
  }

  /** A series' runs by the size of a factor; figures of a role's processes are averaged. */
  Map<Double, Double> averagesByFactor(Factor factor, String series, String role, String figure) {
    Map<Double, List<Double>> all = new TreeMap<>();
    for (Point p : points) {
      if (p.series.equals(series) && p.role.equals(role) && p.figure.equals(figure)) {
        all.computeIfAbsent(p.size.get(factor), k -> new ArrayList<>()).add(p.value);
      }
    }
    Map<Double, Double> out = new TreeMap<>();
    all.forEach(
        (x, ys) -> out.put(x, ys.stream().mapToDouble(Double::doubleValue).average().orElse(0)));
    return out;
  }

  /** The size that a series' runs have in common in a factor that they do not vary. */
  double fixedValue(Factor factor, String series) throws InvalidPlanException {
    return points.stream()
        .filter(p -> p.series.equals(series))
        .mapToDouble(p -> p.size.get(factor))
        .findFirst()
        .orElseThrow(
            () -> new InvalidPlanException("no series " + series + " among the measurements"));
  }
}
