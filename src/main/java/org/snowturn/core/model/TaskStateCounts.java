package org.snowturn.core.model;

/** How many tasks are in each state. */
public final class TaskStateCounts {
  private final int[] counts = new int[TaskState.values().length];

  void add(TaskState state) {
    counts[state.code()]++;
  }

  /** How many of the counted tasks are in this state. */
  public int of(TaskState state) {
    return counts[state.code()];
  }
}
