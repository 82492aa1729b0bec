package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/** Places the pending tasks of one job on the machines with the best scores. */
final class JobPlacement {
  private enum Result {
    PLACED,
    NO_ROOM,
    /** Waits for something other than room. */
    DEFERRED
  }

  private final TaskAssignments assignments;
  private final PlacementScore score;
  private final CandidateQueue candidates;
  private final GangScheduling gangScheduling;
  private final Preemptor preemptor;
  private final Consumer<Job> onPlaced;

  /** What found no room in the present round. */
  private final List<JobSpec> withoutRoom = new ArrayList<>();

  /**
   * Places nothing yet.
   *
   * @param onPlaced told of the job after each task that is placed
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

  /** Starts a scheduling round. */
  void beginRound() {
    withoutRoom.clear();
  }

  /** Places all pending tasks; false if some found no room. */
  boolean place(Job job, List<Machine> usable) {
    return place(job, usable, Integer.MAX_VALUE);
  }

  /** Places at most so many pending tasks; false if some of these found no room. */
  boolean place(Job job, List<Machine> usable, int maxTasks) {
    if (isGang(job) && !gangScheduling.fits(job, usable)) {
      return false;
    }
    if (!assignments.quota().allows(job.spec)) {
      return true; // waits for its own team, not for room
    }
    if (isKnownWithoutRoom(job.spec)) {
      return false;
    }
    candidates.begin(job);
    for (Machine machine : usable) {
      candidates.offer(machine);
    }
    if (candidates.isEmpty()) {
      recordWithoutRoom(job.spec);
      return false;
    }
    return placeTasks(job, usable, maxTasks);
  }

  private static boolean isGang(Job job) {
    return job.spec.kind() == JobSpec.Kind.GANG;
  }

  private boolean placeTasks(Job job, List<Machine> usable, int maxTasks) {
    long gangAttempt = isGang(job) ? assignments.newAttempt() : 0;
    for (int placed = 0; job.pending() > 0 && placed < maxTasks; placed++) {
      Result result = placeNext(job, usable, gangAttempt);
      if (result != Result.PLACED) {
        return result == Result.DEFERRED;
      }
    }
    return true;
  }

  /** Places the next pending task; {@code gangAttempt} is the one that a gang's tasks share. */
  private Result placeNext(Job job, List<Machine> usable, long gangAttempt) {
    if (!assignments.quota().allows(job.spec)) {
      return Result.DEFERRED;
    }
    int task = job.nextPending();
    if (task < 0) {
      return Result.DEFERRED; // waits for room in its records
    }
    Machine best = candidates.poll(task);
    if (best == null) {
      if (candidates.isEmpty()) {
        recordWithoutRoom(job.spec);
      }
      return Result.NO_ROOM;
    }
    if (job.spec.isService()
        && score.isFetchTooLate(job.spec, best)
        && preemptor.makeRoomWithImage(job, usable)) {
      return Result.DEFERRED; // a preempted task ends within milliseconds, a fetch takes seconds
    }
    long attempt = isGang(job) ? gangAttempt : assignments.newAttempt();
    assignments.assign(job, task, best, attempt);
    onPlaced.accept(job);
    candidates.offer(best);
    return Result.PLACED;
  }

  /** Whether a job that asks for no more, under no constraints, found no room in this round. */
  private boolean isKnownWithoutRoom(JobSpec spec) {
    for (JobSpec other : withoutRoom) {
      if (PlacementConstraints.isNoSmaller(spec, other)) {
        return true;
      }
    }
    return false;
  }

  private void recordWithoutRoom(JobSpec spec) {
    if (PlacementConstraints.isUnconstrained(spec)) {
      withoutRoom.add(spec);
    }
  }
}
