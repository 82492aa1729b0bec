package org.snowturn.workload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Report of a day that was played, with the figures that decide whether the day failed. */
final class DayReport {
  /** Minimum share of jobs served and of requests answered on a day that passes. */
  private static final double MIN_SHARE = 0.5;

  /** Maximum processor time used on a day that passes, in seconds. */
  private static final double MAX_PROCESSOR_S = 400;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonNode root;
  private final String name;

  private DayReport(JsonNode root, String name) {
    this.root = root;
    this.name = name;
  }

  /**
   * Reads the report of a day.
   *
   * @throws SiteFile.BadInput if the file cannot be read or is no report
   */
  static DayReport read(Path file) throws SiteFile.BadInput {
    try {
      JsonNode node = JSON.readTree(file.toFile());
      if (!node.path("classes").isObject()) {
        throw new SiteFile.BadInput(
            file + ": not the report of a day: it has no object \"classes\"");
      }
      return new DayReport(node, String.valueOf(file.getFileName()));
    } catch (IOException e) {
      throw new SiteFile.BadInput(file + ": cannot be read, or is not JSON");
    }
  }

  /** Returns the total number of rule violations. */
  long brokenRules() {
    return root.path("rules_broken").path("total").asLong();
  }

  /**
   * Returns the number of panics, and of restarts for a reason other than an injected fault, an
   * upgrade or a rolling restart.
   */
  int unexpectedExits() {
    int exits = 0;
    for (JsonNode node : root.path("node_stats")) {
      exits += node.path("panics").asInt();
      for (JsonNode restart : node.path("restarts")) {
        exits += restart.path("why").asText().matches("fault|upgrade|roll") ? 0 : 1;
      }
    }
    return exits;
  }

  /**
   * Returns the class, team or group of largest jobs with the smallest share of its jobs served,
   * and that share. An array counts as served once its user has learned that it is done, unless it
   * was cancelled; a service, and any job of a team or group, counts once it has started.
   */
  Map.Entry<String, Double> leastServed() {
    String least = "";
    double share = 1;
    for (var entry : root.path("classes").properties()) {
      JsonNode jobClass = entry.getValue();
      boolean isArray = !jobClass.has("up"); // only services report how long they were up
      double expected =
          jobClass.path("jobs").asDouble() - (isArray ? jobClass.path("cancelled").asDouble() : 0);
      double served =
          isArray ? jobClass.path("told_done").asDouble() : jobClass.path("started").asDouble();
      if (expected > 0 && served / expected < share) {
        share = served / expected;
        least = entry.getKey();
      }
    }
    for (String group : List.of("team", "largest")) {
      for (var entry : root.path(group.equals("team") ? "teams" : group).properties()) {
        double jobs = entry.getValue().path("jobs").asDouble();
        double started = entry.getValue().path("started").asDouble();
        if (jobs > 0 && started / jobs < share) {
          share = started / jobs;
          least = group + " " + entry.getKey();
        }
      }
    }
    return Map.entry(least, share);
  }

  /** Returns the share of the users' requests that were answered; 1 if there were none. */
  double answeredShare() {
    double asked = root.path("users").path("asked").asDouble();
    return asked == 0 ? 1 : 1 - root.path("users").path("asked_in_vain").asDouble() / asked;
  }

  /**
   * Returns the sum of the processor times under {@code spent}, without {@code turns}, in seconds.
   */
  double processorS() {
    double processorS = 0;
    for (JsonNode part : root.path("spent")) {
      processorS += part.isArray() ? part.path(0).asDouble() : 0;
    }
    return processorS - root.path("spent").path("turns").path(0).asDouble();
  }

  /** Returns whether the day fails by the operators' limits. The aims of the day don't count. */
  boolean fails() {
    return brokenRules() > 0
        || unexpectedExits() > 0
        || leastServed().getValue() < MIN_SHARE
        || answeredShare() < MIN_SHARE
        || neglectedJobs() > 0
        || processorS() > MAX_PROCESSOR_S;
  }

  /** Returns the number of jobs that were left waiting although a machine had room. */
  long neglectedJobs() {
    return root.path("idle").path("neglected").asLong();
  }

  /**
   * Returns the counts of mistakes that violate no rule, such as starts after a confirmed
   * cancellation and invalid jobs that were accepted.
   */
  String slips() {
    StringBuilder out = new StringBuilder();
    root.path("idle")
        .path("slips")
        .properties()
        .forEach(
            entry -> out.append(' ').append(entry.getKey()).append('=').append(entry.getValue()));
    return out.isEmpty() ? " none" : out.toString();
  }

  /** Returns the largest number of connections that any node had open at once. */
  int maxConnections() {
    int maximum = 0;
    for (JsonNode node : root.path("node_stats")) {
      maximum = Math.max(maximum, node.path("connections_peak").asInt());
    }
    return maximum;
  }

  /** Header of the columns of {@link #csvLine}. */
  static final String CSV_HEADER =
      "report,machines,submitted,accepted,submit_p95_ms,answers_503,busiest_cpu,busiest_memory_mb,"
          + "most_sockets,state_requests,state_changes,state_refused,tasks_started,arrays_done,rules_broken,"
          + "processes_s";

  /**
   * Returns the report as one line of a CSV table. The figures of the busiest node are the largest
   * mean processor use and the largest memory use of any node.
   */
  String csvLine() {
    double cpu = 0;
    double memory = 0;
    for (JsonNode node : root.path("node_stats")) {
      cpu = Math.max(cpu, node.path("cpu_mean").asDouble());
      memory = Math.max(memory, node.path("memory_peak_mb").asDouble());
    }
    long arrays = 0;
    for (JsonNode jobClass : root.path("classes")) {
      arrays += jobClass.path("told_done").asLong();
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

  /** Returns the outcome of the day and the figures behind it in one line. */
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
