package org.snowturn.core.act;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Command;
import org.snowturn.wire.Report;
import org.snowturn.wire.TaskReport;

/**
 * What check-ins are answered. Here the rule of cancellations is kept for each machine
 * (docs/safety.md): an answer that renews its lease carries every stop that is due there. What
 * cannot be stopped, since its start may still arrive after any stop, lets the lease be renewed
 * only as long as the session would still lapse in time.
 */
public final class Orders {
  /**
   * What a check-in is answered.
   *
   * @param renews whether the answer may renew the machine's lease
   */
  public record Answer(List<Command> commands, boolean renews) {}

  private final Ledger ledger;
  private final Cancellations cancellations;
  private final ReportCases cases;
  private long repeatedStarts;

  public Orders(Ledger ledger, Cancellations cancellations, long token) {
    this.ledger = ledger;
    this.cancellations = cancellations;
    this.cases = new ReportCases(ledger, token);
  }

  /** How many starts were sent again in answers, since a report did not list them. */
  public long repeatedStarts() {
    return repeatedStarts;
  }

  /** What the worker is to do, by what it has just reported and what was taken in of that. */
  public Answer to(Machine m, Report r) {
    List<Command> out = new ArrayList<>();
    boolean newest = r.session() == m.session && r.seq() == m.seq;
    LongHashSet listed = new LongHashSet();
    for (TaskReport t : r.tasks()) {
      Job named = ledger.job(t.job());
      Job j = named != null && t.task() < named.state.length ? named : null;
      boolean here = j != null && ReportCases.here(m, j, t);
      if (here) {
        listed.add(Job.ref(j.index, t.task()));
      }
      Command c = newest ? order(m, r, t, j, here) : unwanted(t, named) ? stop(t) : null;
      if (c != null) {
        out.add(c);
      }
    }
    boolean renews = true;
    for (long ref : Reports.copy(m.bound)) {
      Job j = ledger.job(ref);
      if (!listed.contains(ref)) {
        renews &= unlisted(m, r, j, Ledger.task(ref), newest, out);
      }
    }
    return new Answer(out, renews);
  }

  /** What to do about one task that is on the newest report; null if nothing. */
  private Command order(Machine m, Report r, TaskReport t, Job j, boolean here) {
    if (cases.isQuarantined(t)) {
      // Its record cannot be read, but users may have been told: what runs of it may be stopped.
      return cancellations.known(t.job()) ? stop(t) : null;
    }
    return switch (Reconciliation.of(cases.listed(m, r, t, j))) {
      case STOP -> here ? ledger.stopCommand(j, t.task()) : stop(t);
      case FORGET -> new Command(Command.Op.FORGET, t.job(), t.task(), t.attempt(), 0);
      default -> null;
    };
  }

  /**
   * Whether something that runs is to be stopped whatever newer messages say: a message that has
   * overtaken a check-in has given no orders, and the answer renews the lease all the same.
   */
  private boolean unwanted(TaskReport t, Job j) {
    boolean gone = j == null && !ledger.isQuarantined(t.job());
    return t.state() != TaskReport.State.ENDED
        && (gone || cancellations.known(t.job()) || (j != null && j.unwanted()));
  }

  /**
   * What to do about a bound task that is not on a check-in; tells whether its answer may renew.
   */
  private boolean unlisted(Machine m, Report r, Job j, int t, boolean newest, List<Command> out) {
    Verdict v = newest ? Reconciliation.of(cases.unlisted(m, r, j, t, true)) : Verdict.WAIT;
    if (v == Verdict.RELEASE) {
      ledger.release(j, t, ReportCases.notListed(r, j, t, true));
      return true;
    }
    if (j.unwanted()) {
      out.add(ledger.stopCommand(j, t)); // a newer message may have shown it there
      return !ReportCases.inDoubt(m, j.attempt[t], t)
          || cancellations.lapsesInTime(j.cancelledAfter);
    }
    if (v == Verdict.START) {
      repeatStart(m, j, t, out);
    }
    return true;
  }

  /** Repeated until listed: a start does nothing where the attempt is known already. */
  private void repeatStart(Machine m, Job j, int t, List<Command> out) {
    Command start = ledger.start(j, t);
    if (!ledger.mayStart(m, start)) {
      return;
    }
    repeatedStarts++;
    out.add(start);
    if (j.stopping.get(t)) {
      out.add(ledger.stopCommand(j, t));
    }
  }

  /**
   * What of a report may be stopped before anything else is known: tasks of cancelled jobs. Their
   * machine's lease is renewed by the very answer.
   */
  public List<Command> stops(Report r) {
    List<Command> out = new ArrayList<>();
    for (TaskReport t : r.tasks()) {
      if (t.state() != TaskReport.State.ENDED && cancellations.known(t.job())) {
        out.add(stop(t));
      }
    }
    return out;
  }

  private static Command stop(TaskReport t) {
    return new Command(Command.Op.STOP, t.job(), t.task(), t.attempt(), 0);
  }
}
