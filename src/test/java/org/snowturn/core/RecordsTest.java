package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.model.TaskRecords;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.core.storage.TasksPerRecord;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.Submissions;

/**
 * Guards against stored records that lose tasks, restarts or submissions when they are read back,
 * and against records that are longer than a value.
 */
class RecordsTest {
  private static final int VALUE_BYTES = 2048;

  private final MachineIndex machines = new MachineIndex(List.of("z"), 7, machine -> null);

  private static JobSpec spec(int tasks, String image) throws Exception {
    return JobSpec.parse(Submissions.array("wk-000001", tasks).put("bundle", image));
  }

  /**
   * Returns a job in which every third task is done and the others are running. They were assigned
   * by two leaders whose fencing tokens differ widely.
   */
  private Job jobWithTasks(TasksPerRecord tasksPerRecord, boolean isSecondFormat, String machine)
      throws Exception {
    Job job = new Job(0, spec(120, "i"), 0, 2);
    if (isSecondFormat) {
      job.useSecondFormat(tasksPerRecord, VALUE_BYTES, machines);
    } else {
      job.useFirstFormat(tasksPerRecord.firstFormat());
    }
    for (int task = 0; task < 120; task++) {
      Machine assigned = machines.getOrAdd(machine + task);
      long attempt = ((task < 60 ? 7L : 9_000L) << TaskLayout.ATTEMPT_COUNTER_BITS) + task;
      job.assign(task, assigned, attempt, task % 5 == 0 ? 12 : 1, TaskState.RUNNING);
      if (task % 3 == 0) {
        job.unassign(task, assigned);
        job.complete(task);
      }
    }
    return job;
  }

  private List<String> readTasks(Job job) {
    List<String> tasks = new ArrayList<>();
    for (int record = 0; record < job.layout().recordCount(); record++) {
      TaskRecords.read(
          job.taskRecordJson(record, machines),
          job.layout().firstTask(record),
          new TaskRecords.Visitor() {
            @Override
            public void onDone(int task) {
              tasks.add(task + " done");
            }

            @Override
            public void onPlaced(int task, long attempt, String machine, long session) {
              tasks.add(task + " " + attempt + " " + machine + " " + session);
            }
          });
    }
    tasks.sort(null);
    return tasks;
  }

  @Test
  void bothFormatsReadBackTheSameTasks() throws Exception {
    TasksPerRecord tasksPerRecord = new TasksPerRecord(51, 20);
    assertEquals(
        readTasks(jobWithTasks(tasksPerRecord, false, "i-0000")),
        readTasks(jobWithTasks(tasksPerRecord, true, "i-0000")));
    assertEquals(120, readTasks(jobWithTasks(tasksPerRecord, true, "i-0000")).size());
  }

  @Test
  void noPieceOfTheSecondFormatSpansTwoRecordsOfTheFirst() {
    for (int first : new int[] {8, 51, 101, 204}) {
      for (int second : new int[] {4, 25, 53, 400}) {
        TaskLayout layout = TaskLayout.secondFormat(1000, new TasksPerRecord(first, second));
        int nextTask = 0;
        for (int record = 0; record < layout.recordCount(); record++) {
          assertEquals(nextTask, layout.firstTask(record));
          assertTrue(layout.endTask(record) - layout.firstTask(record) <= second);
          assertEquals(layout.firstTask(record) / first, (layout.endTask(record) - 1) / first);
          for (int task = layout.firstTask(record); task < layout.endTask(record); task++) {
            assertEquals(record, layout.recordOf(task));
          }
          nextTask = layout.endTask(record);
        }
        assertEquals(1000, nextTask);
      }
    }
  }

  @Test
  void aRecordTakesNoMoreAssignmentsThanItsValueHolds() throws Exception {
    int tasksPerRecord = TaskLayout.tasksPerRecord(VALUE_BYTES);
    for (String name : new String[] {"i-0000", "machine-with-a-very-long-name-indeed-"}) {
      Job job = new Job(0, spec(tasksPerRecord, "i"), 0, 2);
      job.useSecondFormat(
          new TasksPerRecord(tasksPerRecord, tasksPerRecord), VALUE_BYTES, machines);
      int assigned = 0;
      for (int task = job.nextPending(); task >= 0; task = job.nextPending()) {
        Machine machine = machines.getOrAdd(name + (10 + task));
        long attempt = ((task == 0 ? 1L : 90_000L) << TaskLayout.ATTEMPT_COUNTER_BITS) + task;
        job.assign(task, machine, attempt, 100, TaskState.PLACING);
        assigned++;
      }
      assertTrue(Json.bytes(job.taskRecordJson(0, machines)).length <= VALUE_BYTES, name);
      assertEquals(name.length() < 8, assigned == tasksPerRecord, name + " " + assigned);
    }
  }

  @Test
  void aLongSubmissionWithAnyCharactersIsRestoredFromItsChunks() throws Exception {
    String image = "\u0001\"\\\ud83d\ude00é".repeat(30);
    JobSpec spec = spec(3, image);
    JobRecord whole = new JobRecord(JobStatus.Phase.QUEUED, 5, spec);
    List<ObjectNode> chunks = JobRecord.split(Json.text(spec.toJson()), 120);
    JobRecord stored = JobRecord.parse(whole.toChunked("n", chunks.size()).liveJson());
    assertTrue(stored.needsChunks());
    Map<String, String> texts = new HashMap<>();
    List<String> keys = JobRecord.chunkKeys("wk-000001", "n", chunks.size());
    for (int i = 0; i < chunks.size(); i++) {
      assertTrue(Json.bytes(chunks.get(i)).length <= 120);
      JsonNode chunk = Json.parse(Json.bytes(chunks.get(i)));
      texts.put(keys.get(i), chunk.path("x").asText());
    }
    assertEquals(spec, stored.joinChunks("wk-000001", texts).spec());
  }

  @Test
  void aCancelledRecordFitsASmallerValueLimit() throws Exception {
    JobSpec spec = spec(3, "i".repeat(200));
    JsonNode live = new JobRecord(JobStatus.Phase.QUEUED, 5, spec).liveJson();
    ObjectNode cancelled = JobRecord.cancelledJson(live, 350);
    assertTrue(Json.bytes(cancelled).length <= 350);
    assertEquals(JobStatus.Phase.ABORTED, JobRecord.parse(cancelled).phase());
    assertEquals("t", JobRecord.parse(cancelled).spec().team());
  }

  @Test
  void restartsAreListedOnlyInTheSecondFormatAndWhileTheyFit() throws Exception {
    Job job = new Job(0, spec(100_000, "i"), 0, 2);
    job.useFirstFormat(51);
    assertTrue(RestartRecords.fits(job, 500, VALUE_BYTES));
    assertTrue(!RestartRecords.fits(job, 99_999, VALUE_BYTES));
    job.useSecondFormat(new TasksPerRecord(51, 51), VALUE_BYTES, machines);
    for (int task = 99_999; RestartRecords.fits(job, task, VALUE_BYTES); task--) {
      job.restarted.set(task);
      job.addRestarts(1);
    }
    assertTrue(job.restarts() > 200);
    assertTrue(Json.bytes(RestartRecords.toJson(job)).length <= VALUE_BYTES);
    Job loaded = new Job(0, spec(100_000, "i"), 0, 2);
    RestartRecords.load(loaded, RestartRecords.toJson(job));
    assertEquals(job.restarted, loaded.restarted);
  }
}
