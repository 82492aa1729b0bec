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

/** Each rule of the protocol is broken on purpose, and the checker sees just that. */
class InvariantCheckerTest {
  private static final String JOB = "wk-000001";
  private static final long PAST_CANCEL_MS = 31_000;

  private SimulatedCluster cluster;
  private List<SimulatedWorker> workers;

  /** Machines are up and nobody leads: what happens is what a test does. */
  @BeforeEach
  void machinesAreUp() throws Exception {
    Scenario scenario =
        Scenario.of(List.of("machines 3", "down n0 n1 n2", "teams t:3 u:0", "until 10"));
    scenario.run(1);
    cluster = scenario.last;
    workers = new ArrayList<>(cluster.workers.values());
    assertEquals(Set.of(), cluster.invariants.violatedRules);
  }

  private JobSpec accepted(Map<String, String> options) {
    JobSpec spec = SimulatedJobs.spec(JOB, "batch", options);
    cluster.clients.adopt(spec, "queued");
    return spec;
  }

  private SimulatedWorker.Task start(SimulatedWorker on, JobSpec spec, int index, long attempt) {
    SimulatedWorker.Task task = new SimulatedWorker.Task();
    task.job = spec.id();
    task.index = index;
    task.attempt = attempt;
    task.phase = "running";
    task.present = true;
    on.tasks.put(task.name() + "#" + attempt, task);
    cluster.invariants.onTaskStarted(on, task, spec);
    cluster.invariants.check();
    return task;
  }

  /** Every node answers everything so. */
  private void answering(int status, JsonNode body) {
    cluster.endpoints.replaceAll(
        e ->
            new Endpoint("liar") {
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

  private void broken(String... rules) {
    assertEquals(new TreeSet<>(List.of(rules)), cluster.invariants.violatedRules);
  }

  @Test
  void ranTwiceNamesTaskAttemptsMachinesAndTimes() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7);
    cluster.now += 500;
    start(workers.get(1), spec, 0, 8);
    broken("ran_twice");
    String detail = cluster.invariants.violationDetails.get(0);
    for (String part :
        List.of(
            JOB + "/0",
            "attempt 7 on " + workers.get(0).rented.id + " since 10000",
            "attempt 8 on " + workers.get(1).rented.id + " since 10500")) {
      assertTrue(detail.contains(part), detail);
    }
  }

  @Test
  void aTaskThatHasEndedElsewhereHasNotRunTwice() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7).present = false;
    start(workers.get(1), spec, 0, 8);
    broken();
  }

  @Test
  void quota() {
    JobSpec spec = accepted(Map.of("cpus", "2", "team", "t", "tasks", "2"));
    start(workers.get(0), spec, 0, 7);
    broken();
    start(workers.get(1), spec, 1, 8);
    broken("quota");
  }

  @Test
  void wrongPlace() {
    String other = workers.get(0).rented.zone.equals("a") ? "b" : "a";
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u", "zone", other));
    start(workers.get(0), spec, 0, 7);
    broken("wrong_place");
  }

  @Test
  void ranCancelled() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7);
    answering(200, phase("aborted"));
    cluster.clients.cancel(JOB);
    cluster.invariants.check();
    broken();
    cluster.now += PAST_CANCEL_MS;
    cluster.invariants.check();
    broken("ran_cancelled");
  }

  @Test
  void forgottenByA404() {
    accepted(Map.of("team", "u"));
    answering(200, phase("queued"));
    cluster.clients.pollOnce(JOB);
    cluster.now += 10;
    answering(404, null);
    cluster.clients.pollOnce(JOB);
    broken("forgotten");
  }

  @Test
  void forgottenByARefusedRepetition() {
    accepted(Map.of("team", "u"));
    answering(422, null);
    cluster.clients.resubmit(JOB);
    broken("forgotten");
  }

  @Test
  void invented() {
    answering(200, Json.object().put("id", "wk-000777").put("phase", "queued"));
    cluster.clients.pollOnce("wk-000777");
    broken("invented");
  }

  @Test
  void notDone() {
    accepted(Map.of("team", "u"));
    answering(200, phase("done"));
    cluster.clients.pollOnce(JOB);
    broken("not_done");
  }

  @Test
  void wentBack() {
    accepted(Map.of("team", "u", "tasks", "1"));
    cluster.clients.completed(JOB + "/0");
    answering(200, phase("done"));
    cluster.clients.pollOnce(JOB);
    cluster.now += 10;
    answering(200, phase("running"));
    cluster.clients.pollOnce(JOB);
    broken("went_back");
  }

  @Test
  void cancelledByNobody() {
    accepted(Map.of("team", "u"));
    answering(200, phase("aborted"));
    cluster.clients.pollOnce(JOB);
    broken("went_back");
  }

  @Test
  void acceptedThoughItCanNeverRun() {
    answering(201, phase("queued"));
    cluster.clients.sendInvalidRequests(2_000);
    cluster.runUntil(cluster.now + 2_000);
    broken("accepted_bad");
  }

  @Test
  void anInvariantOfTheProgramsOwn() {
    cluster
        .nodes
        .get(0)
        .perform(new Effect.Event(Effect.Severity.ERROR, "event=invariant_violated"));
    broken("invariant_violated");
  }

  @Test
  void whatIsOpenAtTheEndIsNamed() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    assertTrue(
        cluster.invariants.unsettledJobs(cluster.now).get(0).contains("last answered about"));
    answering(200, phase("queued"));
    cluster.clients.pollOnce(JOB);
    assertEquals(List.of(JOB + " runs nowhere"), cluster.invariants.unsettledJobs(cluster.now));
    start(workers.get(0), spec, 0, 7);
    assertEquals(List.of(), cluster.invariants.unsettledJobs(cluster.now));
  }
}
