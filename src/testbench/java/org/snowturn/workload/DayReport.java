package org.snowturn.workload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a played day says of the things that fail one, as far as its report tells. */
final class DayReport {
  private static final double LEAST_SERVED = 0.5;
  private static final double MOST_PROCESSOR_S = 400;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonNode root;
  private final String name;

  private DayReport(JsonNode root, String name) {
    this.root = root;
    this.name = name;
  }

  static DayReport read(Path file) throws SiteFile.BadInput {
    try {
      JsonNode node = JSON.readTree(file.toFile());
      if (!node.path("classes").isObject()) {
        throw new SiteFile.BadInput(file + ": no report of a day");
      }
      return new DayReport(node, String.valueOf(file.getFileName()));
    } catch (IOException e) {
      throw new SiteFile.BadInput(file + ": cannot be read");
    }
  }

  long brokenRules() {
    return root.path("rules_broken").path("total").asLong();
  }

  /** Processes that ended by themselves. */
  int unexpectedExits() {
    int n = 0;
    for (JsonNode node : root.path("node_stats")) {
      n += node.path("panics").asInt();
      for (JsonNode r : node.path("restarts")) {
        n += r.path("why").asText().matches("fault|upgrade|roll") ? 0 : 1;
      }
    }
    return n;
  }

  /**
   * The least share of any class, and of which: of arrays those done and told of what was submitted
   * and not cancelled, of services those started.
   */
  Map.Entry<String, Double> leastServed() {
    String least = "";
    double share = 1;
    for (var e : root.path("classes").properties()) {
      JsonNode c = e.getValue();
      boolean arrays = !c.has("up"); // of services, the time that they are up is told
      double wanted = c.path("jobs").asDouble() - (arrays ? c.path("cancelled").asDouble() : 0);
      double got = arrays ? c.path("told_done").asDouble() : c.path("started").asDouble();
      if (wanted > 0 && got / wanted < share) {
        share = got / wanted;
        least = e.getKey();
      }
    }
    for (String group : List.of("team", "largest")) {
      for (var e : root.path(group.equals("team") ? "teams" : group).properties()) {
        double jobs = e.getValue().path("jobs").asDouble();
        double started = e.getValue().path("started").asDouble();
        if (jobs > 0 && started / jobs < share) {
          share = started / jobs;
          least = group + " " + e.getKey();
        }
      }
    }
    return Map.entry(least, share);
  }

  double answeredShare() {
    double asked = root.path("users").path("asked").asDouble();
    return asked == 0 ? 1 : 1 - root.path("users").path("asked_in_vain").asDouble() / asked;
  }

  double processorS() {
    double s = 0;
    for (JsonNode part : root.path("spent")) {
      s += part.isArray() ? part.path(0).asDouble() : 0;
    }
    return s - root.path("spent").path("turns").path(0).asDouble();
  }

  /** Whether such a day fails: not by its aims, but for what the operators will not have. */
  boolean fails() {
    return brokenRules() > 0
        || unexpectedExits() > 0
        || leastServed().getValue() < LEAST_SERVED
        || answeredShare() < LEAST_SERVED
        || neglectedJobs() > 0
        || processorS() > MOST_PROCESSOR_S;
  }

  /** Jobs that were left waiting though a machine had room. */
  long neglectedJobs() {
    return root.path("idle").path("neglected").asLong();
  }

  /**
   * What is counted and breaks no rule: starts after a confirmed cancellation, bad jobs accepted.
   */
  String slips() {
    StringBuilder out = new StringBuilder();
    root.path("idle")
        .path("slips")
        .properties()
        .forEach(e -> out.append(' ').append(e.getKey()).append('=').append(e.getValue()));
    return out.isEmpty() ? " none" : out.toString();
  }

  int maxConnections() {
    int most = 0;
    for (JsonNode node : root.path("node_stats")) {
      most = Math.max(most, node.path("connections_peak").asInt());
    }
    return most;
  }

  /** The columns of {@link #csvLine}. */
  static final String CSV_HEADER =
      "report,machines,submitted,accepted,submit_p95_ms,answers_503,busiest_cpu,busiest_memory_mb,"
          + "most_sockets,state_requests,state_changes,state_refused,tasks_started,arrays_done,rules_broken,"
          + "processes_s";

  /** One line for tables of many reports; the busiest node is the one with the largest mean. */
  String csvLine() {
    double cpu = 0;
    double memory = 0;
    for (JsonNode node : root.path("node_stats")) {
      cpu = Math.max(cpu, node.path("cpu_mean").asDouble());
      memory = Math.max(memory, node.path("memory_peak_mb").asDouble());
    }
    long arrays = 0;
    for (JsonNode c : root.path("classes")) {
      arrays += c.path("told_done").asLong();
    }
    JsonNode users = root.path("users");
    JsonNode state = root.path("state");
    return String.format(
        Locale.ROOT,
        "%s,%d,%d,%d,%.0f,%d,%.3f,%.1f,%d,%d,%d,%d,%d,%d,%d,%.1f",
        name.replace(".json", ""),
        root.path("machines").asLong(),
        users.path("submitted").asLong(),
        users.path("accepted").asLong(),
        users.path("submit_ms").path("p95").asDouble(),
        users.path("errors").path("503").asLong(),
        cpu,
        memory,
        maxConnections(),
        state.path("requests").asLong(),
        state.path("writes").asLong(),
        state.path("refused").asLong(),
        root.path("fleet").path("tasks_started").asLong(),
        arrays,
        brokenRules(),
        root.path("spent").path("processes").path(0).asDouble());
  }

  String summaryLine() {
    Map.Entry<String, Double> least = leastServed();
    return String.format(
        Locale.ROOT,
        "%-28s %-6s rules %d, ended %d, least served %.3f (%s), answered %.3f, sockets %d, submit"
            + " p95 %.0f ms, 503s %d, processor %.0f s, neglected %d, slips%s",
        name,
        fails() ? "FAILS" : "ok",
        brokenRules(),
        unexpectedExits(),
        least.getValue(),
        least.getKey(),
        answeredShare(),
        maxConnections(),
        root.path("users").path("submit_ms").path("p95").asDouble(),
        root.path("users").path("errors").path("503").asLong(),
        processorS(),
        neglectedJobs(),
        slips());
  }
}
