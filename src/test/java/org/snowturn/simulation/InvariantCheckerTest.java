package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;

/**
 * Guards against a checker that misses, or wrongly reports, a violation: each test violates one.
 */
class InvariantCheckerTest {
  private static final String JOB = "wk-000001";
  private static final long AFTER_CANCEL_LIMIT_MS = 31_000;

  private SimulatedCluster cluster;
  private List<SimulatedWorker> workers;

  /** Starts machines without a running controller, so that only the test causes events. */
  @BeforeEach
  void startMachines() throws Exception {
    Scenario scenario =
        Scenario.of(List.of("machines 3", "down n0 n1 n2", "teams t:3 u:0", "until 10"));
    scenario.run(1);
    cluster = scenario.lastCluster;
    workers = new ArrayList<>(cluster.workers.values());
    assertEquals(Set.of(), cluster.invariants.violatedRules);
  }

  private JobSpec accepted(Map<String, String> options) {
    JobSpec spec = SimulatedJobs.spec(JOB, "batch", options);
    cluster.clients.addAcceptedJob(spec, "queued");
    return spec;
  }

  private SimulatedTask start(SimulatedWorker on, JobSpec spec, int index, long attempt) {
    SimulatedTask task = new SimulatedTask(spec.id() + "/" + index, attempt, 0);
    task.run();
    on.tasks.put(task.key(), task);
    cluster.invariants.onTaskStarted(on, task, spec);
    cluster.invariants.check();
    return task;
  }

  /** Makes every node answer all requests with this status and body. */
  private void answerAllRequests(int status, JsonNode body) {
    cluster.endpoints.replaceAll(
        endpoint ->
            new Endpoint("fake") {
              @Override
              void request(String from, LongFunction<Input> input, ResponseHandler answer) {
                answer.onResponse(status, body);
              }

              @Override
              void heartbeat(String from, JsonNode report, ResponseHandler answer) {}
            });
    cluster.endpoints.get(0).isUp = true;
  }

  private static JsonNode phase(String phase) {
    return Json.object().put("id", JOB).put("phase", phase);
  }

  private void assertViolated(String... invariants) {
    assertEquals(new TreeSet<>(List.of(invariants)), cluster.invariants.violatedRules);
  }

  @Test
  void ranTwiceReportsTaskAttemptsMachinesAndTimes() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7);
    cluster.now += 500;
    start(workers.get(1), spec, 0, 8);
    assertViolated("ran_twice");
    String detail = cluster.invariants.violationDetails.get(0);
    for (String part :
        List.of(
            JOB + "/0",
            "attempt 7 on " + workers.get(0).machine.id + " since 10000",
            "attempt 8 on " + workers.get(1).machine.id + " since 10500")) {
      assertTrue(detail.contains(part), detail);
    }
  }

  @Test
  void aTokenOfNoTermOfItsSenderIsForeign() {
    TokenOwnership.check(cluster, "n0", 5);
    assertViolated("foreign_token");
  }

  @Test
  void taskThatEndedElsewhereHasNotRunTwice() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7).end("halted");
    start(workers.get(1), spec, 0, 8);
    assertViolated();
  }

  @Test
  void quota() {
    JobSpec spec = accepted(Map.of("cpus", "2", "team", "t", "tasks", "2"));
    start(workers.get(0), spec, 0, 7);
    assertViolated();
    start(workers.get(1), spec, 1, 8);
    assertViolated("quota");
  }

  @Test
  void wrongPlace() {
    String other = workers.get(0).machine.zone.equals("a") ? "b" : "a";
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u", "zone", other));
    start(workers.get(0), spec, 0, 7);
    assertViolated("wrong_place");
  }

  @Test
  void ranCancelled() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7);
    answerAllRequests(200, phase("aborted"));
    cluster.clients.cancel(JOB);
    cluster.invariants.check();
    assertViolated();
    cluster.now += AFTER_CANCEL_LIMIT_MS;
    cluster.invariants.check();
    assertViolated("ran_cancelled");
  }

  @Test
  void notFoundReplyIsForgotten() {
    accepted(Map.of("team", "u"));
    answerAllRequests(200, phase("queued"));
    cluster.clients.pollOnce(JOB);
    cluster.now += 10;
    answerAllRequests(404, null);
    cluster.clients.pollOnce(JOB);
    assertViolated("forgotten");
  }

  @Test
  void refusedResubmissionIsForgotten() {
    accepted(Map.of("team", "u"));
    answerAllRequests(422, null);
    cluster.clients.resubmit(JOB);
    assertViolated("forgotten");
  }

  @Test
  void invented() {
    answerAllRequests(200, Json.object().put("id", "wk-000777").put("phase", "queued"));
    cluster.clients.pollOnce("wk-000777");
    assertViolated("invented");
  }

  @Test
  void notDone() {
    accepted(Map.of("team", "u"));
    answerAllRequests(200, phase("done"));
    cluster.clients.pollOnce(JOB);
    assertViolated("not_done");
  }

  @Test
  void wentBack() {
    accepted(Map.of("team", "u", "tasks", "1"));
    cluster.clients.recordResult(JOB + "/0");
    answerAllRequests(200, phase("done"));
    cluster.clients.pollOnce(JOB);
    cluster.now += 10;
    answerAllRequests(200, phase("running"));
    cluster.clients.pollOnce(JOB);
    assertViolated("went_back");
  }

  @Test
  void abortedWithoutCancellation() {
    accepted(Map.of("team", "u"));
    answerAllRequests(200, phase("aborted"));
    cluster.clients.pollOnce(JOB);
    assertViolated("went_back");
  }

  @Test
  void acceptedInvalidRequest() {
    answerAllRequests(201, phase("queued"));
    cluster.clients.sendInvalidRequests(2_000);
    cluster.runUntil(cluster.now + 2_000);
    assertViolated("accepted_bad");
  }

  @Test
  void invariantReportedByController() {
    cluster
        .nodes
        .get(0)
        .perform(new Effect.Event(Effect.Severity.ERROR, "event=invariant_violated"));
    assertViolated("invariant_violated");
  }

  @Test
  void unsettledJobsAreReported() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    assertTrue(
        cluster.invariants.unsettledJobs(cluster.now).get(0).contains("last answered about"));
    answerAllRequests(200, phase("queued"));
    cluster.clients.pollOnce(JOB);
    assertEquals(List.of(JOB + " runs nowhere"), cluster.invariants.unsettledJobs(cluster.now));
    start(workers.get(0), spec, 0, 7);
    assertEquals(List.of(), cluster.invariants.unsettledJobs(cluster.now));
  }
}
