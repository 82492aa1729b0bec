package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Checks made at the end of a scenario, by name: {@code expect WHAT ARGUMENTS}. */
final class ScenarioExpectations {
  /** Word index of an expectation's first argument in its line. */
  private static final int FIRST = 2;

  private static final int SECOND = FIRST + 1;
  private static final int THIRD = FIRST + 2;

  /** Name of the expectation that the invariant checker reports a violation. */
  private static final String VIOLATED = "violated";

  /** Check of one kind of expectation. */
  private interface Check {
    void run(SimulatedCluster cluster, ScenarioLine line, Failures failures);
  }

  /** Collector of the expectations that are not met. */
  private static final class Failures {
    private final List<String> messages = new ArrayList<>();

    void add(ScenarioLine line, Object actual) {
      messages.add(line.location() + ": " + line.text() + ", but actual: " + actual);
    }

    void expectCount(ScenarioLine line, int index, long actual) {
      if (actual != line.integer(index)) {
        add(line, actual);
      }
    }

    void expectAtMost(ScenarioLine line, int index, long actual) {
      if (actual > line.integer(index)) {
        add(line, actual);
      }
    }

    void expectAtLeast(ScenarioLine line, int index, long actual) {
      if (actual < line.integer(index)) {
        add(line, actual);
      }
    }
  }

  private static final Map<String, Check> CHECKS = new HashMap<>();

  static {
    registerJobChecks();
    registerPlacementChecks();
    registerLogChecks();
    registerCountChecks();
  }

  private ScenarioExpectations() {}

  /** Checks all expectations of a scenario and returns the failures, empty if all are met. */
  static List<String> check(SimulatedCluster cluster, List<ScenarioLine> expectations) {
    Failures failures = new Failures();
    List<String> expectedViolations = new ArrayList<>();
    for (ScenarioLine line : expectations) {
      if (line.word(1).equals(VIOLATED)) {
        expectedViolations.add(line.word(FIRST));
        continue;
      }
      Check check = CHECKS.get(line.word(1));
      if (check == null) {
        throw new ScenarioFormatException(line, "unknown expectation");
      }
      check.run(cluster, line, failures);
    }
    List<String> messages = failures.messages;
    if (expectedViolations.isEmpty()) {
      messages.addAll(cluster.invariants.violationDetails);
    }
    for (String invariant : expectedViolations) {
      if (!cluster.invariants.violatedRules.contains(invariant)) {
        messages.add("the invariant checker did not report a violation of " + invariant);
      }
    }
    if (!messages.isEmpty()) {
      messages.add("last log lines:\n" + cluster.log.tail());
    }
    return messages;
  }

  private static void registerJobChecks() {
    CHECKS.put("done", ScenarioExpectations::checkTerminal);
    CHECKS.put("aborted", ScenarioExpectations::checkTerminal);
    CHECKS.put(
        "all-over",
        (cluster, line, failures) -> {
          for (SimulatedClients.SubmittedJob job : cluster.clients.allJobs()) {
            if (job.terminalPhase == null && !job.spec.isService()) {
              failures.messages.add(job.spec.id() + " has not ended");
            }
          }
        });
    CHECKS.put(
        "refused",
        (cluster, line, failures) -> {
          String status = cluster.clients.job(line.word(FIRST)).refusalStatus;
          if (!line.word(SECOND).equals(status)) {
            failures.add(line, status);
          }
        });
    CHECKS.put(
        "before",
        (cluster, line, failures) -> {
          long first = cluster.clients.job(line.word(FIRST)).finishedAt;
          long second = cluster.clients.job(line.word(SECOND)).finishedAt;
          if (first >= second) {
            failures.add(line, first + " and " + second);
          }
        });
  }

  private static void checkTerminal(
      SimulatedCluster cluster, ScenarioLine line, Failures failures) {
    for (String id : line.jobIds(FIRST)) {
      SimulatedClients.SubmittedJob job = cluster.clients.job(id);
      boolean isLate = line.hasWord(THIRD) && job.finishedAt > line.millis(THIRD);
      if (!line.word(1).equals(job.terminalPhase) || isLate) {
        failures.add(line, id + " " + job.terminalPhase + " at " + job.finishedAt);
      }
    }
  }

  private static void registerPlacementChecks() {
    CHECKS.put(
        "running",
        (cluster, line, failures) -> {
          for (String id : line.jobIds(FIRST)) {
            long running = runningTasks(cluster, id, worker -> true);
            if (running != line.integer(SECOND)) {
              failures.add(line, running + " of " + id);
            }
          }
        });
    CHECKS.put(
        "on-ordinary",
        (cluster, line, failures) ->
            failures.expectCount(
                line,
                SECOND,
                runningTasks(cluster, line.word(FIRST), worker -> !worker.machine.spot)));
    CHECKS.put(
        "running-outside",
        (cluster, line, failures) ->
            failures.expectCount(
                line,
                THIRD,
                runningTasks(
                    cluster,
                    line.word(SECOND),
                    worker -> !worker.machine.zone.equals(line.word(FIRST)))));
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

  private static long runningTasks(
      SimulatedCluster cluster, String job, Predicate<SimulatedWorker> where) {
    return cluster.workers.values().stream()
        .filter(where)
        .flatMap(worker -> worker.tasks.values().stream())
        .filter(task -> task.isRunning() && task.job.equals(job))
        .count();
  }

  /** Returns the machine of the last start of the job's first task, according to the log. */
  private static String lastMachine(SimulatedCluster cluster, String job) {
    return cluster.log.lastValue("event=start_sent ", "task=" + job + "/0 ", "machine");
  }

  private static void registerLogChecks() {
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

  private static void registerCountChecks() {
    CHECKS.put(
        "min-relayed",
        (cluster, line, failures) -> failures.expectAtLeast(line, FIRST, cluster.relayedCalls));
    CHECKS.put(
        "max-starts-lost",
        (cluster, line, failures) -> failures.expectAtMost(line, FIRST, cluster.lostStarts));
    CHECKS.put(
        "max-starts-unleased",
        (cluster, line, failures) ->
            failures.expectAtMost(line, FIRST, cluster.startsWithoutLease));
    CHECKS.put(
        "max-probes",
        (cluster, line, failures) -> failures.expectAtMost(line, FIRST, cluster.probes));
    CHECKS.put(
        "max-rented",
        (cluster, line, failures) -> {
          long rented =
              cluster.cloud.machines.values().stream()
                  .filter(machine -> machine.zone.equals(line.word(FIRST)))
                  .filter(machine -> machine.rentedAt >= line.millis(THIRD + 1))
                  .count();
          failures.expectAtMost(line, SECOND, rented);
        });
    CHECKS.put(
        "max-cloud-calls",
        (cluster, line, failures) ->
            failures.expectAtMost(
                line, SECOND, cluster.cloud.callsByPath.getOrDefault(line.word(FIRST), 0)));
    CHECKS.put(
        "max-refused",
        (cluster, line, failures) ->
            failures.expectAtMost(
                line, SECOND, cluster.state.refusals.getOrDefault(line.word(FIRST), 0)));
    CHECKS.put(
        "keys",
        (cluster, line, failures) ->
            failures.expectCount(line, SECOND, cluster.state.countKeys(line.word(FIRST))));
  }
}
