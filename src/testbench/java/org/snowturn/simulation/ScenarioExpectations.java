package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What must hold at the end of a scenario: {@code expect WHAT ARGUMENTS}. */
final class ScenarioExpectations {
  /** The first argument of an expectation in its line. */
  private static final int FIRST = 2;

  private static final int SECOND = FIRST + 1;
  private static final int THIRD = FIRST + 2;

  /** The expectation that the checker finds an invariant violated. */
  private static final String VIOLATED = "violated";

  /** Checks an expectation and reports what is wrong. */
  private interface Check {
    void run(SimulatedCluster cluster, ScenarioLine line, Failures failures);
  }

  /** Collects the expectations that are not met. */
  private static final class Failures {
    private final List<String> found = new ArrayList<>();

    void add(ScenarioLine line, Object actual) {
      found.add(line.text() + ", but " + actual);
    }

    void expectCount(ScenarioLine line, int index, long actual) {
      if (actual != line.count(index)) {
        add(line, actual);
      }
    }

    void expectAtMost(ScenarioLine line, int index, long actual) {
      if (actual > line.count(index)) {
        add(line, actual);
      }
    }

    void expectAtLeast(ScenarioLine line, int index, long actual) {
      if (actual < line.count(index)) {
        add(line, actual);
      }
    }
  }

  private static final Map<String, Check> CHECKS = new HashMap<>();

  static {
    jobs();
    placement();
    log();
    counts();
  }

  private ScenarioExpectations() {}

  /** Checks all expectations of a scenario; returns what is wrong, empty if nothing is. */
  static List<String> check(SimulatedCluster cluster, List<ScenarioLine> expectations) {
    Failures failures = new Failures();
    List<String> violationsExpected = new ArrayList<>();
    for (ScenarioLine line : expectations) {
      if (line.word(1).equals(VIOLATED)) {
        violationsExpected.add(line.word(FIRST));
        continue;
      }
      Check check = CHECKS.get(line.word(1));
      if (check == null) {
        throw new ScenarioFormatException(line, "unknown expectation");
      }
      check.run(cluster, line, failures);
    }
    List<String> wrong = failures.found;
    if (violationsExpected.isEmpty()) {
      wrong.addAll(cluster.invariants.violationDetails);
    }
    for (String invariant : violationsExpected) {
      if (!cluster.invariants.violatedRules.contains(invariant)) {
        wrong.add("the checker did not see " + invariant + " violated");
      }
    }
    if (!wrong.isEmpty()) {
      wrong.add("last log lines:\n" + cluster.log.tail());
    }
    return wrong;
  }

  private static void jobs() {
    CHECKS.put("done", ScenarioExpectations::terminal);
    CHECKS.put("aborted", ScenarioExpectations::terminal);
    CHECKS.put(
        "all-over",
        (cluster, line, failures) -> {
          for (SimulatedClients.SubmittedJob job : cluster.clients.all()) {
            if (job.terminal == null && !job.spec.service()) {
              failures.found.add(job.spec.id() + " is not over");
            }
          }
        });
    CHECKS.put(
        "refused",
        (cluster, line, failures) -> {
          String status = cluster.clients.job(line.word(FIRST)).refused;
          if (!line.word(SECOND).equals(status)) {
            failures.add(line, status);
          }
        });
    CHECKS.put(
        "before",
        (cluster, line, failures) -> {
          long first = cluster.clients.job(line.word(FIRST)).doneAt;
          long second = cluster.clients.job(line.word(SECOND)).doneAt;
          if (first >= second) {
            failures.add(line, first + " and " + second);
          }
        });
  }

  private static void terminal(SimulatedCluster cluster, ScenarioLine line, Failures failures) {
    for (String id : line.jobs(FIRST)) {
      SimulatedClients.SubmittedJob job = cluster.clients.job(id);
      boolean late = line.has(THIRD) && job.doneAt > line.millis(THIRD);
      if (!line.word(1).equals(job.terminal) || late) {
        failures.add(line, id + " " + job.terminal + " at " + job.doneAt);
      }
    }
  }

