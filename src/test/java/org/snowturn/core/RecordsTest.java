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

/** The stored forms: that both formats say the same, and that they fit their values. */
class RecordsTest {
  private static final int VALUE = 2048;

  private final MachineIndex machines = new MachineIndex(List.of("z"), machine -> null);

  private static JobSpec spec(int tasks, String image) throws Exception {
    return JobSpec.parse(Submissions.array("wk-000001", tasks).put("bundle", image));
  }

  /** Every third task done, the others placed, by leaders with tokens far apart. */
  private Job busy(TasksPerRecord spans, boolean second, String machine) throws Exception {
    Job job = new Job(0, spec(120, "i"), 0, 2);
    if (second) {
      job.useSecondFormat(spans, VALUE, machines);
    } else {
      job.useFirstFormat(spans.firstFormat());
    }
    for (int t = 0; t < 120; t++) {
      Machine on = machines.getOrAdd(machine + t);
      long attempt = ((t < 60 ? 7L : 9_000L) << TaskLayout.ATTEMPT_COUNTER_BITS) + t;
      job.assign(t, on, attempt, t % 5 == 0 ? 12 : 1, TaskState.RUNNING);
      if (t % 3 == 0) {
        job.unassign(t, on);
        job.complete(t);
      }
    }
    return job;
  }

  private List<String> told(Job job) {
    List<String> out = new ArrayList<>();
    for (int r = 0; r < job.layout().recordCount(); r++) {
      TaskRecords.read(
          job.taskRecordJson(r, machines),
          job.layout().firstTask(r),
          new TaskRecords.Reader() {
            @Override
            public void done(int task) {
              out.add(task + " done");
            }

            @Override
            public void placed(int task, long attempt, String machine, long session) {
              out.add(task + " " + attempt + " " + machine + " " + session);
            }
          });
    }
    out.sort(null);
    return out;
  }

  @Test
  void bothFormatsReadBackTheSameTasks() throws Exception {
    TasksPerRecord spans = new TasksPerRecord(51, 20);
    assertEquals(told(busy(spans, false, "i-0000")), told(busy(spans, true, "i-0000")));
    assertEquals(120, told(busy(spans, true, "i-0000")).size());
  }

  @Test
  void noPieceOfTheSecondFormatSpansTwoRecordsOfTheFirst() {
    for (int first : new int[] {8, 51, 101, 204}) {
      for (int second : new int[] {4, 25, 53, 400}) {
        TaskLayout l = TaskLayout.secondFormat(1000, new TasksPerRecord(first, second));
        int next = 0;
        for (int r = 0; r < l.recordCount(); r++) {
          assertEquals(next, l.firstTask(r));
          assertTrue(l.endTask(r) - l.firstTask(r) <= second);
          assertEquals(l.firstTask(r) / first, (l.endTask(r) - 1) / first);
          for (int t = l.firstTask(r); t < l.endTask(r); t++) {
            assertEquals(r, l.recordOf(t));
          }
          next = l.endTask(r);
        }
        assertEquals(1000, next);
      }
    }
  }

  @Test
  void aRecordTakesNoMoreAssignmentsThanItsValueHolds() throws Exception {
    int span = TaskLayout.tasksPerRecord(VALUE);
    for (String name : new String[] {"i-0000", "machine-with-a-very-long-name-indeed-"}) {
      Job job = new Job(0, spec(span, "i"), 0, 2);
      job.useSecondFormat(new TasksPerRecord(span, span), VALUE, machines);
      int n = 0;
      for (int t = job.nextPending(); t >= 0; t = job.nextPending()) {
        Machine machine = machines.getOrAdd(name + (10 + t));
        long attempt = ((t == 0 ? 1L : 90_000L) << TaskLayout.ATTEMPT_COUNTER_BITS) + t;
        job.assign(t, machine, attempt, 100, TaskState.PLACING);
        n++;
      }
      assertTrue(Json.bytes(job.taskRecordJson(0, machines)).length <= VALUE, name);
      assertEquals(name.length() < 8, n == span, name + " " + n);
    }
  }

  @Test
  void aLongSubmissionIsRestoredFromItsChunks() throws Exception {
    String image = "\u0001\"\\\ud83d\ude00é".repeat(30);
    JobSpec s = spec(3, image);
    JobRecord whole = new JobRecord(JobStatus.Phase.QUEUED, 5, s);
    List<ObjectNode> parts = JobRecord.split(Json.text(s.toJson()), 120);
    JobRecord stored = JobRecord.parse(whole.toChunked("n", parts.size()).liveJson());
    assertTrue(stored.needsChunks());
    Map<String, String> texts = new HashMap<>();
    List<String> keys = JobRecord.chunkKeys("wk-000001", "n", parts.size());
    for (int i = 0; i < parts.size(); i++) {
      assertTrue(Json.bytes(parts.get(i)).length <= 120);
      JsonNode read = Json.parse(Json.bytes(parts.get(i)));
      texts.put(keys.get(i), read.path("x").asText());
    }
    assertEquals(s, stored.joinChunks("wk-000001", texts).spec());
  }

  @Test
  void aCancelledRecordFitsASmallerValueLimit() throws Exception {
    JobSpec s = spec(3, "i".repeat(200));
    JsonNode live = new JobRecord(JobStatus.Phase.QUEUED, 5, s).liveJson();
    ObjectNode cancelled = JobRecord.cancelledJson(live, 350);
    assertTrue(Json.bytes(cancelled).length <= 350);
    assertEquals(JobStatus.Phase.ABORTED, JobRecord.parse(cancelled).phase());
    assertEquals("t", JobRecord.parse(cancelled).spec().team());
  }

  @Test
  void restartsAreListedOnlyInTheSecondFormatAndWhileTheyFit() throws Exception {
    Job job = new Job(0, spec(100_000, "i"), 0, 2);
    job.useFirstFormat(51);
    assertTrue(RestartRecords.fits(job, 500, VALUE));
    assertTrue(!RestartRecords.fits(job, 99_999, VALUE));
    job.useSecondFormat(new TasksPerRecord(51, 51), VALUE, machines);
    for (int t = 99_999; RestartRecords.fits(job, t, VALUE); t--) {
      job.restarted.set(t);
      job.addRestarts(1);
    }
    assertTrue(job.restarts() > 200);
    assertTrue(Json.bytes(RestartRecords.json(job)).length <= VALUE);
    Job next = new Job(0, spec(100_000, "i"), 0, 2);
    RestartRecords.load(next, RestartRecords.json(job));
    assertEquals(job.restarted, next.restarted);
  }
}
