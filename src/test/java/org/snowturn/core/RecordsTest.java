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
import org.snowturn.core.storage.RecordSizes;
import org.snowturn.core.storage.TaskLayout;
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
  private Job busy(RecordSizes spans, boolean second, String machine) throws Exception {
    Job job = new Job(0, spec(120, "i"), 0, 2);
    if (second) {
      job.useSecondFormat(spans, VALUE, machines);
    } else {
      job.useFirstFormat(spans.first());
    }
    for (int t = 0; t < 120; t++) {
      Machine on = machines.getOrAdd(machine + t);
      long attempt = ((t < 60 ? 7L : 9_000L) << TaskLayout.ATTEMPT_BITS) + t;
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
    for (int r = 0; r < job.layout().records(); r++) {
      TaskRecords.read(
          job.taskRecordJson(r, machines),
          job.layout().from(r),
          new TaskRecords.Visitor() {
            @Override
            public void onDone(int task) {
              out.add(task + " done");
            }

            @Override
            public void onPlaced(int task, long attempt, String machine, long session) {
              out.add(task + " " + attempt + " " + machine + " " + session);
            }
          });
    }
    out.sort(null);
    return out;
  }

  @Test
  void bothFormatsTellTheSame() throws Exception {
    RecordSizes spans = new RecordSizes(51, 20);
    assertEquals(told(busy(spans, false, "i-0000")), told(busy(spans, true, "i-0000")));
    assertEquals(120, told(busy(spans, true, "i-0000")).size());
  }

  @Test
  void piecesOfTheSecondFormatNeverLieInTwoRecordsOfTheFirst() {
    for (int first : new int[] {8, 51, 101, 204}) {
      for (int second : new int[] {4, 25, 53, 400}) {
        TaskLayout l = TaskLayout.second(1000, new RecordSizes(first, second));
        int next = 0;
        for (int r = 0; r < l.records(); r++) {
          assertEquals(next, l.from(r));
          assertTrue(l.to(r) - l.from(r) <= second);
          assertEquals(l.from(r) / first, (l.to(r) - 1) / first);
          for (int t = l.from(r); t < l.to(r); t++) {
            assertEquals(r, l.recordOf(t));
          }
          next = l.to(r);
        }
        assertEquals(1000, next);
      }
    }
  }

  @Test
  void aRecordTakesNoMorePlacementsThanItsValueHolds() throws Exception {
    int span = TaskLayout.tasksPerRecord(VALUE);
    for (String name : new String[] {"i-0000", "machine-with-a-very-long-name-indeed-"}) {
      Job job = new Job(0, spec(span, "i"), 0, 2);
      job.useSecondFormat(new RecordSizes(span, span), VALUE, machines);
      int n = 0;
      for (int t = job.nextPending(); t >= 0; t = job.nextPending()) {
        Machine machine = machines.getOrAdd(name + (10 + t));
        long attempt = ((t == 0 ? 1L : 90_000L) << TaskLayout.ATTEMPT_BITS) + t;
        job.assign(t, machine, attempt, 100, TaskState.PLACING);
        n++;
      }
      assertTrue(Json.bytes(job.taskRecordJson(0, machines)).length <= VALUE, name);
      assertEquals(name.length() < 8, n == span, name + " " + n);
    }
  }

  @Test
  void aLongSubmissionComesBackFromItsPartsWhateverItsCharacters() throws Exception {
    String image = "\u0001\"\\\ud83d\ude00é".repeat(30);
    JobSpec s = spec(3, image);
    JobRecord whole = new JobRecord(JobStatus.Phase.QUEUED, 5, s);
    List<ObjectNode> parts = JobRecord.split(Json.text(s.toJson()), 120);
    JobRecord stored = JobRecord.parse(whole.inParts("n", parts.size()).live());
    assertTrue(stored.needsParts());
    Map<String, String> texts = new HashMap<>();
    List<String> keys = JobRecord.partKeys("wk-000001", "n", parts.size());
    for (int i = 0; i < parts.size(); i++) {
      assertTrue(Json.bytes(parts.get(i)).length <= 120);
      JsonNode read = Json.parse(Json.bytes(parts.get(i)));
      texts.put(keys.get(i), read.path("x").asText());
    }
    assertEquals(s, stored.withParts("wk-000001", texts).spec());
  }

  @Test
  void aCancelledRecordFitsASmallerValueThanItsJobWasStoredIn() throws Exception {
    JobSpec s = spec(3, "i".repeat(200));
    JsonNode live = new JobRecord(JobStatus.Phase.QUEUED, 5, s).live();
    ObjectNode cancelled = JobRecord.cancelled(live, 350);
    assertTrue(Json.bytes(cancelled).length <= 350);
    assertEquals(JobStatus.Phase.ABORTED, JobRecord.parse(cancelled).phase());
    assertEquals("t", JobRecord.parse(cancelled).spec().team());
  }

  @Test
  void restartsAreListedOnceTheFormatAllowsAndOnlyWhileTheyFit() throws Exception {
    Job job = new Job(0, spec(100_000, "i"), 0, 2);
    job.useFirstFormat(51);
    assertTrue(RestartRecords.fits(job, 500, VALUE));
    assertTrue(!RestartRecords.fits(job, 99_999, VALUE));
    job.useSecondFormat(new RecordSizes(51, 51), VALUE, machines);
    for (int t = 99_999; RestartRecords.fits(job, t, VALUE); t--) {
      job.restarted.set(t);
      job.addRestarts(1);
    }
    assertTrue(job.restarts() > 200);
    assertTrue(Json.bytes(RestartRecords.toJson(job)).length <= VALUE);
    Job next = new Job(0, spec(100_000, "i"), 0, 2);
    RestartRecords.load(next, RestartRecords.toJson(job));
    assertEquals(job.restarted, next.restarted);
  }
}
