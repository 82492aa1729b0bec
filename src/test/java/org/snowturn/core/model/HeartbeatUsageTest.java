package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.MessageSize;
import org.snowturn.wire.Priority;
import org.snowturn.wire.Submissions;

/**
 * Guards against more tasks on a machine than its heartbeat may list, which would end its lease and
 * all that runs there (docs/incidents/full-reports.md).
 */
class HeartbeatUsageTest {
  private static final long ATTEMPT = Long.MAX_VALUE;
  private final Machine machine = new Machine(0, "i-1", 7);

  private static JobSpec smallTasks(String id) throws Exception {
    ObjectNode submission = Submissions.array(id, 100_000).put("cores", 0.0).put("ram_gb", 0.0);
    return JobSpec.parse(submission);
  }

  private void setType() throws Exception {
    JsonNode catalog =
        Json.parse(
            """
            {"hulls":[{"label":"t8","cores":64,"cards":0,"ram_gb":256,"local_gb":10,
            "pull_gb_per_s":1.0,"hourly":1.0,"market_price":0.5,"ready_s":4,"fields":["z"]}]}
            """);
    machine.setMachineType(MachineType.parseCatalog(catalog).get(0));
  }

  /** Assigns tasks until no more fit and returns their number. */
  private int fill(JobSpec spec) {
    int first = machine.assigned.size();
    int task = first;
    while (machine.hasCapacityFor(spec)) {
      machine.assign(Job.taskReference(1, task++), Priority.HIGH, spec);
    }
    assertEquals(0, machine.maxTasksThatFit(spec));
    return task - first;
  }

  /** Returns the heartbeat of the machine, with tasks of the job that are in the given phase. */
  private static ObjectNode heartbeat(String job, int tasks, boolean haveEnded) {
    ObjectNode heartbeat = Json.object().put("drift", "i-000001").put("addr", "10.1.0.232:9000");
    heartbeat.put("hull", "t8").put("field", "zone-with-a-long-name").put("loaners", true);
    heartbeat.put("thaw", ATTEMPT).put("tally", ATTEMPT).put("baton", ATTEMPT);
    ArrayNode list = heartbeat.put("recall_s", 12.345).putArray("flakes");
    for (int task = 0; task < tasks; task++) {
      ObjectNode entry = list.addObject().put("flake", job + "/" + (99_999 - task));
      entry.put("try", ATTEMPT).put("phase", haveEnded ? "ended" : "running");
      if (haveEnded) {
        entry.put("cause", "halted").put("stored", true);
      }
    }
    return heartbeat;
  }

  private static byte[] indented(ObjectNode heartbeat) {
    return heartbeat.toPrettyString().getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(strings = {"wk-000001", "wk-123456789012345678"})
  void whatFitsCanBeReportedInAnyLayoutOnceAllHasEnded(String id) throws Exception {
    setType();
    int tasks = fill(smallTasks(id));
    int longest = indented(heartbeat(id, tasks, true)).length;
    assertTrue(longest <= MessageSize.MAX_BYTES, tasks + " tasks take " + longest + " bytes");
  }

  @Test
  void compactReportLeavesRoomForMoreAndAllFitOnceTheyHaveEnded() throws Exception {
    setType();
    int first = fill(smallTasks("wk-000001"));
    byte[] running = Json.bytes(heartbeat("wk-000001", first, false));
    machine.heartbeatUsage.recordLayout(
        Heartbeat.parse(Json.parse(running), running.length).layoutBytes());
    int all = first + fill(smallTasks("wk-000001"));
    assertTrue(all > first, "the layout is known by now");
    assertTrue(
        Json.bytes(heartbeat("wk-000001", all, true)).length <= MessageSize.MAX_BYTES,
        all + " tasks");
  }

  @Test
  void layoutWithFurtherFieldsTakesMoreRoom() throws Exception {
    setType();
    ObjectNode heartbeat = heartbeat("wk-000001", 200, false);
    heartbeat.path("flakes").forEach(task -> ((ObjectNode) task).put("further", "x".repeat(200)));
    byte[] bytes = Json.bytes(heartbeat);
    machine.heartbeatUsage.recordLayout(
        Heartbeat.parse(Json.parse(bytes), bytes.length).layoutBytes());
    assertTrue(fill(smallTasks("wk-000001")) < 250);
  }

  @Test
  void endedTasksTakeRoomUntilTheyAreForgotten() throws Exception {
    setType();
    JobSpec spec = smallTasks("wk-000001");
    int tasks = fill(spec);
    for (int task = 0; task < tasks; task++) {
      machine.unassign(Job.taskReference(1, task), Priority.HIGH, spec, true);
    }
    assertFalse(machine.hasCapacityFor(spec), "the machine still lists them");
    machine.heartbeatUsage.beginFormer();
    assertTrue(machine.hasCapacityFor(spec), "a newer heartbeat lists nothing");
  }
}
