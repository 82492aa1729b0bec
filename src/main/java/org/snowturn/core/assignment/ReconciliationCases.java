package org.snowturn.core.assignment;

import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Reported;
import org.snowturn.core.recovery.Reconciliation.Stored;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.TaskStatus;

/** Builds the cases of the {@link Reconciliation} table from stored and reported task states. */
final class ReconciliationCases {
  private final TaskAssignments assignments;

  ReconciliationCases(TaskAssignments assignments) {
    this.assignments = assignments;
  }

  /** Returns whether the reported attempt is the one assigned to this machine. */
  static boolean isAssignedHere(Machine machine, Job job, TaskStatus status) {
    int task = status.task();
    return job.isAssigned(task)
        && job.machineOf(task) == machine.index
        && job.attemptOf(task) == status.attempt();
  }

  /** Returns whether the task is alive and its job is quarantined. */
  boolean isQuarantined(TaskStatus status) {
    return status.state() != TaskStatus.State.ENDED
        && assignments.registry().isQuarantined(status.job());
  }

  private static Stored storedState(Job job, int task) {
    return job.stateOf(task) == TaskState.PLACING
        ? Stored.PLACING
        : job.adopted.get(task) ? Stored.INHERITED : Stored.STARTED;
  }

  private static Reconciliation.EpochOrder compareEpochs(long reported, long placed) {
    return reported == placed
        ? Reconciliation.EpochOrder.SAME
        : reported > placed ? Reconciliation.EpochOrder.LATER : Reconciliation.EpochOrder.EARLIER;
  }

  /**
   * Returns whether the heartbeat lists another, live attempt of the task. In that case a rejection
   * as busy proves only that the rejected attempt never began. The other attempt may still run, so
   * placing the task elsewhere could run it twice.
   */
  static boolean hasOtherLiveAttempt(Heartbeat heartbeat, TaskStatus rejected) {
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.state() != TaskStatus.State.ENDED
          && status.task() == rejected.task()
          && status.job().equals(rejected.job())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the evidence for the end of a task's attempt that a heartbeat without that task offers.
   *
   * @param ownHeartbeat whether the worker sent the heartbeat on its own, and not as the reply to a
   *     direct message
   */
  static EndEvidence absenceEvidence(Heartbeat heartbeat, Job job, int task, boolean ownHeartbeat) {
    return heartbeat.agentEpoch() > job.epochOf(task)
        ? new EndEvidence.LaterAgentEpoch(heartbeat.agentEpoch())
        : new EndEvidence.NotListed(heartbeat.seenToken(), heartbeat.agentEpoch(), ownHeartbeat);
  }

  /**
   * Returns the case of a task that the heartbeat lists.
   *
   * @param job the task's job; null if it is not live
   */
  Reconciliation.Case caseOfListed(
      Machine machine, Heartbeat heartbeat, TaskStatus status, Job job) {
    Reported seen =
        status.state() != TaskStatus.State.ENDED
            ? Reported.ALIVE
            : status.exitReason() == TaskStatus.ExitReason.DONE ? Reported.DONE : Reported.ENDED;
    boolean carriesToken = machine.fence.isOwnToken(heartbeat.seenToken());
    if (job != null && isAssignedHere(machine, job, status)) {
      return new Reconciliation.Case(
          storedState(job, status.task()),
          seen,
          compareEpochs(heartbeat.agentEpoch(), job.epochOf(status.task())),
          carriesToken,
          job.stopping.get(status.task()),
          false);
    }
    Stored stored =
        job == null
            ? Stored.NOTHING
            : job.stateOf(status.task()) == TaskState.DONE
                ? Stored.FINISHED
                : job.stateOf(status.task()) == TaskState.PENDING && !job.isCancellationRecorded()
                    ? Stored.WAITING
                    : Stored.ELSEWHERE;
    boolean settled =
        machine.fence.isStartFenced(status.attempt(), status.task())
            && assignments.isForgettable(status.job(), status.task(), status.attempt());
    return new Reconciliation.Case(
        stored, seen, Reconciliation.EpochOrder.SAME, carriesToken, false, settled);
  }

  /**
   * Returns the case of an assigned task that the heartbeat does not list. No start of the task can
   * still arrive if the machine refuses every directly sent start and the worker sent the heartbeat
   * on its own: a worker executes the commands of an answer before its next own heartbeat or never.
   *
   * @param ownHeartbeat whether the worker sent the heartbeat on its own, and not as the reply to a
   *     direct message
   */
  Reconciliation.Case caseOfUnlisted(
      Machine machine, Heartbeat heartbeat, Job job, int task, boolean ownHeartbeat) {
    return new Reconciliation.Case(
        storedState(job, task),
        Reported.ABSENT,
        compareEpochs(heartbeat.agentEpoch(), job.epochOf(task)),
        machine.fence.isOwnToken(heartbeat.seenToken()),
        job.stopping.get(task),
        ownHeartbeat && !machine.fence.canStartArrive(job.attemptOf(task), task));
  }
}
