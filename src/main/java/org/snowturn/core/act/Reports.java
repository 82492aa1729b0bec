package org.snowturn.core.act;

import org.agrona.collections.LongArrayList;
import org.agrona.collections.LongHashSet;
import org.snowturn.config.Settings;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.evidence.EndEvidence;
import org.snowturn.core.evidence.EndEvidence.ReportedEnded;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.SpotLosses;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Report;
import org.snowturn.wire.TaskReport;

/**
 * Turns workers' reports into knowledge; what they are answered is the matter of {@link Orders}.
 * What a report lists is believed in the order (session, seq); what it does not list proves
 * something only when it carries this leader's token, because only then can no start of an earlier
 * leader still be executed.
 */
public final class Reports {
  private static final double DRIFT = 0.001;
  private static final long LAPSE_MARGIN_MS = 600;

  /** So many finished runs tell how long an array's tasks take. */
  private static final int KNOWN_RUNS = 3;

  private static final long TURN_OVER_MS = 6_500;

  /** A worker waits 4 s for an answer and tries another node 1 s later. */
  private static final long UNANSWERED_REPORT_MS = 4_900;

  private final Calls calls;
  private final Settings settings;
  private final Failures failures;
  private final Ledger ledger;
  private final MachineBook machines;
  private final Catalog catalog;
  private final SpotLosses spotLosses;
  private final long token;
  private final ReportCases cases;

  public Reports(
      Calls calls,
      Settings settings,
      Failures failures,
      Ledger ledger,
      MachineBook machines,
      Catalog catalog,
      SpotLosses spotLosses,
      long token) {
    this.spotLosses = spotLosses;
    this.calls = calls;
    this.settings = settings;
    this.failures = failures;
    this.ledger = ledger;
    this.machines = machines;
    this.catalog = catalog;
    this.token = token;
    this.cases = new ReportCases(ledger, token);
  }

  /** How long after the last answer a machine's session has certainly ended. */
  public static long lapseMs(Settings s) {
    return (long) (s.workers().leaseS() * 1000 * (1 + DRIFT)) + LAPSE_MARGIN_MS;
  }

  /**
   * How long a machine that is up may take to find a new leader: a report's interval, the time-out
   * of one sent to the node that is gone, and two tries elsewhere.
   */
  public static long turnOverMs(Settings s) {
    return Math.min(lapseMs(s), (long) (1000 * s.workers().reportS() * 1.25) + TURN_OVER_MS);
  }

  /** The longest usual time between two reports of a machine. */
  public static long quietMs(Settings s) {
    return (long) (1000 * (s.workers().reportS() * 1.25 + 0.8));
  }

  /** Two reports of a machine that come here within this time: the first one was answered. */
  public static long inTimeMs(Settings s) {
    return Math.min(quietMs(s), UNANSWERED_REPORT_MS);
  }

  /** A check-in is answered with what may renew the machine's lease. */
  public void renewed(Machine m) {
    m.lastAnswerAt = calls.now();
    m.contact.answeredCheckIn(calls.now());
    m.checkInDueAt = calls.now() + quietMs(settings) + UNANSWERED_REPORT_MS;
  }

