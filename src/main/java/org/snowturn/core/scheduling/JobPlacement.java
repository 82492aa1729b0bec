package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/** Placement of the pending tasks of one job on the machines with the best scores. */
final class JobPlacement {
  /** Result of an attempt to place one task. */
  private enum Result {
    /** The task was placed. */
    PLACED,
    /** No machine has room for the task. */
    NO_ROOM,
    /** The task has to wait for something other than room on a machine. */
    DEFERRED
  }

  private final TaskAssignments assignments;
  private final PlacementScore score;
  private final CandidateQueue candidates;
  private final GangScheduling gangScheduling;
  private final Preemptor preemptor;
  private final Consumer<Job> onPlaced;

  /** Specs of unconstrained jobs for which no machine had room in the current round. */
  private final List<JobSpec> unplaceableSpecs = new ArrayList<>();

  /**
   * Creates a placement that has placed nothing yet.
   *
   * @param onPlaced called with the job after each placement of a task
   */
  JobPlacement(
      TaskAssignments assignments,
      PlacementScore score,
      CandidateQueue candidates,
      GangScheduling gangScheduling,
      Preemptor preemptor,
      Consumer<Job> onPlaced) {
    this.assignments = assignments;
    this.score = score;
    this.candidates = candidates;
    this.gangScheduling = gangScheduling;
    this.preemptor = preemptor;
    this.onPlaced = onPlaced;
  }

  /** Starts a scheduling round and discards what is known from the last one. */
  void beginRound() {
    unplaceableSpecs.clear();
  }

  /** Places all pending tasks of the job; returns false if a task found no room. */
  boolean place(Job job, List<Machine> usableMachines) {
    return place(job, usableMachines, Integer.MAX_VALUE);
  }

  /**
   * Places pending tasks of the job.
   *
   * @param maxTasks maximum number of tasks to place
   * @return false if a task found no room; true if the tasks were placed, or have to wait for
   *     something other than room
   */
  boolean place(Job job, List<Machine> usableMachines, int maxTasks) {
    if (isGang(job) && !gangScheduling.fits(job, usableMachines)) {
      return false;
    }
    if (!assignments.quota().allows(job.spec)) {
      return true; // waits for its team's quota, not for room
    }
    if (isKnownUnplaceable(job.spec)) {
      return false;
    }
    candidates.reset(job);
    for (Machine machine : usableMachines) {
      candidates.offer(machine);
    }
    if (candidates.isEmpty()) {
      return isRoomAwaited(job.spec);
    }
    return placeTasks(job, usableMachines, maxTasks);
  }

  private static boolean isGang(Job job) {
    return job.spec.kind() == JobSpec.Kind.GANG;
  }

  private boolean placeTasks(Job job, List<Machine> usableMachines, int maxTasks) {
    long gangAttempt = isGang(job) ? assignments.newAttempt() : 0;
    for (int placed = 0; job.pending() > 0 && placed < maxTasks; placed++) {
      Result result = placeNext(job, usableMachines, gangAttempt);
      if (result != Result.PLACED) {
        return result == Result.DEFERRED;
      }
    }
    return true;
  }

  /**
   * Places the next pending task.
   *
   * @param gangAttempt the attempt that all tasks of a gang share; unused for other jobs
   */
  private Result placeNext(Job job, List<Machine> usableMachines, long gangAttempt) {
    if (!assignments.quota().allows(job.spec)) {
      return Result.DEFERRED;
    }
    int task = job.nextPending();
    if (task < 0) {
      return Result.DEFERRED; // waits until the records of its tasks have room
    }
    Machine best = candidates.poll(task);
    if (best == null) {
      return candidates.isEmpty() && isRoomAwaited(job.spec) ? Result.DEFERRED : Result.NO_ROOM;
    }
    if (job.spec.isService()
        && score.isFetchTooLate(job.spec, best)
        && preemptor.makeRoomWithImage(job, usableMachines)) {
      return Result.DEFERRED; // preempting a task takes milliseconds, fetching an image seconds
    }
    long attempt = isGang(job) ? gangAttempt : assignments.newAttempt();
    assignments.assign(job, task, best, attempt);
    onPlaced.accept(job);
    candidates.offer(best);
    return Result.PLACED;
  }

  /**
   * Returns whether a job without constraints that needs the same or less of each resource found no
   * room in this round, so that this one cannot find room either.
   */
  private boolean isKnownUnplaceable(JobSpec spec) {
    for (JobSpec other : unplaceableSpecs) {
      if (PlacementConstraints.isAtLeastAsDemanding(spec, other)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the tasks wait for a machine that has room. If not, no machine has room for
   * such a task in this round.
   */
  private boolean isRoomAwaited(JobSpec spec) {
    if (!candidates.isWaitingForMachine()) {
      recordUnplaceable(spec);
    }
    return candidates.isWaitingForMachine();
  }

  /** Records that no machine has room for such a task, unless constraints may be the cause. */
  private void recordUnplaceable(JobSpec spec) {
    if (PlacementConstraints.isUnconstrained(spec)) {
      unplaceableSpecs.add(spec);
    }
  }
}
