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

/** Writes a run's figures: a table for people, CSV and JSON for programs. */
final class ScaleResultWriter {
  static final String HEADER =
      "workers,tasks,starts,regions,controllers,teams,duration_s,heap_mb,connections,state_changes,"
          + "fail,scope,figure,value";

  private ScaleResultWriter() {}

  static void write(ScaleResult r, Path dir) throws IOException {
    List<String> lines = new ArrayList<>(List.of(HEADER));
    ObjectNode json = new ObjectMapper().createObjectNode();
    json.put("plan", r.plan().toString());
    r.brokenRules().forEach(json.putArray("broken")::add);
    ObjectNode rows = json.putObject("rows");
    for (ScaleResult.Row row : r.rows()) {
      ObjectNode object = rows.putObject(row.scope());
      for (var e : row.figures().entrySet()) {
        lines.add(planColumns(r.plan()) + "," + row.scope() + "," + e.getKey() + "," + shown(e));
        object.put(e.getKey(), e.getValue());
      }
    }
    Files.write(dir.resolve("scale.csv"), lines);
    new ObjectMapper()
        .writerWithDefaultPrettyPrinter()
        .writeValue(dir.resolve("scale.json").toFile(), json);
  }

  private static String shown(Map.Entry<String, Double> e) {
    return String.format(Locale.ROOT, "%.4f", e.getValue());
  }

  private static String planColumns(ScalePlan p) {
    return String.format(
        Locale.ROOT,
        "%d,%d,%.0f,%d,%d,%d,%d,%d,%d,%.0f,%s",
        p.workers(),
        p.tasks(),
        p.startsPerSecond(),
        p.regions(),
        p.controllers(),
        p.teams(),
        p.durationS(),
        p.heapMb(),
        p.connections(),
        p.stateWrites(),
        p.failure());
  }

  /** The table that a run ends with. */
  static void print(ScaleResult r, PrintStream out) {
    for (ScaleResult.Row row : r.rows()) {
      out.println(row.scope());
      StringBuilder line = new StringBuilder("   ");
      for (var e : new TreeMap<>(row.figures()).entrySet()) {
        String figure = String.format(Locale.ROOT, " %s=%.3f", e.getKey(), e.getValue());
        if (line.length() + figure.length() > 130) {
          out.println(line);
          line = new StringBuilder("   ");
        }
        line.append(figure);
      }
      out.println(line);
    }
    r.brokenRules().forEach(b -> out.println("BROKEN " + b));
    out.println(r.brokenRules().isEmpty() ? "no rule broken" : "rules were broken");
  }
}
