package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.TaskStatus;

/**
 * What check-ins are answered. Here the rule of cancellations is kept for each machine
 * (docs/safety.md): an answer that renews its lease carries every stop that is due there. What
 * cannot be stopped, since its start may still arrive after any stop, lets the lease be renewed
 * only as long as the session would still lapse in time.
 */
public final class HeartbeatCommands {
  /**
   * What a check-in is answered.
   *
   * @param renews whether the answer may renew the machine's lease
   */
  public record Answer(List<Command> commands, boolean renews) {}

  private final TaskAssignments assignments;
  private final KnownCancellations cancellations;
  private final ReconciliationCases cases;
  private long repeatedStarts;

  /**
   * Answers heartbeats for a term.
   *
   * @param token the fencing token of the term
   */
  public HeartbeatCommands(
      TaskAssignments assignments, KnownCancellations cancellations, long token) {
    this.assignments = assignments;
    this.cancellations = cancellations;
    this.cases = new ReconciliationCases(assignments, token);
  }

  /** How many starts were sent again in answers, since a report did not list them. */
  public long repeatedStarts() {
    return repeatedStarts;
  }

  /** What the worker is to do, by what it has just reported and what was taken in of that. */
  public Answer respond(Machine machine, Heartbeat heartbeat) {
    List<Command> out = new ArrayList<>();
    boolean newest =
        heartbeat.agentEpoch() == machine.epoch()
            && heartbeat.sequence() == machine.session.heartbeatSequence();
    LongHashSet listed = addListed(machine, heartbeat, newest, out);
    boolean renews = true;
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      if (!listed.contains(ref)) {
        renews &= unlisted(machine, heartbeat, job, TaskAssignments.task(ref), newest, out);
      }
    }
    return new Answer(out, renews);
  }

  /** Adds the commands for the tasks of a heartbeat; returns those that are assigned there. */
  private LongHashSet addListed(
      Machine machine, Heartbeat heartbeat, boolean newest, List<Command> out) {
    LongHashSet listed = new LongHashSet();
    for (TaskStatus status : heartbeat.tasks()) {
      Job named = assignments.job(status.job());
      Job job = named != null && status.task() < named.taskCount() ? named : null;
      boolean here = job != null && ReconciliationCases.here(machine, job, status);
      if (here) {
        listed.add(Job.taskReference(job.index, status.task()));
      }
      Command command =
          newest
              ? order(machine, heartbeat, status, job, here)
              : unwanted(status, named) ? stop(status) : null;
      if (command != null) {
        out.add(command);
      }
    }
    return listed;
  }

  /** What to do about one task that is on the newest report; null if nothing. */
  private Command order(
      Machine machine, Heartbeat heartbeat, TaskStatus status, Job job, boolean here) {
    if (cases.isQuarantined(status)) {
      // Its record cannot be read, but users may have been told: what runs of it may be stopped.
      return cancellations.known(status.job()) ? stop(status) : null;
    }
    return switch (Reconciliation.of(cases.listed(machine, heartbeat, status, job))) {
      case STOP -> here ? assignments.stopCommand(job, status.task()) : stop(status);
      case FORGET ->
          new Command(Command.Op.FORGET, status.job(), status.task(), status.attempt(), 0);
      default -> null;
    };
  }

  /**
   * Whether something that runs is to be stopped whatever newer messages say: a message that has
   * overtaken a check-in has given no orders, and the answer renews the lease all the same.
   */
  private boolean unwanted(TaskStatus status, Job job) {
    boolean gone = job == null && !assignments.registry().isQuarantined(status.job());
    return status.state() != TaskStatus.State.ENDED
        && (gone || cancellations.known(status.job()) || (job != null && job.isCancelled()));
  }

  /**
   * What to do about a bound task that is not on a check-in; tells whether its answer may renew.
   */
  private boolean unlisted(
      Machine machine, Heartbeat heartbeat, Job job, int task, boolean newest, List<Command> out) {
    Verdict verdict =
        newest
            ? Reconciliation.of(cases.unlisted(machine, heartbeat, job, task, true))
            : Verdict.WAIT;
    if (verdict == Verdict.RELEASE) {
      assignments.release(job, task, ReconciliationCases.notListed(heartbeat, job, task, true));
      return true;
    }
    if (job.isCancelled()) {
      out.add(assignments.stopCommand(job, task)); // a newer message may have shown it there
      return !ReconciliationCases.inDoubt(machine, job.attemptOf(task), task)
          || cancellations.lapsesInTime(job.earliestConfirmationAt());
    }
    if (verdict == Verdict.START) {
      repeatStart(machine, job, task, out);
    }
    return true;
  }

  /** Repeated until listed: a start does nothing where the attempt is known already. */
  private void repeatStart(Machine machine, Job job, int task, List<Command> out) {
    Command start = assignments.startCommand(job, task);
    if (!assignments.mayStart(machine, start)) {
      return;
    }
    repeatedStarts++;
    out.add(start);
    if (job.stopping.get(task)) {
      out.add(assignments.stopCommand(job, task));
    }
  }

  /**
   * What of a report may be stopped before anything else is known: tasks of cancelled jobs. Their
   * machine's lease is renewed by the very answer.
   */
  public List<Command> stops(Heartbeat heartbeat) {
    List<Command> out = new ArrayList<>();
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.state() != TaskStatus.State.ENDED && cancellations.known(status.job())) {
        out.add(stop(status));
      }
    }
    return out;
  }

  private static Command stop(TaskStatus status) {
    return new Command(Command.Op.STOP, status.job(), status.task(), status.attempt(), 0);
  }
}
