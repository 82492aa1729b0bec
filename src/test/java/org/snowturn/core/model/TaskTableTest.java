package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.snowturn.core.MonotonicTime;

/**
 * Guards against tasks that change their state, machine or attempt when another task is assigned,
 * released or completed, and against counts that differ from the tasks.
 */
class TaskTableTest {
  private static final int TASKS = 23;

  /** A task as a plain object. */
  private static final class ExpectedTask {
    private TaskState state = TaskState.PENDING;
    private int machine = -1;
    private long attempt;
    private long epoch;
    private long runningSince = MonotonicTime.UNSET;
  }

  private final TaskTable table = new TaskTable(TASKS);
  private final List<ExpectedTask> expected = new ArrayList<>();
  private int steps;

  TaskTableTest() {
    for (int task = 0; task < TASKS; task++) {
      expected.add(new ExpectedTask());
    }
  }

  @Property(seed = "5", tries = 400)
  void eachTaskKeepsItsOwnStateInAnyOrderOfChanges(
      @ForAll @Size(max = 120) List<@IntRange(max = 3 * TASKS - 1) Integer> choices) {
    for (int choice : choices) {
      change(choice % TASKS, choice / TASKS);
      assertEqualsExpected();
    }
  }

  private void change(int task, int choice) {
    steps++;
    TaskState state = expected.get(task).state;
    if (state == TaskState.PENDING) {
      if (choice == 0) {
        table.complete(task);
        expected.get(task).state = TaskState.DONE;
      } else {
        assign(task);
      }
    } else if (state.isAssigned()) {
      if (choice == 0) {
        table.unassign(task);
        expected.set(task, new ExpectedTask());
      } else {
        run(task);
      }
    }
  }

  private void assign(int task) {
    ExpectedTask assigned = expected.get(task);
    assigned.state = TaskState.PLACING;
    assigned.machine = steps;
    assigned.attempt = 1_000L + steps;
    assigned.epoch = 2_000L + steps;
    table.assign(task, steps, assigned.attempt, assigned.epoch, TaskState.PLACING);
  }

  private void run(int task) {
    ExpectedTask running = expected.get(task);
    running.state = TaskState.RUNNING;
    running.runningSince = 3_000L + steps;
    table.setState(task, TaskState.RUNNING);
    table.setRunningSince(task, running.runningSince);
  }

  private void assertEqualsExpected() {
    for (int task = 0; task < TASKS; task++) {
      ExpectedTask other = expected.get(task);
      assertEquals(other.state, table.state(task));
      assertEquals(other.machine, table.machine(task));
      assertEquals(other.attempt, table.attempt(task));
      assertEquals(other.epoch, table.epoch(task));
      assertEquals(other.runningSince, table.runningSince(task));
    }
    assertEquals(count(TaskState.PENDING), table.pending());
    assertEquals(count(TaskState.RUNNING), table.running());
    assertEquals(count(TaskState.DONE), table.done());
    assertEquals(
        count(TaskState.PLACING) + count(TaskState.RUNNING),
        table.assigned(),
        "assigned tasks are placing or running");
    for (int from = 0; from < TASKS; from++) {
      assertEquals(nextAssigned(from), table.nextAssigned(from));
      assertEquals(nextPending(from), table.nextPending(from, task -> task));
    }
  }

  private int count(TaskState state) {
    return (int) expected.stream().filter(task -> task.state == state).count();
  }

  private int nextAssigned(int from) {
    for (int task = from; task < TASKS; task++) {
      if (expected.get(task).state.isAssigned()) {
        return task;
      }
    }
    return -1;
  }

  private int nextPending(int from) {
    for (int i = 0; i < TASKS; i++) {
      int task = (from + i) % TASKS;
      if (expected.get(task).state == TaskState.PENDING) {
        return task;
      }
    }
    return -1;
  }
}
