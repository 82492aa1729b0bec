package org.snowturn.core.model;

import java.util.BitSet;
import java.util.function.IntUnaryOperator;
import org.snowturn.core.MonotonicTime;

/**
 * The state of each task of a job. A job may have 100,000 tasks, of which only as many are assigned
 * as the machines have room for. So only assigned tasks have an entry; of the others, a bit tells
 * whether they are done. A job that has never been placed takes no memory for its tasks.
 */
final class TaskTable {
  private static final int NO_MACHINE = -1;
  private static final int NO_TASK = -1;
  private static final long NO_ATTEMPT = 0;
  private static final long NO_EPOCH = 0;

  private final int size;

  /** The tasks that are assigned or done. */
  private final BitSet taken = new BitSet();

  private final BitSet assignedTasks = new BitSet();
  private final int[] countByState = new int[TaskState.values().length];

  /** The assignments; null until a task is assigned. */
  private AssignmentTable assignments;

  TaskTable(int tasks) {
    size = tasks;
    countByState[TaskState.PENDING.code()] = tasks;
  }

  int size() {
    return size;
  }

  private int slotOf(int task) {
    return assignments == null ? AssignmentTable.NO_SLOT : assignments.slotOf(task);
  }

  TaskState state(int task) {
    int slot = slotOf(task);
    if (slot != AssignmentTable.NO_SLOT) {
      return assignments.state(slot);
    }
    return taken.get(task) ? TaskState.DONE : TaskState.PENDING;
  }

  /** Sets the state of an assigned task. */
  void setState(int task, TaskState next) {
    int slot = requireSlot(task);
    moveCount(assignments.state(slot), next);
    assignments.setState(slot, next);
  }

  private int requireSlot(int task) {
    int slot = slotOf(task);
    if (slot == AssignmentTable.NO_SLOT) {
      throw new IllegalStateException("task " + task + " is not assigned");
    }
    return slot;
  }

  private void moveCount(TaskState from, TaskState to) {
    countByState[from.code()]--;
    countByState[to.code()]++;
  }

  /** Adds the number of tasks in each state to the counts. */
  void countStates(TaskStateCounts counts) {
    for (TaskState state : TaskState.values()) {
      counts.add(state, countByState[state.code()]);
    }
  }

  /** Returns the machine of an assigned task; -1 for other tasks. */
  int machine(int task) {
    int slot = slotOf(task);
    return slot == AssignmentTable.NO_SLOT ? NO_MACHINE : assignments.machine(slot);
  }

  /** Returns the attempt of an assigned task; 0 for other tasks. */
  long attempt(int task) {
    int slot = slotOf(task);
    return slot == AssignmentTable.NO_SLOT ? NO_ATTEMPT : assignments.attempt(slot);
  }

  /** Returns the agent epoch of an assigned task; 0 for other tasks. */
  long epoch(int task) {
    int slot = slotOf(task);
    return slot == AssignmentTable.NO_SLOT ? NO_EPOCH : assignments.epoch(slot);
  }

  /** Returns the time since which an assigned task is running. */
  long runningSince(int task) {
    int slot = slotOf(task);
    return slot == AssignmentTable.NO_SLOT ? MonotonicTime.UNSET : assignments.runningSince(slot);
  }

  void setRunningSince(int task, long since) {
    assignments.setRunningSince(requireSlot(task), since);
  }

  /** Assigns a pending task to a machine. */
  void assign(int task, int machine, long attempt, long epoch, TaskState state) {
    if (assignments == null) {
      assignments = new AssignmentTable();
    }
    int slot = assignments.add(task, machine, attempt, epoch);
    assignments.setRunningSince(slot, MonotonicTime.UNSET);
    assignments.setState(slot, state);
    taken.set(task);
    assignedTasks.set(task);
    moveCount(TaskState.PENDING, state);
  }

  /** Removes a task from its machine and makes it pending again. */
  void unassign(int task) {
    int slot = requireSlot(task);
    moveCount(assignments.state(slot), TaskState.PENDING);
    assignments.remove(slot);
    taken.clear(task);
    assignedTasks.clear(task);
  }

  /** Marks a pending task as done. */
  void complete(int task) {
    taken.set(task);
    moveCount(TaskState.PENDING, TaskState.DONE);
  }

  /** Returns the first assigned task from this one on; -1 if there is none. */
  int nextAssigned(int from) {
    return assignedTasks.nextSetBit(from);
  }

  /**
   * Returns the first pending task from this one on, in cyclic order, that is not skipped.
   *
   * @param from the task at which the search begins
   * @param skipTo returns the task itself, or a later one if all tasks before that are to be
   *     skipped
   * @return the task; -1 if there is none
   */
  int nextPending(int from, IntUnaryOperator skipTo) {
    int task = nextPending(from, size, skipTo);
    return task != NO_TASK ? task : nextPending(0, Math.min(from, size), skipTo);
  }

  private int nextPending(int from, int end, IntUnaryOperator skipTo) {
    int task = taken.nextClearBit(from);
    while (task < end) {
      int next = skipTo.applyAsInt(task);
      if (next == task) {
        return task;
      }
      task = taken.nextClearBit(next);
    }
    return NO_TASK;
  }

  int pending() {
    return countByState[TaskState.PENDING.code()];
  }

  int assigned() {
    return size - pending() - done();
  }

  int running() {
    return countByState[TaskState.RUNNING.code()];
  }

  int done() {
    return countByState[TaskState.DONE.code()];
  }
}
