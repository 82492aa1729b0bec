package org.snowturn.testbench;

import java.util.List;

/**
 * The outcome of a soak run.
 *
 * @param plan the plan of the run
 * @param result the result as a whole
 * @param details a line for each violation: the rule, with tasks, attempts, machines and times
 * @param starts number of task starts
 * @param finishedJobs number of jobs that were reported to users as over
 * @param leaderChanges number of changes of leader that workers have seen
 */
record SoakVerdict(
    SoakPlan plan,
    Result result,
    List<String> details,
    long starts,
    long finishedJobs,
    int leaderChanges) {
  /** Results of a run. */
  enum Result {
    /** Every check passed. */
    PASSED,
    /** A rule of the testbench or an invariant of a controller was violated. */
    FAILED,
    /** A time limit was exceeded before the run could be checked. */
    NOT_FINISHED
  }

  /** Returns a line with the result and the main counts, for a person. */
  String summary() {
    return "seed "
        + plan.seed()
        + ": "
        + result.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')
        + ", "
        + plan.workers()
        + " workers, "
        + plan.faults().size()
        + " faults, "
        + starts
        + " starts, "
        + finishedJobs
        + " jobs finished, "
        + leaderChanges
        + " leader changes";
  }
}
