package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;

/** What the controllers of a simulated cluster have logged, in the order of time. */
final class ClusterLog {
  private static final int MAX_TAIL_LINES = 40;

  /** One logged line. */
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

  void add(long atMs, String node, String text) {
    lines.add(new Line(atMs, node, text));
  }

  /** How many lines have this text. */
  long count(String text) {
    return lines.stream().filter(line -> line.contains(text)).count();
  }

  /** How many lines up to a time have this text. */
  long countUntil(long untilMs, String text) {
    return lines.stream().filter(line -> line.atMs <= untilMs && line.contains(text)).count();
  }

  /** When a line with this text first came at or after a time; {@link Long#MAX_VALUE}: never. */
  long firstAfter(long fromMs, String text) {
    return lines.stream()
        .filter(line -> line.atMs >= fromMs && line.contains(text))
        .mapToLong(Line::atMs)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** The value of a field in the last line that has both texts, or an empty one. */
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

  /** All lines, each with its time and its controller. */
  List<String> lines() {
    return lines.stream().map(Line::toString).toList();
  }

  /** The last lines. */
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
