package org.snowturn.core.leader;

import org.snowturn.core.model.Job;

/**
 * How many tasks of all live jobs wait for a machine, and how many are assigned to one.
 *
 * @param waiting tasks that could be assigned now if there were room
 * @param assigned tasks that are on a machine, or on their way to it
 */
record TaskCounts(int waiting, int assigned) {
  /** Counts the tasks of these jobs. */
  static TaskCounts of(Iterable<Job> jobs) {
    int waiting = 0;
    int assigned = 0;
    for (Job job : jobs) {
      waiting += job.hasPlaceableTasks() ? job.pending() : 0;
      assigned += job.assigned();
    }
    return new TaskCounts(waiting, assigned);
  }
}
