package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.snowturn.testbench.Measurements.Factor;
import org.snowturn.testbench.Measurements.Point;

/** Tables of the capacity page, in Markdown, computed from the measurements. */
final class CapacityTables {
  private static final double GROWTH_FACTOR = 1.5;
  private static final String LIMITS_HEADER = "role,figure,label,limit,mechanism";
  private static final int LIMITS_COLUMNS = LIMITS_HEADER.split(",").length;

  /**
   * Planned size of one region: a third of the whole, except for the teams, which work in all
   * regions.
   */
  private static final Map<Factor, Double> PLANNED_REGION =
      new EnumMap<>(
          Map.of(
              Factor.WORKERS, 3_667.0,
              Factor.TASKS, 100_000.0,
              Factor.STARTS, 297.0,
              Factor.TEAMS, 190.0,
              Factor.CONTROLLERS, 5.0));

  /** Indexes of the columns in the file of limits. */
  private static final int ROLE = 0;

  private static final int FIGURE = 1;
  private static final int LABEL = 2;
  private static final int LIMIT = 3;
  private static final int MECHANISM = 4;

  private final Measurements measured;
  private final CapacityModel model;
  private final List<String[]> limits;

  /**
   * Creates the tables.
   *
   * @param limitsFile CSV file with one row for each figure in the tables
   * @throws InvalidInputException if the file of limits cannot be read or is malformed
   */
  CapacityTables(Measurements measured, Path limitsFile) throws InvalidInputException {
    this.measured = measured;
    this.model = new CapacityModel(measured);
    this.limits = readLimits(limitsFile);
  }

