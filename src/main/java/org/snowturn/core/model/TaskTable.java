package org.snowturn.core.model;

import java.util.Arrays;
import org.snowturn.core.MonotonicTime;

/** The state of each task of a job, in dense arrays, so that a job may have 100,000 tasks. */
final class TaskTable {
  private static final int NO_MACHINE = -1;

  private final byte[] states;
  private final int[] machines;
  private final long[] attempts;
  private final long[] epochs;
  private final long[] runningSince;
  private int pending;
  private int assigned;
  private int running;
  private int done;

  TaskTable(int tasks) {
    states = new byte[tasks];
    machines = new int[tasks];
    attempts = new long[tasks];
    epochs = new long[tasks];
    runningSince = new long[tasks];
    Arrays.fill(machines, NO_MACHINE);
    pending = tasks;
  }

  int size() {
    return states.length;
  }

  TaskState state(int task) {
    return TaskState.ofCode(states[task]);
  }

  /** Sets a task's state and updates the count of running tasks. */
  void setState(int task, TaskState next) {
    running += next == TaskState.RUNNING ? 1 : 0;
    running -= state(task) == TaskState.RUNNING ? 1 : 0;
    states[task] = next.code();
  }

  /** Adds the number of tasks in each state to the counts. */
  void countStates(TaskStateCounts counts) {
    for (byte code : states) {
      counts.add(TaskState.ofCode(code));
    }
  }

  int machine(int task) {
    return machines[task];
  }

  long attempt(int task) {
    return attempts[task];
  }

  long epoch(int task) {
    return epochs[task];
  }

  long runningSince(int task) {
    return runningSince[task];
  }

  void setRunningSince(int task, long since) {
    runningSince[task] = since;
  }

  /** Assigns a pending task to a machine. */
  void assign(int task, int machine, long attempt, long epoch, TaskState state) {
    machines[task] = machine;
    attempts[task] = attempt;
    epochs[task] = epoch;
    runningSince[task] = MonotonicTime.UNSET;
    pending--;
    assigned++;
    setState(task, state);
  }

  /** Removes a task from its machine. The caller then sets its state. */
  void unassign(int task) {
    assigned--;
    machines[task] = NO_MACHINE;
  }

  /** Makes an unassigned task pending again. */
  void requeue(int task) {
    setState(task, TaskState.PENDING);
    pending++;
  }

  /** Marks a pending or unassigned task as done. */
  void complete(int task) {
    pending -= state(task) == TaskState.PENDING ? 1 : 0;
    setState(task, TaskState.DONE);
    done++;
  }

  int pending() {
    return pending;
  }

  int assigned() {
    return assigned;
  }

  int running() {
    return running;
  }

  int done() {
    return done;
  }
}
