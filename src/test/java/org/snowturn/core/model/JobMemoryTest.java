package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snowturn.core.storage.TasksPerRecord;
import org.snowturn.wire.JobIdList;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.Submissions;

/**
 * Guards against controllers that end for memory, one after the other, because every leader takes
 * memory for each task, or a multiple of the text of each dependency, of each accepted job
 * (docs/incidents/arrays-fill-the-heap.md).
 */
class JobMemoryTest {
  private static final int LARGEST_JOB = 100_000;
  private static final int MAX_VALUE_BYTES = 2_048;
  private static final int DEPENDENCIES = 5_000;
  private static final int MEASUREMENTS = 20;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final MachineIndex machines = new MachineIndex(List.of("z"), 7, machine -> null);

  @Test
  void aWaitingJobTakesTheSameMemoryWithOneTaskAndWithTheMostTasks() throws Exception {
    JobSpec smallest = JobSpec.parse(Submissions.array("wk-000001", 1));
    JobSpec largest = JobSpec.parse(Submissions.array("wk-000001", LARGEST_JOB));
    assertEquals(
        allocatedBytes(() -> waitingJob(smallest)), allocatedBytes(() -> waitingJob(largest)));
  }

  @Test
  void aWaitingJobTakesTheSameMemoryWithOneDependencyAndWithThousands() throws Exception {
    JobSpec one = specWithDependencies(1);
    JobSpec thousands = specWithDependencies(DEPENDENCIES);
    assertEquals(
        allocatedBytes(() -> waitingJob(one)), allocatedBytes(() -> waitingJob(thousands)));
  }

  @Test
  void aDependencyTakesLessMemoryThanItsTextInTheSubmission() {
    List<String> ids =
        IntStream.range(0, DEPENDENCIES).mapToObj(i -> String.format("wk-%06d", i)).toList();
    long bytes = allocatedBytes(() -> JobIdList.of(ids));
    assertTrue(bytes < Json.text(array(ids)).length(), bytes + " bytes");
  }

  private static ArrayNode array(List<String> ids) {
    ArrayNode array = Json.array();
    ids.forEach(array::add);
    return array;
  }

  private static JobSpec specWithDependencies(int count) throws Exception {
    ObjectNode submission = Submissions.array("wk-000001", 1);
    ArrayNode dependencies = submission.putArray("awaits");
    IntStream.range(0, count).forEach(i -> dependencies.add(String.format("wk-%06d", 10 + i)));
    return JobSpec.parse(submission);
  }

  @Test
  void aJobThatPlacesAndReleasesAllItsTasksKeepsMemoryOnlyForThoseAssigned() {
    AssignmentTable assignments = new AssignmentTable();
    for (int task = 0; task < LARGEST_JOB; task++) {
      assignments.add(task, task, task, task);
    }
    for (int task = 1; task < LARGEST_JOB; task++) {
      assignments.remove(assignments.slotOf(task));
    }
    assertEquals(0, assignments.machine(assignments.slotOf(0)));
    assertTrue(assignments.capacity() <= new AssignmentTable().capacity());
  }

  private Job waitingJob(JobSpec spec) {
    Job job = new Job(0, spec, 0, machines.zoneCount());
    job.useSecondFormat(new TasksPerRecord(4, 4), MAX_VALUE_BYTES, machines);
    assertEquals(spec.tasks(), job.pending());
    return job;
  }

  /** Returns the least memory that was allocated; the first calls also load classes. */
  private long allocatedBytes(Supplier<?> creation) {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < MEASUREMENTS; i++) {
      long before = threads.getCurrentThreadAllocatedBytes();
      Object created = creation.get();
      long allocated = threads.getCurrentThreadAllocatedBytes() - before;
      assertNotNull(created);
      least = Math.min(least, allocated);
    }
    return least;
  }
}
