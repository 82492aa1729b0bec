package org.snowturn.core.act;

import org.snowturn.core.evidence.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Seen;
import org.snowturn.core.recovery.Reconciliation.Stored;
import org.snowturn.wire.Report;
import org.snowturn.wire.TaskReport;

/** What is stored and what a report says, in the terms of the table of {@link Reconciliation}. */
final class ReportCases {
  private final Ledger ledger;
  private final long token;

  ReportCases(Ledger ledger, long token) {
    this.ledger = ledger;
    this.token = token;
  }

  static boolean here(Machine m, Job j, TaskReport r) {
    int t = r.task();
    return j.isBound(t) && j.machine[t] == m.index && j.attempt[t] == r.attempt();
  }

  /** Whether a direct start of the attempt got no answer, so that it may still arrive. */
  static boolean inDoubt(Machine m, long attempt, int task) {
    return m.startsInDoubt.contains(Outbox.doubt(attempt, task));
  }

  /** Whether the task is alive and its job is one that is left alone. */
  boolean isQuarantined(TaskReport t) {
    return t.state() != TaskReport.State.ENDED && ledger.isQuarantined(t.job());
  }

  private static Stored stored(Job j, int t) {
    return j.state[t] == Job.PLACING
        ? Stored.PLACING
        : j.inherited.get(t) ? Stored.INHERITED : Stored.STARTED;
  }

  private static Reconciliation.Session session(long reported, long placed) {
    return reported == placed
        ? Reconciliation.Session.SAME
        : reported > placed ? Reconciliation.Session.LATER : Reconciliation.Session.EARLIER;
  }

  /**
   * Whether another attempt of the task is alive there. Then a refusal (busy) tells that this
   * attempt never began, but not that the task runs nowhere: placed elsewhere it would run twice.
   */
  static boolean otherAttemptAlive(Report r, TaskReport refused) {
    for (TaskReport t : r.tasks()) {
      if (t.state() != TaskReport.State.ENDED
          && t.task() == refused.task()
          && t.job().equals(refused.job())) {
        return true;
      }
    }
    return false;
  }

  /** What a report that does not list a task offers as proof of its attempt's end. */
  static EndEvidence notListed(Report r, Job j, int t, boolean checkIn) {
    return r.session() > j.session[t]
        ? new EndEvidence.LaterSession(r.session())
        : new EndEvidence.NotListed(r.token(), r.session(), checkIn);
  }

  /** What the table is asked of a task that is on the report; {@code j} is null if unknown. */
  Reconciliation.Case listed(Machine m, Report r, TaskReport t, Job j) {
    Seen seen =
        t.state() != TaskReport.State.ENDED
            ? Seen.ALIVE
            : t.why() == TaskReport.Why.DONE ? Seen.DONE : Seen.ENDED;
    boolean ours = r.token() == token;
    if (j != null && here(m, j, t)) {
      return new Reconciliation.Case(
          stored(j, t.task()),
          seen,
          session(r.session(), j.session[t.task()]),
          ours,
          j.stopping.get(t.task()),
          false);
    }
    Stored stored =
        j == null
            ? Stored.NOTHING
            : j.state[t.task()] == Job.DONE
                ? Stored.FINISHED
                : j.state[t.task()] == Job.PENDING && !j.cancelled
                    ? Stored.WAITING
                    : Stored.ELSEWHERE;
    boolean settled =
        !inDoubt(m, t.attempt(), t.task()) && ledger.forgettable(t.job(), t.task(), t.attempt());
    return new Reconciliation.Case(stored, seen, Reconciliation.Session.SAME, ours, false, settled);
  }

  /**
   * What the table is asked of a task that should be there and is not on the report. No start of it
   * may still arrive if none was sent directly without an answer, and if the report is a check-in:
   * what an answer carries is carried out before the worker's next check-in or never.
   */
  Reconciliation.Case unlisted(Machine m, Report r, Job j, int t, boolean checkIn) {
    return new Reconciliation.Case(
        stored(j, t),
        Seen.ABSENT,
        session(r.session(), j.session[t]),
        r.token() == token,
        j.stopping.get(t),
        checkIn && !inDoubt(m, j.attempt[t], t));
  }
}
