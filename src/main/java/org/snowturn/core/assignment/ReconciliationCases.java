package org.snowturn.core.assignment;

import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Seen;
import org.snowturn.core.recovery.Reconciliation.Stored;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.TaskStatus;

/** What is stored and what a report says, in the terms of the table of {@link Reconciliation}. */
final class ReconciliationCases {
  private final TaskAssignments assignments;
  private final long token;

  ReconciliationCases(TaskAssignments assignments, long token) {
    this.assignments = assignments;
    this.token = token;
  }

  static boolean here(Machine machine, Job job, TaskStatus status) {
    int task = status.task();
    return job.isAssigned(task)
        && job.machineOf(task) == machine.index
        && job.attemptOf(task) == status.attempt();
  }

  /** Whether a direct start of the attempt got no answer, so that it may still arrive. */
  static boolean inDoubt(Machine machine, long attempt, int task) {
    return machine.startsInDoubt.contains(CommandQueue.attemptKey(attempt, task));
  }

  /** Whether the task is alive and its job is one that is left alone. */
  boolean isQuarantined(TaskStatus status) {
    return status.state() != TaskStatus.State.ENDED
        && assignments.registry().isQuarantined(status.job());
  }

  private static Stored stored(Job job, int task) {
    return job.stateOf(task) == TaskState.PLACING
        ? Stored.PLACING
        : job.adopted.get(task) ? Stored.INHERITED : Stored.STARTED;
  }

  private static Reconciliation.AgentEpoch session(long reported, long placed) {
    return reported == placed
        ? Reconciliation.AgentEpoch.SAME
        : reported > placed ? Reconciliation.AgentEpoch.LATER : Reconciliation.AgentEpoch.EARLIER;
  }

  /**
   * Whether another attempt of the task is alive there. Then a refusal (busy) tells that this
   * attempt never began, but not that the task runs nowhere: placed elsewhere it would run twice.
   */
  static boolean otherAttemptAlive(Heartbeat heartbeat, TaskStatus refused) {
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.state() != TaskStatus.State.ENDED
          && status.task() == refused.task()
          && status.job().equals(refused.job())) {
        return true;
      }
    }
    return false;
  }

  /** What a report that does not list a task offers as proof of its attempt's end. */
  static EndEvidence notListed(Heartbeat heartbeat, Job job, int task, boolean checkIn) {
    return heartbeat.agentEpoch() > job.epochOf(task)
        ? new EndEvidence.LaterAgentEpoch(heartbeat.agentEpoch())
        : new EndEvidence.NotListed(heartbeat.seenToken(), heartbeat.agentEpoch(), checkIn);
  }

  /** What the table is asked of a task that is on the report; {@code job} is null if unknown. */
  Reconciliation.Case listed(Machine machine, Heartbeat heartbeat, TaskStatus status, Job job) {
    Seen seen =
        status.state() != TaskStatus.State.ENDED
            ? Seen.ALIVE
            : status.exitReason() == TaskStatus.ExitReason.DONE ? Seen.DONE : Seen.ENDED;
    boolean ours = heartbeat.seenToken() == token;
    if (job != null && here(machine, job, status)) {
      return new Reconciliation.Case(
          stored(job, status.task()),
          seen,
          session(heartbeat.agentEpoch(), job.epochOf(status.task())),
          ours,
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
        !inDoubt(machine, status.attempt(), status.task())
            && assignments.forgettable(status.job(), status.task(), status.attempt());
    return new Reconciliation.Case(
        stored, seen, Reconciliation.AgentEpoch.SAME, ours, false, settled);
  }

  /**
   * What the table is asked of a task that should be there and is not on the report. No start of it
   * may still arrive if none was sent directly without an answer, and if the report is a check-in:
   * what an answer carries is carried out before the worker's next check-in or never.
   */
  Reconciliation.Case unlisted(
      Machine machine, Heartbeat heartbeat, Job job, int task, boolean checkIn) {
    return new Reconciliation.Case(
        stored(job, task),
        Seen.ABSENT,
        session(heartbeat.agentEpoch(), job.epochOf(task)),
        heartbeat.seenToken() == token,
        job.stopping.get(task),
        checkIn && !inDoubt(machine, job.attemptOf(task), task));
  }
}
