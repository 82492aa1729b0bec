package org.snowturn.core.assignment;

import java.util.List;
import java.util.Map;
import org.agrona.collections.LongHashSet;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.TaskStatus;

/**
 * Decides which commands the answer to a heartbeat carries and whether it may renew the machine's
 * lease. It upholds the safety rule for cancellations (docs/safety.md): an answer that renews the
 * lease carries a stop for every task of a cancelled job on that machine. A task whose start may
 * still be in flight cannot be stopped reliably, since the start may arrive after the stop. The
 * lease is then renewed only while it would still expire in time for the cancellation. The same
 * holds for a stop for which the answer has no room; it is sent directly.
 */
public final class HeartbeatCommands {
  /**
   * The answer to a heartbeat.
   *
   * @param commands the commands for the worker
   * @param renewsLease whether the answer may renew the machine's lease
   */
  public record Answer(List<Command> commands, boolean renewsLease) {}

  private final TaskAssignments assignments;
  private final KnownCancellations cancellations;
  private final ReconciliationCases cases;
  private final StartFencing fencing;
  private final CoreRuntime runtime;
  private long repeatedStarts;
  private long unassignedStops;
  private long deferredCommands;

  /**
   * Creates an instance that answers the heartbeats of a term.
   *
   * @param fencing raises the tokens of machines
   */
  public HeartbeatCommands(
      CoreRuntime runtime,
      TaskAssignments assignments,
      KnownCancellations cancellations,
      StartFencing fencing) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.cancellations = cancellations;
    this.fencing = fencing;
    this.cases = new ReconciliationCases(assignments);
  }

  /** Returns the gauges of the answers, by metric name. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.starts.repeated", (double) repeatedStarts,
        "snowturn.stops.unassigned", (double) unassignedStops,
        "snowturn.commands.deferred", (double) deferredCommands,
        "snowturn.tokens.raised", (double) fencing.raisedTokens(),
        "snowturn.forgets.deferred", (double) fencing.unfenced());
  }

  /** Returns the answer to a heartbeat, after {@link HeartbeatProcessor#apply} has processed it. */
  public Answer respond(Machine machine, Heartbeat heartbeat) {
    AnswerCommands commands = new AnswerCommands();
    boolean newest = isNewest(machine, heartbeat);
    LongHashSet listed = addCommandsForListed(machine, heartbeat, newest, commands);
    boolean renewsLease = true;
    for (long reference : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(reference);
      if (!listed.contains(reference)) {
        renewsLease &=
            handleUnlisted(
                machine, heartbeat, job, TaskAssignments.task(reference), newest, commands);
      }
    }
    AnswerCommands.Composed composed = commands.compose();
    deferredCommands += composed.deferred();
    if (!composed.isComplete()) {
      // None of the stops in an answer without a renewal is executed.
      commands.allRequiredStops().forEach(machine.commands()::add);
    } else {
      composed.missingStops().forEach(machine.commands()::add);
    }
    return new Answer(composed.commands(), renewsLease && composed.isComplete());
  }

  /**
   * Returns whether the heartbeat is the newest of its machine. In the first agent epoch starts are
   * only sent in answers, and no answer was sent since the newest heartbeat of the worker's own. So
   * its answer may carry them even if a reply to a direct message is newer.
   */
  private static boolean isNewest(Machine machine, Heartbeat heartbeat) {
    return heartbeat.agentEpoch() == machine.epoch()
        && (heartbeat.sequence() == machine.session.heartbeatSequence()
            || (machine.session.isInFirstEpoch()
                && machine.reachability.isNewestReceived(heartbeat.sequence())));
  }

  /**
   * Adds the commands for the tasks that a heartbeat lists.
   *
   * @param newest whether the heartbeat is the newest of its machine
   * @return the references of the listed tasks that are assigned to the machine
   */
  private LongHashSet addCommandsForListed(
      Machine machine, Heartbeat heartbeat, boolean newest, AnswerCommands commands) {
    LongHashSet listed = new LongHashSet();
    for (TaskStatus status : heartbeat.tasks()) {
      Job liveJob = assignments.job(status.job());
      Job job = liveJob != null && status.task() < liveJob.taskCount() ? liveJob : null;
      boolean assignedHere =
          job != null && ReconciliationCases.isAssignedHere(machine, job, status);
      if (assignedHere) {
        listed.add(Job.taskReference(job.index, status.task()));
      }
      if (newest) {
        add(commandFor(machine, heartbeat, status, job, assignedHere), status, liveJob, commands);
      } else if (mustStop(status, liveJob)) {
        add(stopCommand(status), status, liveJob, commands);
      }
    }
    return listed;
  }

  /**
   * Adds the command for a listed task.
   *
   * @param command the command; null if there is none
   * @param job the task's job; null if it is not live
   */
  private void add(Command command, TaskStatus status, Job job, AnswerCommands commands) {
    if (command == null) {
      return;
    }
    if (mustStop(status, job)) {
      commands.addRequiredStop(command, isStopDeferrable(job));
    } else {
      commands.add(command);
    }
  }

  /** Returns the command for a task that the newest heartbeat lists; null if there is none. */
  private Command commandFor(
      Machine machine, Heartbeat heartbeat, TaskStatus status, Job job, boolean assignedHere) {
    if (cases.isQuarantined(status)) {
      // A record of the job is unreadable, but its cancellation may have been confirmed to a user.
      return cancellations.isKnownCancelled(status.job()) ? stopCommand(status) : null;
    }
    if (status.state() == TaskStatus.State.ENDED
        && assignments.isForgettable(status.job(), status.task(), status.attempt())) {
      fencing.fence(machine, heartbeat, status.attempt(), status.task());
    }
    return switch (Reconciliation.decide(cases.caseOfListed(machine, heartbeat, status, job))) {
      case STOP ->
          assignedHere
              ? assignments.stopCommand(job, status.task())
              : stopUnassigned(machine, status);
      case FORGET -> forgetCommand(status);
      default -> null;
    };
  }

  private Command stopUnassigned(Machine machine, TaskStatus status) {
    unassignedStops++;
    runtime
        .events()
        .info(LogEvent.UNASSIGNED_ATTEMPT_STOPPED)
        .with(LogField.TASK, status.job() + "/" + status.task())
        .with(LogField.ATTEMPT, status.attempt())
        .with(LogField.MACHINE, machine.id)
        .with(LogField.TOKEN, machine.fence.token())
        .write();
    return stopCommand(status);
  }

  /**
   * Returns whether a listed task must be stopped before the lease is renewed, even if the
   * heartbeat that lists it is not the newest. The newer heartbeat may have been the reply to a
   * direct message, which is not answered with commands, while the answer to this one renews the
   * lease.
   *
   * @param job the task's job; null if it is not live
   */
  private boolean mustStop(TaskStatus status, Job job) {
    boolean gone = job == null && !assignments.registry().isQuarantined(status.job());
    return status.state() != TaskStatus.State.ENDED
        && (gone
            || cancellations.isKnownCancelled(status.job())
            || (job != null && job.isCancelled()));
  }

  /**
   * Returns whether the stop of a cancelled job's task may follow after an answer that renews the
   * lease.
   *
   * @param job the task's job; null if it is not live
   */
  private boolean isStopDeferrable(Job job) {
    return job != null
        && job.isCancelled()
        && cancellations.wouldLeaseExpireInTime(job.earliestConfirmationAt());
  }

  /**
   * Releases, stops or restarts an assigned task that the heartbeat does not list.
   *
   * @return whether the answer to the heartbeat may renew the machine's lease
   */
  private boolean handleUnlisted(
      Machine machine,
      Heartbeat heartbeat,
      Job job,
      int task,
      boolean newest,
      AnswerCommands commands) {
    Verdict verdict =
        newest
            ? Reconciliation.decide(cases.caseOfUnlisted(machine, heartbeat, job, task, true))
            : Verdict.WAIT;
    if (verdict == Verdict.RELEASE) {
      assignments.release(
          job, task, ReconciliationCases.absenceEvidence(heartbeat, job, task, true));
      return true;
    }
    if (job.isCancelled()) {
      // The task may be on the machine: a newer heartbeat may have listed it.
      commands.addRequiredStop(assignments.stopCommand(job, task), isStopDeferrable(job));
      // A machine whose lease this answer renews refuses the start from then on.
      return fencing.fence(machine, heartbeat, job.attemptOf(task), task)
          || cancellations.wouldLeaseExpireInTime(job.earliestConfirmationAt());
    }
    if (verdict == Verdict.START) {
      repeatStart(machine, job, task, commands);
    }
    return true;
  }

  /**
   * Sends the start of a task again, and its stop if it is to stop. A start has no effect on a
   * machine that already knows the attempt, so it is repeated until a heartbeat lists the task.
   */
  private void repeatStart(Machine machine, Job job, int task, AnswerCommands commands) {
    Command start = assignments.startCommand(job, task);
    if (!assignments.canStart(machine, start)) {
      return;
    }
    repeatedStarts++;
    commands.addStart(
        job.stopping.get(task)
            ? List.of(start, assignments.stopCommand(job, task))
            : List.of(start));
  }

  /**
   * Directly tells a machine to forget ended attempts that its reply to a direct message lists, if
   * it lists more than fits into a heartbeat: it cannot send one, whose answer would carry them. An
   * earlier version may have started that many tasks.
   */
  public void forgetIfOverfull(Machine machine, Heartbeat reply) {
    if (machine.heartbeatUsage.freeBytes() >= 0 || !isNewest(machine, reply)) {
      return;
    }
    fencing.raiseToken(machine);
    for (TaskStatus status : reply.tasks()) {
      Job liveJob = assignments.job(status.job());
      Job job = liveJob != null && status.task() < liveJob.taskCount() ? liveJob : null;
      if (Reconciliation.decide(cases.caseOfListed(machine, reply, status, job))
          == Verdict.FORGET) {
        machine.commands().add(forgetCommand(status));
      }
    }
  }

  /**
   * Returns an answer with stops for the heartbeat's tasks of cancelled jobs. It needs no loaded
   * records, so a new leader that is still loading them uses it.
   */
  public Answer respondBeforeLoaded(Heartbeat heartbeat) {
    AnswerCommands commands = new AnswerCommands();
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.state() != TaskStatus.State.ENDED
          && cancellations.isKnownCancelled(status.job())) {
        commands.addRequiredStop(stopCommand(status), false);
      }
    }
    AnswerCommands.Composed composed = commands.compose();
    deferredCommands += composed.deferred();
    return new Answer(composed.commands(), composed.isComplete());
  }

  private static Command forgetCommand(TaskStatus status) {
    return new Command(Command.Op.FORGET, status.job(), status.task(), status.attempt(), 0);
  }

  private static Command stopCommand(TaskStatus status) {
    return new Command(Command.Op.STOP, status.job(), status.task(), status.attempt(), 0);
  }
}
