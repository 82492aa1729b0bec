package org.snowturn.core.assignment;

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
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Submissions;
import org.snowturn.wire.TaskStatus;
import org.snowturn.wire.TaskStatus.State;

/**
 * The invariant of safety.md for one machine: an answer that renews its lease carries every stop
 * that is due there. Whoever cannot give them all does not renew.
 */
class HeartbeatCommandsTest {
  private static final long TOKEN = 7;
  private static final String JOB = "wk-000001";

  private final CoreRuntime runtime = new CoreRuntime(1);
  private final Known known = new Known();
  private final MachineIndex machines =
      new MachineIndex(List.of("z"), machine -> new CommandQueue(runtime, HOST, machine));
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final HeartbeatCommands heartbeatCommands;
  private final Machine machine;
  private long now = 1_000_000;

  /** What this node knows of cancellations: slack of 20 s, as leases and settings give it. */
  private final class Known implements KnownCancellations {
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

  private static final CommandQueue.Host HOST =
      new CommandQueue.Host() {
        @Override
        public boolean hasAuthority() {
          return true;
        }

        @Override
        public long token() {
          return TOKEN;
        }

        @Override
        public void onHeartbeat(Heartbeat heartbeat) {}

        @Override
        public boolean canStart(Machine machine, Command start) {
          return true;
        }

        @Override
        public void onReadyToSend(CommandQueue queue) {}

        @Override
        public void onUnanswered(Machine machine) {}
      };

  HeartbeatCommandsTest() {
    Settings settings = TestSettings.with();
    FormatGate gate = new FormatGate(settings, runtime);
    RecordWriter writer =
        new RecordWriter(runtime, new TestWriterHost(TOKEN), settings::stateLimits, r -> r);
    AttemptGuard guard =
        new AttemptGuard(runtime, machines, TOKEN, HeartbeatProcessor.leaseExpiryMs(settings));
    Quota quota = new Quota(settings.teams());
    assignments = new TaskAssignments(runtime, gate, writer, machines, quota, known, guard);
    heartbeats =
        new HeartbeatProcessor(
            runtime,
            settings,
            new FailureHandler(runtime, 3),
            assignments,
            machines,
            new MachineTypes(runtime),
            new PreemptionRate(),
            TOKEN);
    heartbeatCommands = new HeartbeatCommands(assignments, known, TOKEN);
    machine = machines.getOrAdd("i-1");
    runtime.setTime(now, now);
    heartbeats.apply(machine, report(1, List.of()));
  }

  private static JobSpec spec(String id) throws Exception {
    return JobSpec.parse(Submissions.array(id, 2));
  }

  private Heartbeat report(long seq, List<TaskStatus> tasks) {
    return new Heartbeat("i-1", "a:1", "t8", "z", true, 1, seq, TOKEN, Double.NaN, tasks);
  }

  private void record(JobStatus.Phase phase, long stamp) throws Exception {
    assignments.registry().add(JOB, new JobRecord(phase, 0, spec(JOB)), stamp);
  }

  private static TaskStatus at(String job, long attempt, State s) {
    TaskStatus.ExitReason why = s == State.ENDED ? TaskStatus.ExitReason.STOPPED : null;
    return new TaskStatus(job, 0, attempt, s, why);
  }

  /** Task 0 of the job is on the machine, its start has been sent. */
  private Job started() throws Exception {
    record(JobStatus.Phase.QUEUED, 5);
    Job job = assignments.job(JOB);
    assignments.assign(job, 0, machine, assignments.newAttempt());
    job.setState(0, TaskState.STARTING);
    return job;
  }

  private static boolean stops(HeartbeatCommands.Answer o, String job) {
    return o.commands().stream()
        .anyMatch(command -> command.op() == Command.Op.STOP && command.job().equals(job));
  }

  private static boolean starts(HeartbeatCommands.Answer o) {
    return o.commands().stream().anyMatch(command -> command.op() == Command.Op.START);
  }

  private HeartbeatCommands.Answer answer(Heartbeat heartbeat) {
    heartbeats.apply(machine, heartbeat);
    return heartbeatCommands.respond(machine, heartbeat);
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
      assignments.registry().confirmCancellation(JOB);
    }
    if (how == Heard.FROM_ITS_RECORD || how == Heard.FROM_BOTH) {
      record(JobStatus.Phase.ABORTED, 6);
    }
    if (how == Heard.RECORD_GONE) {
      assignments.registry().remove(JOB);
    }
  }

