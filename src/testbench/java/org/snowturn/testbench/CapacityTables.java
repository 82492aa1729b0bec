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

/** The tables of the capacity page, in Markdown, made from the measurements. */
final class CapacityTables {
  private static final double MORE = 1.5;
  private static final String LIMITS_HEADER = "role,figure,label,limit,mechanism";
  private static final int LIMITS_COLUMNS = LIMITS_HEADER.split(",").length;

  /** One region of the plan: a third of everything but the teams, which work in all regions. */
  private static final Map<Factor, Double> REGION =
      new EnumMap<>(
          Map.of(
              Factor.WORKERS, 3_667.0,
              Factor.TASKS, 100_000.0,
              Factor.STARTS, 297.0,
              Factor.TEAMS, 190.0,
              Factor.CONTROLLERS, 5.0));

  private final Measurements measured;
  private final CapacityModel model;
  private final List<String[]> limits;

  CapacityTables(Measurements measured, Path limitsFile) throws InvalidPlanException {
    this.measured = measured;
    this.model = new CapacityModel(measured);
    this.limits = limits(limitsFile);
  }

  private static List<String[]> limits(Path file) throws InvalidPlanException {
    List<String[]> out = new ArrayList<>();
    try {
      List<String> lines = Files.readAllLines(file);
      if (lines.isEmpty() || !lines.get(0).equals(LIMITS_HEADER)) {
        throw new InvalidPlanException(file + ": its first line is not " + LIMITS_HEADER);
      }
      for (String line : lines.subList(1, lines.size())) {
        String[] words = line.split(",", -1);
        if (words.length != LIMITS_COLUMNS || !words[3].matches("[0-9.]*")) {
          throw new InvalidPlanException(file + ": not a limit: " + line);
        }
        out.add(words);
      }
    } catch (IOException e) {
      throw new InvalidPlanException(file + ": cannot be read");
    }
    return out;
  }

  /** Each figure's slope along each factor. */
  String slopesTable() {
    StringBuilder text = new StringBuilder();
    text.append(
        "| role | figure | along | points | per 1,000 | spread | at zero | worst residual |\n");
    text.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (String[] limit : limits) {
      for (Factor f : Factor.values()) {
        LinearFit slope = model.fit(f, limit[0], limit[1]);
        if (slope.pointCount() > 1) {
          text.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %s | %s | %d | %s | %s | %s | %.0f%%%s |%n",
                  limit[0],
                  limit[2],
                  f.label(),
                  slope.pointCount(),
                  format(slope.perUnit() * 1000),
                  Double.isNaN(slope.spread()) ? "-" : "± " + format(slope.spread() * 1000),
                  format(slope.intercept()),
                  slope.worstResidual() * 100,
                  slope.isLinear() ? "" : ", not a line"));
        }
      }
    }
    return text.toString();
  }

  /** What a region of the plan needs, and at one and a half times its size. */
  String planTable() throws InvalidPlanException {
    StringBuilder text = new StringBuilder();
    text.append("| role | figure | plan, a region | 1.5 times | limit | headroom | carried by |\n");
    text.append("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (String[] limit : limits) {
      double planned = model.predict(REGION, limit[0], limit[1]);
      double more = model.predict(CapacityModel.scaleLoad(REGION, MORE), limit[0], limit[1]);
      boolean limited = !limit[3].isEmpty();
      String headroom =
          limited
              ? String.format(Locale.ROOT, "%.1f", Double.parseDouble(limit[3]) / planned)
              : "-";
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %s | %s | %s | %s | %s | %s |%n",
              limit[0],
              limit[2],
              format(planned),
              format(more),
              limited ? limit[3] : "none",
              headroom,
              limit[4]));
    }
    return text.toString();
  }

  /** The runs of a series, one line each. */
  String runsTable(String series) {
    Set<String> keys = new LinkedHashSet<>();
    for (Point p : measured.points()) {
      if (p.series().equals(series)) {
        keys.add(key(p));
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

  private static String key(Point p) {
    return String.format(
        Locale.ROOT,
        "%,.0f, %,.0f, %.0f, %s",
        p.size().get(Factor.WORKERS),
        p.size().get(Factor.TASKS),
        p.size().get(Factor.STARTS),
        p.failure());
  }

  private String cells(String series, String key, String role, String... figures) {
    List<String> out = new ArrayList<>();
    for (String f : figures) {
      out.add(cell(series, key, role, f));
    }
    return String.join(", ", out);
  }

  /** The largest of the role's values: of regions that are played side by side the worst counts. */
  private String cell(String series, String key, String role, String figure) {
    return measured.points().stream()
        .filter(p -> p.series().equals(series) && key(p).equals(key))
        .filter(p -> p.role().equals(role) && p.figure().equals(figure))
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
        .filter(p -> p.series().equals(series) && key(p).equals(key))
        .filter(p -> p.role().equals(role) && wanted.contains(p.figure()))
        .mapToDouble(Point::value)
        .sum();
  }

  static String format(double v) {
    if (v == 0) {
      return "0";
    }
    double size = Math.abs(v);
    String form = size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : size >= 0.1 ? "%.2f" : "%.4f";
    return String.format(Locale.ROOT, form, v);
  }
}
