package org.snowturn.core.model;

/** The number of tasks in each state. */
public final class TaskStateCounts {
  private final int[] counts = new int[TaskState.values().length];

  /** Counts tasks in this state. */
  void add(TaskState state, int tasks) {
    counts[state.code()] += tasks;
  }

  /** Returns the number of counted tasks in this state. */
  public int of(TaskState state) {
    return counts[state.code()];
  }
}