  @ParameterizedTest
  @EnumSource(Heard.class)
  void aCheckInThatANewerMessageHasOvertakenIsAnsweredWithTheStops(Heard how) throws Exception {
    long attempt = started().attemptOf(0);
    hear(how);
    Heartbeat overtaken = report(10, List.of(at(JOB, attempt, State.RUNNING)));
    heartbeats.apply(machine, report(11, List.of(at(JOB, attempt, State.RUNNING))));
    HeartbeatCommands.Answer o = answer(overtaken);
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  @Test
  void soIsOneThatDoesNotListItYet() throws Exception {
    long attempt = started().attemptOf(0);
    hear(Heard.FROM_A_PEER);
    heartbeats.apply(machine, report(11, List.of(at(JOB, attempt, State.RUNNING))));
    HeartbeatCommands.Answer o = answer(report(10, List.of()));
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  @Test
  void whatCanNoLongerArriveIsReleasedWithoutBeingStarted() throws Exception {
    Job job = started();
    hear(Heard.FROM_BOTH);
    HeartbeatCommands.Answer o = answer(report(2, List.of()));
    assertFalse(starts(o), o.toString());
    assertFalse(job.isAssigned(0));
  }

  @Test
  void aStartThatAnAnswerHasJustCarriedMayStillBeCarriedOut() throws Exception {
    Job job = started();
    assertTrue(starts(answer(report(2, List.of()))), "lost, so sent again");
    hear(Heard.FROM_BOTH);
    // An answer to a direct message may have left the machine before that answer came there.
    heartbeats.apply(machine, report(3, List.of()));
    assertTrue(job.isAssigned(0));
    answer(report(4, List.of()));
    assertFalse(job.isAssigned(0), "it has checked in since: carried out by now, or never");
  }

  @Test
  void aStartInDoubtIsNotRepeatedAndItsMachineRenewedOnlyWhileItWouldLapseInTime()
      throws Exception {
    Job job = started();
    machine.startsInDoubt.add(CommandQueue.attemptKey(job.attemptOf(0), 0));
    known.until = now - 300;
    hear(Heard.FROM_BOTH);
    for (int s = 0; s < 40; s++) {
      now += 1_000;
      runtime.setTime(now, now);
      known.until = now; // what is heard later moves nothing for what was heard before
      HeartbeatCommands.Answer o = answer(report(2 + s, List.of()));
      assertFalse(starts(o), o.toString());
      assertEquals(s * 1_000 + 1_300 < 20_000, o.renews(), "after " + s + " s");
      assertTrue(job.isAssigned(0));
    }
    // Once it has been carried out it can be stopped, so nothing else need lapse with it.
    HeartbeatCommands.Answer o =
        answer(report(50, List.of(at(JOB, job.attemptOf(0), State.RUNNING))));
    assertTrue(o.renews() && stops(o, JOB), o.toString());
  }

  /** A refusal ends its own attempt; the task may wait again only once no other lives there. */
  @Test
  void aBusyRefusalBesideALiveAttemptReleasesNothing() throws Exception {
    Job job = started();
    long attempt = job.attemptOf(0);
    TaskStatus refused = new TaskStatus(JOB, 0, attempt, State.ENDED, TaskStatus.ExitReason.BUSY);
    TaskStatus other = at(JOB, attempt - 1, State.RUNNING);
    HeartbeatCommands.Answer o = answer(report(2, List.of(refused, other)));
    assertTrue(job.isAssigned(0));
    assertTrue(stops(o, JOB), "the other one is stopped: " + o);
    answer(report(3, List.of(refused, at(JOB, attempt - 1, State.ENDED))));
    assertFalse(job.isAssigned(0));
  }

  @Test
  void otherTasksOfTheMachineGoOnAsBefore() throws Exception {
    Job job = started();
    machine.startsInDoubt.add(CommandQueue.attemptKey(job.attemptOf(0), 0));
    HeartbeatCommands.Answer o = answer(report(2, List.of()));
    assertTrue(o.renews() && starts(o) && !stops(o, JOB), o.toString());
  }

  /** Any order of messages, some overtaken: what may run and is cancelled is stopped, or lapses. */
  @Test
  void noOrderOfMessagesRenewsWithoutTheStops() throws Exception {
    SplittableRandom random = new SplittableRandom(5);
    int renewed = 0;
    Job job = started();
    long attempt = job.attemptOf(0);
    boolean heard = false;
    List<Heartbeat> late = new ArrayList<>();
    for (int seq = 2; seq < 2_000; seq++) {
      now += random.nextInt(200);
      runtime.setTime(now, now);
      List<TaskStatus> tasks =
          random.nextBoolean() ? List.of(at(JOB, attempt, State.RUNNING)) : List.of();
      Heartbeat heartbeat = report(seq, tasks);
      if (random.nextInt(3) == 0) {
        late.add(heartbeat);
        continue;
      }
      if (seq == 500) {
        known.until = now;
        machine.startsInDoubt.add(CommandQueue.attemptKey(attempt, 0));
        hear(Heard.FROM_BOTH);
        heard = true;
      }
      Heartbeat next = late.isEmpty() || random.nextBoolean() ? heartbeat : late.remove(0);
      if (random.nextInt(4) == 0) {
        heartbeats.apply(machine, next); // an answer to a direct message: nothing is renewed
        continue;
      }
      HeartbeatCommands.Answer o = answer(next);
      renewed += o.renews() ? 1 : 0;
      assertFalse(heard && starts(o), "started: " + o);
      boolean lists = !next.tasks().isEmpty();
      assertTrue(!heard || !o.renews() || !lists || stops(o, JOB), "not stopped: " + o);
      boolean doubtful = heard && job.isAssigned(0) && !lists && now - known.until >= 20_000;
      assertFalse(doubtful && o.renews(), "renewed, though a start may still arrive");
    }
    assertTrue(renewed > 100);
  }
}
