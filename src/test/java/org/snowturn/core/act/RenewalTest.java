package org.snowturn.core.act;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snowturn.config.Settings;
import org.snowturn.core.TestSettings;
import org.snowturn.core.TestWriterHost;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.SpotLosses;
import org.snowturn.core.records.StoredJob;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobView;
import org.snowturn.wire.Report;
import org.snowturn.wire.Submissions;
import org.snowturn.wire.TaskReport;
import org.snowturn.wire.TaskReport.State;

/**
 * The invariant of safety.md for one machine: an answer that renews its lease carries every stop
 * that is due there. Whoever cannot give them all does not renew.
 */
class RenewalTest {
  private static final long TOKEN = 7;
  private static final String JOB = "wk-000001";

  private final Calls calls = new Calls(1);
  private final Known known = new Known();
  private final MachineBook machines =
      new MachineBook(List.of("z"), m -> new Outbox(calls, HOST, m));
  private final Ledger ledger;
  private final Reports reports;
  private final Orders orders;
  private final Machine machine;
  private long now = 1_000_000;

  /** What this node knows of cancellations: slack of 20 s, as leases and settings give it. */
  private final class Known implements Cancellations {
    private final Set<String> jobs = new HashSet<>();
    private long until;

    @Override
    public boolean known(String job) {
      return jobs.contains(job);
    }

    @Override
    public long knownUntil() {
      return until;
    }

    @Override
    public boolean lapsesInTime(long confirmedAfter) {
      return now - confirmedAfter < 20_000;
    }
  }

  private static final Outbox.Host HOST =
      new Outbox.Host() {
        @Override
        public boolean hasAuthority() {
          return true;
        }

        @Override
        public long token() {
          return TOKEN;
        }

        @Override
        public void reported(Report report) {}

        @Override
        public boolean mayStart(Machine m, Command start) {
          return true;
        }

        @Override
        public void wantsToSend(Outbox o) {}

        @Override
        public void unanswered(Machine m) {}
      };

  RenewalTest() {
    Settings settings = TestSettings.with();
    FormatGate gate = new FormatGate(settings, calls);
    Writer writer = new Writer(calls, new TestWriterHost(TOKEN), settings::stateLimits, r -> r);
    AttemptGuard guard = new AttemptGuard(calls, machines, TOKEN, Reports.lapseMs(settings));
    Quota quota = new Quota(settings.teams());
    ledger = new Ledger(calls, gate, writer, machines, quota, known, guard, TOKEN);
    reports =
        new Reports(
            calls,
            settings,
            new Failures(calls, 3),
            ledger,
            machines,
            new Catalog(calls),
            new SpotLosses(),
            TOKEN);
    orders = new Orders(ledger, known, TOKEN);
    machine = machines.getOrCreate("i-1");
    calls.at(now, now);
    reports.apply(machine, report(1, List.of()));
  }

  private static JobSpec spec(String id) throws Exception {
    return JobSpec.parse(Submissions.array(id, 2));
  }

  private Report report(long seq, List<TaskReport> tasks) {
    return new Report("i-1", "a:1", "t8", "z", true, 1, seq, TOKEN, Double.NaN, tasks);
  }

  private void record(JobView.Phase phase, long stamp) throws Exception {
    ledger.record(JOB, new StoredJob(phase, 0, spec(JOB)), stamp);
  }

  private static TaskReport at(String job, long attempt, State s) {
    TaskReport.Why why = s == State.ENDED ? TaskReport.Why.STOPPED : null;
    return new TaskReport(job, 0, attempt, s, why);
  }

  /** Task 0 of the job is on the machine, its start has been sent. */
  private Job started() throws Exception {
    record(JobView.Phase.QUEUED, 5);
    Job j = ledger.job(JOB);
    ledger.bind(j, 0, machine, ledger.newAttempt());
    j.enter(0, Job.STARTING);
    return j;
  }

  private static boolean stops(Orders.Answer o, String job) {
    return o.commands().stream().anyMatch(c -> c.op() == Command.Op.STOP && c.job().equals(job));
  }

  private static boolean starts(Orders.Answer o) {
    return o.commands().stream().anyMatch(c -> c.op() == Command.Op.START);
  }

  private Orders.Answer answer(Report r) {
    reports.apply(machine, r);
    return orders.to(machine, r);
  }

  /** How this leader has come to know of the cancellation. */
  enum Heard {
    FROM_A_PEER,
    FROM_ITS_RECORD,
    FROM_BOTH,
    RECORD_GONE
  }

  private void hear(Heard how) throws Exception {
    if (how == Heard.FROM_A_PEER || how == Heard.FROM_BOTH) {
      known.jobs.add(JOB);
      ledger.cancelConfirmed(JOB);
    }
    if (how == Heard.FROM_ITS_RECORD || how == Heard.FROM_BOTH) {
      record(JobView.Phase.ABORTED, 6);
    }
    if (how == Heard.RECORD_GONE) {
      ledger.remove(JOB);
    }
  }

