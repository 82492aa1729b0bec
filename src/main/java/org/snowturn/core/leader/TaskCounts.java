package org.snowturn.core.leader;

import org.snowturn.core.model.Job;

/**
 * The numbers of waiting and assigned tasks of some jobs.
 *
 * @param waiting tasks that could be assigned now if a machine had room
 * @param assigned tasks that are assigned to a machine, whether or not they have started there
 */
record TaskCounts(int waiting, int assigned) {
  /** Returns the counts of the tasks of the given jobs. */
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
