package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/**
 * Placement of single tasks of a suspected job, that is, of a job that has failed on every machine
 * where it ran. A probe preferably runs on a machine where other jobs succeed, so that its outcome
 * tells whether the job or the machine is at fault. Probes use the room that other jobs leave, and
 * nothing is preempted for them.
 */
final class ProbePlacement {
  /** Maximum number of assigned tasks of a suspected job while some are not yet running. */
  private static final int MAX_PROBES = 2;

  /** Time without room after which a probe is placed ahead of the waiting jobs. */
  private static final long OVERDUE_AFTER_MS = 30_000;

  /** Penalty for a machine on which the outcome would tell less about the cause of failures. */
  private static final double UNINFORMATIVE_PENALTY_S = 100;

  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final JobPlacement placement;
  private final EvaluationCounter evaluations;

  /** Creates a placement for probes; gangs are left to {@code placement}. */
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

  /** Returns whether another task of the suspected job may be placed now. */
  static boolean isDue(Job job, long nowMs) {
    return nowMs >= job.failures.backOffUntil()
        && (job.assigned() < MAX_PROBES || job.running() == job.assigned());
  }

  /** Returns whether the job's probe has been due for a long time without finding room. */
  static boolean isOverdue(Job job, long nowMs) {
    return nowMs - job.failures.backOffUntil() >= OVERDUE_AFTER_MS;
  }

  /** Places one task of the job, or all tasks of a gang, if there is room. */
  void place(Job job, List<Machine> usableMachines) {
    if (job.spec.kind() == JobSpec.Kind.GANG) {
      // A single task of a gang would only wait for the others.
      placement.place(job, usableMachines);
      return;
    }
    int task = assignments.quota().allows(job.spec) ? job.nextPending() : -1;
    Machine best = null;
    double lowestScore = Double.MAX_VALUE;
    for (Machine machine : usableMachines) {
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

  /** Returns the machine's score with penalties for less informative machines. */
  private double score(Job job, Machine machine) {
    // When nearly all machines have failures, those still considered healthy may be faulty too. So
    // every other probe prefers a machine that is not considered healthy.
    boolean isInformative = machine.failures.isHealthy() == (job.failures.probeCount() % 2 == 0);
    return score.score(job, machine)
        + (isInformative ? 0 : UNINFORMATIVE_PENALTY_S)
        + (job.failures.hasFailedOn(machine.index) ? 2 * UNINFORMATIVE_PENALTY_S : 0);
  }
}