  @ParameterizedTest
  @EnumSource(Heard.class)
  void aCheckInThatANewerMessageHasOvertakenIsAnsweredWithTheStops(Heard how) throws Exception {
    long attempt = started().attempt[0];
    hear(how);
    Report overtaken = report(10, List.of(at(JOB, attempt, State.RUNNING)));
    reports.apply(machine, report(11, List.of(at(JOB, attempt, State.RUNNING))));
    Orders.Answer o = answer(overtaken);
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  @Test
  void soIsOneThatDoesNotListItYet() throws Exception {
    long attempt = started().attempt[0];
    hear(Heard.FROM_A_PEER);
    reports.apply(machine, report(11, List.of(at(JOB, attempt, State.RUNNING))));
    Orders.Answer o = answer(report(10, List.of()));
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  @Test
  void whatCanNoLongerArriveIsReleasedWithoutBeingStarted() throws Exception {
    Job j = started();
    hear(Heard.FROM_BOTH);
    Orders.Answer o = answer(report(2, List.of()));
    assertFalse(starts(o), o.toString());
    assertFalse(j.isBound(0));
  }

  @Test
  void aStartThatAnAnswerHasJustCarriedMayStillBeCarriedOut() throws Exception {
    Job j = started();
    assertTrue(starts(answer(report(2, List.of()))), "lost, so sent again");
    hear(Heard.FROM_BOTH);
    // An answer to a direct message may have left the machine before that answer came there.
    reports.apply(machine, report(3, List.of()));
    assertTrue(j.isBound(0));
    answer(report(4, List.of()));
    assertFalse(j.isBound(0), "it has checked in since: carried out by now, or never");
  }

  @Test
  void aStartInDoubtIsNotRepeatedAndItsMachineRenewedOnlyWhileItWouldLapseInTime()
      throws Exception {
    Job j = started();
    machine.startsInDoubt.add(Outbox.doubt(j.attempt[0], 0));
    known.until = now - 300;
    hear(Heard.FROM_BOTH);
    for (int s = 0; s < 40; s++) {
      now += 1_000;
      calls.at(now, now);
      known.until = now; // what is heard later moves nothing for what was heard before
      Orders.Answer o = answer(report(2 + s, List.of()));
      assertFalse(starts(o), o.toString());
      assertEquals(s * 1_000 + 1_300 < 20_000, o.renews(), "after " + s + " s");
      assertTrue(j.isBound(0));
    }
    // Once it has been carried out it can be stopped, so nothing else need lapse with it.
    Orders.Answer o = answer(report(50, List.of(at(JOB, j.attempt[0], State.RUNNING))));
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  /** A refusal ends its own attempt; the task may wait again only once no other lives there. */
  @Test
  void aBusyRefusalBesideALiveAttemptReleasesNothing() throws Exception {
    Job j = started();
    long attempt = j.attempt[0];
    TaskReport refused = new TaskReport(JOB, 0, attempt, State.ENDED, TaskReport.Why.BUSY);
    TaskReport other = at(JOB, attempt - 1, State.RUNNING);
    Orders.Answer o = answer(report(2, List.of(refused, other)));
    assertTrue(j.isBound(0));
    assertTrue(stops(o, JOB), "the other one is stopped: " + o);
    answer(report(3, List.of(refused, at(JOB, attempt - 1, State.ENDED))));
    assertFalse(j.isBound(0));
  }

  @Test
  void otherTasksOfTheMachineGoOnAsBefore() throws Exception {
    Job j = started();
    machine.startsInDoubt.add(Outbox.doubt(j.attempt[0], 0));
    Orders.Answer o = answer(report(2, List.of()));
    assertTrue(o.renews() && starts(o) && !stops(o, JOB), o.toString());
  }

  /** Any order of messages, some overtaken: what may run and is cancelled is stopped, or lapses. */
  @Test
  void noOrderOfMessagesRenewsWithoutTheStops() throws Exception {
    SplittableRandom random = new SplittableRandom(5);
    int renewed = 0;
    Job j = started();
    long attempt = j.attempt[0];
    boolean heard = false;
    List<Report> late = new ArrayList<>();
    for (int seq = 2; seq < 2_000; seq++) {
      now += random.nextInt(200);
      calls.at(now, now);
      List<TaskReport> tasks =
          random.nextBoolean() ? List.of(at(JOB, attempt, State.RUNNING)) : List.of();
      Report r = report(seq, tasks);
      if (random.nextInt(3) == 0) {
        late.add(r);
        continue;
      }
      if (seq == 500) {
        known.until = now;
        machine.startsInDoubt.add(Outbox.doubt(attempt, 0));
        hear(Heard.FROM_BOTH);
        heard = true;
      }
      Report next = late.isEmpty() || random.nextBoolean() ? r : late.remove(0);
      if (random.nextInt(4) == 0) {
        reports.apply(machine, next); // an answer to a direct message: nothing is renewed
        continue;
      }
      Orders.Answer o = answer(next);
      renewed += o.renews() ? 1 : 0;
      assertFalse(heard && starts(o), "started: " + o);
      boolean lists = !next.tasks().isEmpty();
      assertTrue(!heard || !o.renews() || !lists || stops(o, JOB), "not stopped: " + o);
      boolean doubtful = heard && j.isBound(0) && !lists && now - known.until >= 20_000;
      assertFalse(doubtful && o.renews(), "renewed, though a start may still arrive");
    }
    assertTrue(renewed > 100);
  }
}
