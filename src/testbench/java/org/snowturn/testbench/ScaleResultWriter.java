package org.snowturn.testbench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Writes the figures of a scale run as CSV, as JSON and as a table for people. */
final class ScaleResultWriter {
  /** First line of {@code scale.csv}. */
  static final String HEADER =
      "workers,tasks,starts,regions,controllers,teams,duration_s,heap_mb,connections,state_changes,"
          + "fail,scope,figure,value";

  private static final int MAX_LINE_CHARS = 130;

  private ScaleResultWriter() {}

  /** Writes {@code scale.csv} and {@code scale.json} into the folder. */
  static void write(ScaleResult result, Path dir) throws IOException {
    List<String> lines = new ArrayList<>(List.of(HEADER));
    ObjectNode json = new ObjectMapper().createObjectNode();
    json.put("plan", result.plan().toString());
    result.brokenRules().forEach(json.putArray("broken")::add);
    ObjectNode rows = json.putObject("rows");
    for (ScaleResult.Row row : result.rows()) {
      ObjectNode object = rows.putObject(row.scope());
      for (var figure : row.figures().entrySet()) {
        lines.add(
            planColumns(result.plan())
                + ","
                + row.scope()
                + ","
                + figure.getKey()
                + ","
                + format(figure));
        object.put(figure.getKey(), figure.getValue());
      }
    }
    Files.write(dir.resolve("scale.csv"), lines);
    new ObjectMapper()
        .writerWithDefaultPrettyPrinter()
        .writeValue(dir.resolve("scale.json").toFile(), json);
  }

  private static String format(Map.Entry<String, Double> figure) {
    return String.format(Locale.ROOT, "%.4f", figure.getValue());
  }

  private static String planColumns(ScalePlan plan) {
    return String.format(
        Locale.ROOT,
        "%d,%d,%.0f,%d,%d,%d,%d,%d,%d,%.0f,%s",
        plan.workers(),
        plan.tasks(),
        plan.startsPerSecond(),
        plan.regions(),
        plan.controllers(),
        plan.teams(),
        plan.durationS(),
        plan.heapMb(),
        plan.connections(),
        plan.stateWrites(),
        plan.failure());
  }

  /** Prints the table with which a run ends. */
  static void print(ScaleResult result, PrintStream out) {
    for (ScaleResult.Row row : result.rows()) {
      out.println(row.scope());
      StringBuilder line = new StringBuilder("   ");
      for (var figure : new TreeMap<>(row.figures()).entrySet()) {
        String entry = String.format(Locale.ROOT, " %s=%.3f", figure.getKey(), figure.getValue());
        if (line.length() + entry.length() > MAX_LINE_CHARS) {
          out.println(line);
          line = new StringBuilder("   ");
        }
        line.append(entry);
      }
      out.println(line);
    }
    result.brokenRules().forEach(rule -> out.println("BROKEN " + rule));
    out.println(result.brokenRules().isEmpty() ? "no rule broken" : "rules were broken");
  }
}