  /** Believes a report if it is the newest of its machine. */
  public boolean apply(Machine m, Report r) {
    if (r.session() < m.session || (r.session() == m.session && r.seq() <= m.seq)) {
      return false;
    }
    if (r.session() <= m.deadSession) {
      return false; // a late report of a session that has lapsed
    }
    if (r.session() > m.session) {
      m.session = r.session();
      // A new session has its full lease from its beginning, though no report of it was answered
      // yet:
      // counted from the last answer it would be taken for lapsed while its tasks run.
      m.lastAnswerAt = Math.max(m.lastAnswerAt, calls.now());
      m.acknowledged = false;
      m.startsInDoubt.clear();
      m.outbox.drop();
      m.contact.newSession(calls.now());
      endSessionsBefore(m, r.session());
    }
    m.seq = r.seq();
    if (m.lastReportAt == Job.UNKNOWN) {
      m.checkInDueAt = calls.now() + turnOverMs(settings);
    }
    m.lastReportAt = calls.now();
    m.quietFrom = calls.now() + quietMs(settings);
    m.suspect = false;
    boolean noticed = false;
    boolean mine = r.token() == token;
    m.contact.believed(mine);
    if (mine && !m.acknowledged) {
      m.acknowledged = true;
      ledger.somethingChanged();
    }
    if (!Double.isNaN(r.noticeS())) {
      if (m.takenAt == Long.MAX_VALUE) {
        calls.note(m.id + " is to be taken in " + r.noticeS() + " s");
        spotLosses.taken();
        noticed = true;
      }
      m.takenAt = calls.now() + (long) (1000 * Math.max(0, r.noticeS()));
    }
    int unaccounted = 0;
    LongHashSet listed = new LongHashSet();
    for (TaskReport t : r.tasks()) {
      Job j = ledger.job(t.job());
      if (j == null || t.task() >= j.state.length) {
        unaccounted += cases.isQuarantined(t) ? 1 : 0;
        continue;
      }
      Verdict v = Reconciliation.of(cases.listed(m, r, t, j));
      if (ReportCases.here(m, j, t)) {
        listed.add(Job.ref(j.index, t.task()));
        seen(m, j, t, v, r);
      } else if (v == Verdict.COMPLETE) {
        ledger.completeWaiting(j, t.task());
      }
    }
    m.unaccounted = unaccounted;
    if (mine && m.inherited > 0) {
      releaseUnlisted(m, r, listed);
    }
    if (noticed) {
      drain(m);
    }
    return true;
  }

  /**
   * Stops the tasks that cannot end before the machine is taken: elsewhere they start anew so much
   * sooner. Only an array whose run times are known, or an estimate far too long, tells which.
   */
  private void drain(Machine m) {
    for (long ref : copy(m.bound)) {
      Job j = ledger.job(ref);
      int t = Ledger.task(ref);
      if (j.spec.kind() != JobSpec.Kind.ARRAY || j.stopping.get(t)) {
        continue;
      }
      double run = j.runTimes.size() >= KNOWN_RUNS ? j.median() : j.spec.estimateS() / 2;
      double ran =
          j.state[t] != Job.RUNNING
              ? 0
              : j.since[t] == Job.UNKNOWN ? run : (calls.now() - j.since[t]) / 1000.0;
      if (calls.now() + (run - ran) * 1000 > m.takenAt) {
        calls.note(j.spec.id() + "/" + t + " leaves " + m.id + " before it is taken");
        ledger.stop(j, t);
      }
    }
  }

  private void endSessionsBefore(Machine m, long session) {
    for (long ref : copy(m.bound)) {
      Job j = ledger.job(ref);
      int t = Ledger.task(ref);
      if (j.session[t] < session) {
        ledger.release(j, t, new EndEvidence.LaterSession(session));
      }
    }
  }

  private void releaseUnlisted(Machine m, Report r, LongHashSet listed) {
    for (long ref : copy(m.bound)) {
      Job j = ledger.job(ref);
      int t = Ledger.task(ref);
      if (!listed.contains(ref)
          && Reconciliation.of(cases.unlisted(m, r, j, t, false)) == Verdict.RELEASE) {
        ledger.release(j, t, ReportCases.notListed(r, j, t, false));
      }
    }
  }

  public static long[] copy(LongHashSet set) {
    LongArrayList out = new LongArrayList(set.size(), Long.MIN_VALUE);
    LongHashSet.LongIterator it = set.iterator();
    while (it.hasNext()) {
      out.addLong(it.nextValue());
    }
    return out.toLongArray();
  }

