package org.snowturn.core.model;

/** The number of tasks in each state. */
public final class TaskStateCounts {
  private final int[] counts = new int[TaskState.values().length];

  /** Counts one task in this state. */
  void add(TaskState state) {
    counts[state.code()]++;
  }

  /** Returns the number of counted tasks in this state. */
  public int of(TaskState state) {
    return counts[state.code()];
  }
}
