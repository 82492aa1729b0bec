package org.snowturn.core.model;

import org.snowturn.wire.Priority;

/** How many assigned tasks there are of each priority. */
public final class PriorityCounts {
  private final int[] counts = new int[Priority.values().length];

  /** So many tasks of this priority have come, or gone if negative. */
  public void add(Priority priority, int delta) {
    counts[priority.level()] += delta;
  }

  /** How many tasks are of lower priority than this. */
  public int below(Priority priority) {
    int count = 0;
    for (int i = priority.level() + 1; i < counts.length; i++) {
      count += counts[i];
    }
    return count;
  }
}