  private static List<String[]> readLimits(Path file) throws InvalidInputException {
    List<String[]> limits = new ArrayList<>();
    try {
      List<String> lines = Files.readAllLines(file);
      if (lines.isEmpty() || !lines.get(0).equals(LIMITS_HEADER)) {
        throw new InvalidInputException(file + ":1: expected the header " + LIMITS_HEADER);
      }
      for (String line : lines.subList(1, lines.size())) {
        String[] columns = line.split(",", -1);
        if (columns.length != LIMITS_COLUMNS || !columns[LIMIT].matches("[0-9.]*")) {
          throw new InvalidInputException(
              file
                  + ": expected "
                  + LIMITS_COLUMNS
                  + " columns with a number or nothing as the limit, found: "
                  + line);
        }
        limits.add(columns);
      }
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
    return limits;
  }

  /** Returns the table with the line fitted to each figure along each factor. */
  String slopesTable() {
    StringBuilder text = new StringBuilder();
    text.append(
        "| role | figure | along | points | per 1,000 | spread | at zero | worst residual |\n");
    text.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (String[] limit : limits) {
      for (Factor factor : Factor.values()) {
        LinearFit line = model.fit(factor, limit[ROLE], limit[FIGURE]);
        if (line.pointCount() > 1) {
          text.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %s | %s | %d | %s | %s | %s | %.0f%%%s |%n",
                  limit[ROLE],
                  limit[LABEL],
                  factor.label(),
                  line.pointCount(),
                  format(line.perUnit() * 1000),
                  Double.isNaN(line.spread()) ? "-" : "± " + format(line.spread() * 1000),
                  format(line.intercept()),
                  line.worstResidual() * 100,
                  line.isLinear() ? "" : ", not a line"));
        }
      }
    }
    return text.toString();
  }

  /** Returns the table of what a planned region needs, at its size and at 1.5 times that size. */
  String planTable() throws InvalidInputException {
    StringBuilder text = new StringBuilder();
    text.append("| role | figure | plan, a region | 1.5 times | limit | headroom | carried by |\n");
    text.append("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (String[] limit : limits) {
      double planned = model.predict(PLANNED_REGION, limit[ROLE], limit[FIGURE]);
      double grown =
          model.predict(
              CapacityModel.scaleLoad(PLANNED_REGION, GROWTH_FACTOR), limit[ROLE], limit[FIGURE]);
      boolean isLimited = !limit[LIMIT].isEmpty();
      String headroom =
          isLimited
              ? String.format(Locale.ROOT, "%.1f", Double.parseDouble(limit[LIMIT]) / planned)
              : "-";
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %s | %s | %s | %s | %s | %s |%n",
              limit[ROLE],
              limit[LABEL],
              format(planned),
              format(grown),
              isLimited ? limit[LIMIT] : "none",
              headroom,
              limit[MECHANISM]));
    }
    return text.toString();
  }

  /** Returns the table of a series, with one row for each size and failure. */
  String runsTable(String series) {
    Set<String> keys = new LinkedHashSet<>();
    for (Point point : measured.points()) {
      if (point.series().equals(series)) {
        keys.add(key(point));
      }
    }
    StringBuilder text = new StringBuilder();
    text.append(
        "| workers, tasks, starts a second, fails | starts a second | urgent 50, 95, 99% ms |");
    text.append(
        " accepted 95% ms | changes of leader, longest pause s | leader's cores, MB, sockets |");
    text.append(" state service: requests, changes, refused | a worker: cores, KB a second |");
    text.append(" rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (String key : keys) {
      text.append("| ").append(key).append(" | ");
      text.append(cell(series, key, "region", "starts_per_s")).append(" | ");
      text.append(cells(series, key, "region", "urgent_p50_ms", "urgent_p95_ms", "urgent_p99_ms"));
      text.append(" | ").append(cell(series, key, "region", "accept_p95_ms")).append(" | ");
      text.append(cells(series, key, "region", "leader_changes", "longest_pause_s")).append(" | ");
      text.append(cells(series, key, "leader", "cores", "memory_peak_mb", "sockets_peak"));
      text.append(" | ");
      text.append(
          cells(
              series,
              key,
              "region",
              "state_requests_per_s",
              "state_changes_per_s",
              "state_refused"));
      text.append(" | ").append(cell(series, key, "one worker", "cores")).append(", ");
      text.append(format(sum(series, key, "one worker", "kb_in_per_s", "kb_out_per_s")))
          .append(" | ");
      text.append(cell(series, key, "region", "rules_broken")).append(" |\n");
    }
    return text.toString();
  }

  private static String key(Point point) {
    return String.format(
        Locale.ROOT,
        "%,.0f, %,.0f, %.0f, %s",
        point.size().get(Factor.WORKERS),
        point.size().get(Factor.TASKS),
        point.size().get(Factor.STARTS),
        point.failure());
  }

  private String cells(String series, String key, String role, String... figures) {
    List<String> cells = new ArrayList<>();
    for (String figure : figures) {
      cells.add(cell(series, key, role, figure));
    }
    return String.join(", ", cells);
  }

  /**
   * Returns the largest of the role's values, or "-" if there is none. The regions of one run are
   * measured at the same time, and the worst of them counts.
   */
  private String cell(String series, String key, String role, String figure) {
    return measured.points().stream()
        .filter(point -> point.series().equals(series) && key(point).equals(key))
        .filter(point -> point.role().equals(role) && point.figure().equals(figure))
        .mapToDouble(Point::value)
        .max()
        .stream()
        .mapToObj(CapacityTables::format)
        .findFirst()
        .orElse("-");
  }

  private double sum(String series, String key, String role, String... figures) {
    Set<String> wanted = Set.of(figures);
    return measured.points().stream()
        .filter(point -> point.series().equals(series) && key(point).equals(key))
        .filter(point -> point.role().equals(role) && wanted.contains(point.figure()))
        .mapToDouble(Point::value)
        .sum();
  }

  /** Returns the value with fewer decimal places the larger it is. */
  static String format(double value) {
    if (value == 0) {
      return "0";
    }
    double magnitude = Math.abs(value);
    String pattern =
        magnitude >= 100 ? "%,.0f" : magnitude >= 10 ? "%.1f" : magnitude >= 0.1 ? "%.2f" : "%.4f";
    return String.format(Locale.ROOT, pattern, value);
  }
}