  private static void placement() {
    CHECKS.put(
        "running",
        (cluster, line, failures) -> {
          for (String id : line.jobs(FIRST)) {
            long running = running(cluster, id, worker -> true);
            if (running != line.count(SECOND)) {
              failures.add(line, running + " of " + id);
            }
          }
        });
    CHECKS.put(
        "on-ordinary",
        (cluster, line, failures) ->
            failures.expectCount(
                line, SECOND, running(cluster, line.word(FIRST), worker -> !worker.rented.spot)));
    CHECKS.put(
        "running-outside",
        (cluster, line, failures) ->
            failures.expectCount(
                line,
                THIRD,
                running(
                    cluster,
                    line.word(SECOND),
                    worker -> !worker.rented.zone.equals(line.word(FIRST)))));
    CHECKS.put(
        "same-machine",
        (cluster, line, failures) -> {
          String first = lastMachine(cluster, line.word(FIRST));
          String second = lastMachine(cluster, line.word(SECOND));
          if (first.isEmpty() || !first.equals(second)) {
            failures.add(line, first + " and " + second);
          }
        });
  }

  private static long running(
      SimulatedCluster cluster, String job, Predicate<SimulatedWorker> where) {
    return cluster.workers.values().stream()
        .filter(where)
        .flatMap(worker -> worker.tasks.values().stream())
        .filter(task -> task.present && task.job.equals(job))
        .count();
  }

  /** The machine to which the job's first task was started last, as the log says. */
  private static String lastMachine(SimulatedCluster cluster, String job) {
    return cluster.log.lastValue("event=start_sent ", "task=" + job + "/0 ", "machine");
  }

  private static void log() {
    CHECKS.put(
        "event",
        (cluster, line, failures) -> {
          if (cluster.log.count(line.rest(FIRST)) == 0) {
            failures.add(line, "never");
          }
        });
    CHECKS.put(
        "no-event",
        (cluster, line, failures) -> {
          long count = cluster.log.count(line.rest(FIRST));
          if (count > 0) {
            failures.add(line, count);
          }
        });
    CHECKS.put(
        "events",
        (cluster, line, failures) ->
            failures.expectCount(line, FIRST, cluster.log.count(line.rest(SECOND))));
    CHECKS.put(
        "max-events",
        (cluster, line, failures) ->
            failures.expectAtMost(line, FIRST, cluster.log.count(line.rest(SECOND))));
    CHECKS.put(
        "min-events-by",
        (cluster, line, failures) ->
            failures.expectAtLeast(
                line, FIRST, cluster.log.countUntil(line.millis(SECOND), line.rest(THIRD))));
    CHECKS.put(
        "first-event",
        (cluster, line, failures) -> {
          long atMs = cluster.log.firstAfter(line.millis(FIRST), line.rest(THIRD));
          if (atMs > line.millis(SECOND)) {
            failures.add(line, atMs == Long.MAX_VALUE ? "never" : atMs);
          }
        });
  }

  private static void counts() {
    CHECKS.put(
        "min-relayed",
        (cluster, line, failures) -> failures.expectAtLeast(line, FIRST, cluster.relayed));
    CHECKS.put(
        "max-starts-lost",
        (cluster, line, failures) -> failures.expectAtMost(line, FIRST, cluster.startsLost));
    CHECKS.put(
        "max-starts-unleased",
        (cluster, line, failures) -> failures.expectAtMost(line, FIRST, cluster.startsUnleased));
    CHECKS.put(
        "max-probes",
        (cluster, line, failures) -> failures.expectAtMost(line, FIRST, cluster.probes));
    CHECKS.put(
        "max-rented",
        (cluster, line, failures) -> {
          long rented =
              cluster.cloud.machines.values().stream()
                  .filter(machine -> machine.zone.equals(line.word(FIRST)))
                  .filter(machine -> machine.at >= line.millis(THIRD + 1))
                  .count();
          failures.expectAtMost(line, SECOND, rented);
        });
    CHECKS.put(
        "max-cloud-calls",
        (cluster, line, failures) ->
            failures.expectAtMost(
                line, SECOND, cluster.cloud.calls.getOrDefault(line.word(FIRST), 0)));
    CHECKS.put(
        "max-refused",
        (cluster, line, failures) ->
            failures.expectAtMost(
                line, SECOND, cluster.state.refusals.getOrDefault(line.word(FIRST), 0)));
    CHECKS.put(
        "keys",
        (cluster, line, failures) ->
            failures.expectCount(line, SECOND, cluster.state.count(line.word(FIRST))));
  }
}
