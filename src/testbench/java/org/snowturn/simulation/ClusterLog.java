package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;

/** Log lines written by the controllers of a simulated cluster, in chronological order. */
final class ClusterLog {
  /** Maximum number of lines that {@link #tail} returns. */
  private static final int MAX_TAIL_LINES = 40;

  /** A log line with the time and the controller that wrote it. */
  private record Line(long atMs, String node, String text) {
    boolean contains(String part) {
      return toString().contains(part);
    }

    @Override
    public String toString() {
      return atMs + " " + node + " " + text;
    }
  }

  private final List<Line> lines = new ArrayList<>();

  /** Appends a line. */
  void add(long atMs, String node, String text) {
    lines.add(new Line(atMs, node, text));
  }

  /** Returns the number of lines that contain a text. */
  long count(String text) {
    return lines.stream().filter(line -> line.contains(text)).count();
  }

  /** Returns the number of lines logged up to {@code untilMs}, inclusive, that contain a text. */
  long countUntil(long untilMs, String text) {
    return lines.stream().filter(line -> line.atMs <= untilMs && line.contains(text)).count();
  }

  /**
   * Returns the time of the first line logged at or after {@code fromMs} that contains a text, in
   * milliseconds, or {@link Long#MAX_VALUE} if no such line exists.
   */
  long firstAfter(long fromMs, String text) {
    return lines.stream()
        .filter(line -> line.atMs >= fromMs && line.contains(text))
        .mapToLong(Line::atMs)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the value of a field in the last line that contains both texts, or an empty string if
   * no such line exists or the line lacks the field.
   */
  String lastValue(String text, String otherText, String field) {
    String value = "";
    for (Line line : lines) {
      if (line.contains(text) && line.contains(otherText)) {
        value = valueOf(line.text, field);
      }
    }
    return value;
  }

  private static String valueOf(String line, String field) {
    for (String word : line.split(" ", -1)) {
      if (word.startsWith(field + "=")) {
        return word.substring(field.length() + 1);
      }
    }
    return "";
  }

  /** Returns all lines, each with its time and its controller. */
  List<String> lines() {
    return lines.stream().map(Line::toString).toList();
  }

  /** Returns the last lines, at most {@link #MAX_TAIL_LINES}. */
  String tail() {
    StringBuilder text = new StringBuilder();
    for (Line line : lines.subList(Math.max(0, lines.size() - MAX_TAIL_LINES), lines.size())) {
      text.append(line).append('\n');
    }
    return text.toString();
  }

  @Override
  public String toString() {
    return tail();
  }
}