  private void seen(Machine m, Job j, TaskReport r, Verdict v, Report report) {
    int t = r.task();
    switch (r.state()) {
      case FETCHING -> j.enter(t, Job.FETCHING);
      case RUNNING, SAVING -> {
        if (j.state[t] != Job.RUNNING) {
          // Times of tasks that an earlier leader started are unknown, so they never look slow.
          j.since[t] = j.inherited.get(t) ? Job.UNKNOWN : calls.now();
          j.enter(t, Job.RUNNING);
          double waited = (calls.wall() - j.releasedWall) / 1000.0;
          if (j.spec.service() && waited > 1.5 && j.failures == 0 && !j.inherited.get(t)) {
            calls.note(
                String.format(
                    java.util.Locale.ROOT,
                    "%s/%d runs %.1f s after it could, image %s on %s",
                    j.spec.id(),
                    t,
                    waited,
                    j.spec.image(),
                    m.id));
          }
        }
        failures.keepsRunning(m, j, t);
        m.touchImage(j.spec.image(), j.spec.imageGb());
      }
      case ENDED -> {
        if (r.why() == TaskReport.Why.BUSY && ReportCases.otherAttemptAlive(report, r)) {
          calls.note(j.spec.id() + "/" + t + " refused on " + m.id + ", where it runs already");
        } else if (v == Verdict.COMPLETE || v == Verdict.RELEASE) {
          ended(m, j, t, r.why(), new ReportedEnded(report.token(), report.session()));
        }
      }
      default -> {}
    }
    if (report.token() == token && j.isBound(t)) {
      // Seen under this token: from now on only its own end releases it.
      ledger.known(j, t);
    }
  }

  private void ended(Machine m, Job j, int t, TaskReport.Why why, ReportedEnded evidence) {
    long now = calls.now();
    switch (why) {
      case DONE -> {
        if (j.since[t] != Job.UNKNOWN) {
          double ran = (now - j.since[t]) / 1000.0;
          j.runTimes.add(ran);
          double median = j.median();
          m.finishedWork(median > 0 && j.runTimes.size() > 1 ? ran / median : 1);
        }
        failures.succeeded(m, j);
        ledger.complete(j, t, evidence);
        return;
      }
      case ERROR -> failures.failed(m, j, t);
      case STOPPED -> calls.note(j.spec.id() + "/" + t + " stopped on " + m.id);
      default -> calls.note(j.spec.id() + "/" + t + " ended on " + m.id + ": " + why);
    }
    switch (why) {
      case NO_ROOM, BUSY -> m.blockedUntil = now + 1_500;
      case UNKNOWN_JOB -> j.backOffUntil = now + 2_000;
      default -> {}
    }
    ledger.release(j, t, evidence);
  }

  /** Releases what was on machines whose session has certainly ended. */
  public void lapse(Machine m) {
    if (m.bound.isEmpty() || calls.now() < m.lastAnswerAt + lapseMs(settings)) {
      return;
    }
    calls.note(m.id + " silent past its lease: " + m.bound.size() + " tasks wait again");
    m.deadSession = Math.max(m.deadSession, m.session);
    for (long ref : copy(m.bound)) {
      m.deadSession = Math.max(m.deadSession, ledger.job(ref).session[Ledger.task(ref)]);
    }
    m.acknowledged = false;
    releaseAll(m, new EndEvidence.LeaseLapsed());
  }

  /** Releases everything on a machine whose deletion the cloud has confirmed. */
  public void machineDeleted(Machine m) {
    releaseAll(m, new EndEvidence.MachineDeleted());
  }

  /** Releases everything on a machine that the cloud lists as failed. */
  public void machineFailed(Machine m) {
    releaseAll(m, new EndEvidence.MachineFailed());
  }

  private void releaseAll(Machine m, EndEvidence evidence) {
    for (long ref : copy(m.bound)) {
      ledger.release(ledger.job(ref), Ledger.task(ref), evidence);
    }
    m.outbox.drop();
  }

  /** Takes a machine's description from its report. */
  public void describe(Machine m, Report r) {
    m.addr = r.addr();
    m.outbox.resume();
    m.type = r.type();
    m.spot = r.spot();
    m.shape = catalog.get(r.type());
    ledger.locate(m, machines.zone(r.zone()));
  }
}
