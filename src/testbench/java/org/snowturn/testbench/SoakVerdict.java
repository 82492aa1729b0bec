package org.snowturn.testbench;

import java.util.List;

/**
 * What came of a soak run.
 *
 * @param result in one word
 * @param details what was broken, by rule, with tasks, attempts, machines and times
 * @param starts tasks that were begun
 * @param finishedJobs jobs that users were told are over
 * @param leaderChanges changes of leader that machines have seen
 */
record SoakVerdict(
    SoakPlan plan,
    Result result,
    List<String> details,
    long starts,
    long finishedJobs,
    int leaderChanges) {
  /** How a run may end. */
  enum Result {
    PASSED,
    /** A rule was broken, or an invariant of the program's own. */
    FAILED,
    /** What was to be judged was not reached. */
    NOT_FINISHED
  }

  /** One line for people. */
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
        + " jobs over, "
        + leaderChanges
        + " changes of leader";
  }
}
