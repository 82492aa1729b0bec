package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.snowturn.core.storage.TasksPerRecord;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Guards against controllers that end for memory, one after the other, because every leader takes
 * memory for each task of each accepted job, of which a job may have 100,000
 * (docs/incidents/arrays-fill-the-heap.md).
 */
class JobMemoryTest {
  private static final int LARGEST_JOB = 100_000;
  private static final int MAX_VALUE_BYTES = 2_048;
  private static final int MEASUREMENTS = 20;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final MachineIndex machines = new MachineIndex(List.of("z"), machine -> null);

  @Test
  void aWaitingJobTakesTheSameMemoryWithOneTaskAndWithTheMostTasks() throws Exception {
    JobSpec smallest = JobSpec.parse(Submissions.array("wk-000001", 1));
    JobSpec largest = JobSpec.parse(Submissions.array("wk-000001", LARGEST_JOB));
    assertEquals(
        allocatedBytes(() -> waitingJob(smallest)), allocatedBytes(() -> waitingJob(largest)));
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
    assertTrue(job.hasPlaceableTasks());
    return job;
  }

  /** Returns the least memory that was allocated; the first calls also load classes. */
  private long allocatedBytes(Supplier<Job> creation) {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < MEASUREMENTS; i++) {
      long before = threads.getCurrentThreadAllocatedBytes();
      Job job = creation.get();
      long allocated = threads.getCurrentThreadAllocatedBytes() - before;
      assertTrue(job.pending() > 0);
      least = Math.min(least, allocated);
    }
    return least;
  }
}
