package org.snowturn.sim;

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
class RulesTest {
  private static final String JOB = "wk-000001";
  private static final long PAST_CANCEL_MS = 31_000;

  private World world;
  private List<StandInWorker> workers;

  /** Machines are up and nobody leads: what happens is what a test does. */
  @BeforeEach
  void machinesAreUp() throws Exception {
    Scenario scenario =
        Scenario.of(List.of("machines 3", "down n0 n1 n2", "teams t:3 u:0", "until 10"));
    scenario.run(1);
    world = scenario.last;
    workers = new ArrayList<>(world.workers.values());
    assertEquals(Set.of(), world.rules.broken);
  }

  private JobSpec accepted(Map<String, String> options) {
    JobSpec spec = Scenario.spec(JOB, "batch", options);
    world.users.adopt(spec, "queued");
    return spec;
  }

  private StandInWorker.Task start(StandInWorker on, JobSpec spec, int index, long attempt) {
    StandInWorker.Task t = new StandInWorker.Task();
    t.job = spec.id();
    t.index = index;
    t.attempt = attempt;
    t.phase = "running";
    t.present = true;
    on.tasks.put(t.name() + "#" + attempt, t);
    world.rules.started(on, t, spec);
    world.rules.check();
    return t;
  }

  /** Every node answers everything so. */
  private void answering(int status, JsonNode body) {
    world.endpoints.replaceAll(
        e ->
            new Endpoint("liar") {
              @Override
              void request(String from, LongFunction<Input> input, Answer answer) {
                answer.on(status, body);
              }

              @Override
              void checkIn(String from, JsonNode report, Answer answer) {}
            });
    world.endpoints.get(0).up = true;
  }

  private static JsonNode phase(String phase) {
    return Json.object().put("id", JOB).put("phase", phase);
  }

  private void broken(String... rules) {
    assertEquals(new TreeSet<>(List.of(rules)), world.rules.broken);
  }

  @Test
  void ranTwiceNamesTaskAttemptsMachinesAndTimes() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    start(workers.get(0), spec, 0, 7);
    world.now += 500;
    start(workers.get(1), spec, 0, 8);
    broken("ran_twice");
    String detail = world.rules.details.get(0);
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
    world.users.cancel(JOB);
    world.rules.check();
    broken();
    world.now += PAST_CANCEL_MS;
    world.rules.check();
    broken("ran_cancelled");
  }

  @Test
  void forgottenByA404() {
    accepted(Map.of("team", "u"));
    answering(200, phase("queued"));
    world.users.pollOnce(JOB);
    world.now += 10;
    answering(404, null);
    world.users.pollOnce(JOB);
    broken("forgotten");
  }

  @Test
  void forgottenByARefusedRepetition() {
    accepted(Map.of("team", "u"));
    answering(422, null);
    world.users.repeat(JOB);
    broken("forgotten");
  }

  @Test
  void invented() {
    answering(200, Json.object().put("id", "wk-000777").put("phase", "queued"));
    world.users.pollOnce("wk-000777");
    broken("invented");
  }

  @Test
  void notDone() {
    accepted(Map.of("team", "u"));
    answering(200, phase("done"));
    world.users.pollOnce(JOB);
    broken("not_done");
  }

  @Test
  void wentBack() {
    accepted(Map.of("team", "u", "tasks", "1"));
    world.users.completed(JOB + "/0");
    answering(200, phase("done"));
    world.users.pollOnce(JOB);
    world.now += 10;
    answering(200, phase("running"));
    world.users.pollOnce(JOB);
    broken("went_back");
  }

  @Test
  void cancelledByNobody() {
    accepted(Map.of("team", "u"));
    answering(200, phase("aborted"));
    world.users.pollOnce(JOB);
    broken("went_back");
  }

  @Test
  void acceptedThoughItCanNeverRun() {
    answering(201, phase("queued"));
    world.users.oddRequests(2_000);
    world.runUntil(world.now + 2_000);
    broken("accepted_bad");
  }

  @Test
  void anInvariantOfTheProgramsOwn() {
    world.nodes.get(0).perform(new Effect.Event(Effect.Severity.ERROR, "event=invariant_violated"));
    broken("invariant_violated");
  }

  @Test
  void whatIsOpenAtTheEndIsNamed() {
    JobSpec spec = accepted(Map.of("cpus", "1", "team", "u"));
    assertTrue(world.rules.unsettled(world.now).get(0).contains("last answered about"));
    answering(200, phase("queued"));
    world.users.pollOnce(JOB);
    assertEquals(List.of(JOB + " runs nowhere"), world.rules.unsettled(world.now));
    start(workers.get(0), spec, 0, 7);
    assertEquals(List.of(), world.rules.unsettled(world.now));
  }
}
