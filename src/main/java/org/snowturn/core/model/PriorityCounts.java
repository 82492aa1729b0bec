package org.snowturn.core.model;

import org.snowturn.wire.Priority;

/** The number of assigned tasks of each priority. */
public final class PriorityCounts {
  private final int[] counts = new int[Priority.values().length];

  /** Adds to the number of tasks of this priority; a negative delta subtracts. */
  public void add(Priority priority, int delta) {
    counts[priority.level()] += delta;
  }

  /** Returns the number of tasks of lower priority than this. */
  public int below(Priority priority) {
    int count = 0;
    for (int i = priority.level() + 1; i < counts.length; i++) {
      count += counts[i];
    }
    return count;
  }
}
