package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/**
 * Places single tasks of a suspected job, one that has failed wherever it ran: on a machine where
 * other work succeeds, if there is one, so that the next failure tells whose fault it is. Probes
 * take the room that others leave, and nothing is preempted for them.
 */
final class ProbePlacement {
  /** At most so many tasks of a suspected job that are not known to run. */
  private static final int MAX_PROBES = 2;

  /** A probe that has found no room for so long gets its ordinary place in the order. */
  private static final long OVERDUE_MS = 30_000;

  /** For a machine on which the outcome would tell less. */
  private static final double UNINFORMATIVE_PENALTY_S = 100;

  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final JobPlacement placement;
  private final EvaluationCounter evaluations;

  ProbePlacement(
      TaskAssignments assignments,
      PlacementConstraints constraints,
      PlacementScore score,
      JobPlacement placement,
      EvaluationCounter evaluations) {
    this.assignments = assignments;
    this.constraints = constraints;
    this.score = score;
    this.placement = placement;
    this.evaluations = evaluations;
  }

  /** Whether a task of the suspected job may be tried now. */
  static boolean isDue(Job job, long nowMs) {
    return nowMs >= job.failures.backOffUntil()
        && (job.assigned() < MAX_PROBES || job.running() == job.assigned());
  }

  /** Whether its probe has waited for long. */
  static boolean isOverdue(Job job, long nowMs) {
    return nowMs - job.failures.backOffUntil() >= OVERDUE_MS;
  }

  /** Places one task of the job if a machine has room. */
  void place(Job job, List<Machine> usable) {
    if (job.spec.kind() == JobSpec.Kind.GANG) {
      placement.place(job, usable); // one task of it alone would wait for the others
      return;
    }
    int task = assignments.quota().allows(job.spec) ? job.nextPending() : -1;
    Machine best = null;
    double lowestScore = Double.MAX_VALUE;
    for (Machine machine : usable) {
      evaluations.increment();
      if (task < 0 || !constraints.fits(job, machine)) {
        continue;
      }
      double machineScore = score(job, machine);
      if (machineScore < lowestScore) {
        best = machine;
        lowestScore = machineScore;
      }
    }
    if (best != null) {
      assignments.assign(job, task, best, assignments.newAttempt());
    }
  }

  private double score(Job job, Machine machine) {
    // Where nearly all machines have failed, those that seem sound are not: every other probe goes
    // to one of which nothing is known.
    boolean informative = machine.failures.isHealthy() == (job.failures.probeCount() % 2 == 0);
    return score.score(job, machine)
        + (informative ? 0 : UNINFORMATIVE_PENALTY_S)
        + (job.failures.hasFailedOn(machine.index) ? 2 * UNINFORMATIVE_PENALTY_S : 0);
  }
}
