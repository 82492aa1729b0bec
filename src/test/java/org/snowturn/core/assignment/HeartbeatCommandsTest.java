package org.snowturn.core.assignment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
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
import org.snowturn.core.dispatch.TestCommandHost;
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
 * Guards against tasks of cancelled jobs that keep running because a lease is renewed without stops
 * for them (docs/safety.md). If messages overtake each other or a start is still in flight, the
 * answer must carry all stops or not renew the lease.
 */
class HeartbeatCommandsTest {
  private static final long TOKEN = 7;
  private static final String JOB = "wk-000001";

  /** Time after the confirmation of a cancellation for which leases may still be renewed. */
  private static final long SLACK_MS = 20_000;

  private final CoreRuntime runtime = new CoreRuntime(1);
  private final FakeCancellations cancellations = new FakeCancellations();
  private final MachineIndex machines =
      new MachineIndex(
          List.of("z"),
          TOKEN,
          machine -> new CommandQueue(runtime, new TestCommandHost(), machine));
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final HeartbeatCommands heartbeatCommands;
  private final Machine machine;
  private long now = 1_000_000;

  /** Revision of the leader's latest transaction; 0 as long as no transaction was executed. */
  private long revision;

  /** Known cancellations that are set by the tests. */
  private final class FakeCancellations implements KnownCancellations {
    private final Set<String> jobs = new HashSet<>();
    private long knownUntil;

    @Override
    public boolean isKnownCancelled(String job) {
      return jobs.contains(job);
    }

    @Override
    public long knownUntil() {
      return knownUntil;
    }

    @Override
    public boolean wouldLeaseExpireInTime(long confirmedAfter) {
      return now - confirmedAfter < SLACK_MS;
    }
  }

  HeartbeatCommandsTest() {
    Settings settings = TestSettings.with();
    FormatGate gate = new FormatGate(settings, runtime);
    RecordWriter writer =
        new RecordWriter(runtime, new TestWriterHost(TOKEN), settings::stateLimits, r -> r);
    AttemptGuard guard =
        new AttemptGuard(runtime, machines, TOKEN, HeartbeatProcessor.leaseExpiryMs(settings));
    Quota quota = new Quota(settings.teams());
    StartFencing fencing = new StartFencing(runtime, () -> revision);
    assignments = new TaskAssignments(runtime, gate, writer, machines, quota, cancellations, guard);
    heartbeats =
        new HeartbeatProcessor(
            runtime,
            settings,
            new FailureHandler(runtime, 3),
            assignments,
            machines,
            new MachineTypes(runtime),
            new PreemptionRate());
    heartbeatCommands = new HeartbeatCommands(runtime, assignments, cancellations, fencing);
    machine = machines.getOrAdd("i-1");
    runtime.setTime(now, now);
    heartbeats.apply(machine, report(1, List.of()));
  }

  private static JobSpec spec(String id) throws Exception {
    return JobSpec.parse(Submissions.array(id, 2));
  }

  private Heartbeat report(long seq, List<TaskStatus> tasks) {
    return report(seq, TOKEN, tasks);
  }

  private Heartbeat report(long seq, long seenToken, List<TaskStatus> tasks) {
    return new Heartbeat("i-1", "a:1", "t8", "z", true, 1, seq, seenToken, Double.NaN, tasks);
  }

  private void record(JobStatus.Phase phase, long stamp) throws Exception {
    assignments.registry().add(JOB, new JobRecord(phase, 0, spec(JOB)), stamp);
  }

  private static TaskStatus status(String job, long attempt, State state) {
    TaskStatus.ExitReason exitReason = state == State.ENDED ? TaskStatus.ExitReason.STOPPED : null;
    return new TaskStatus(job, 0, attempt, state, exitReason);
  }

  /** Creates the job with task 0 assigned to the machine and its start sent. */
  private Job startJob() throws Exception {
    record(JobStatus.Phase.QUEUED, 5);
    Job job = assignments.job(JOB);
    assignments.assign(job, 0, machine, assignments.newAttempt());
    job.setState(0, TaskState.STARTING);
    return job;
  }

  private static boolean hasStop(HeartbeatCommands.Answer answer, String job) {
    return answer.commands().stream()
        .anyMatch(command -> command.op() == Command.Op.STOP && command.job().equals(job));
  }

  private static boolean hasForget(HeartbeatCommands.Answer answer) {
    return answer.commands().stream().anyMatch(command -> command.op() == Command.Op.FORGET);
  }

  private static boolean hasStart(HeartbeatCommands.Answer answer) {
    return answer.commands().stream().anyMatch(command -> command.op() == Command.Op.START);
  }

  private HeartbeatCommands.Answer answer(Heartbeat heartbeat) {
    heartbeats.apply(machine, heartbeat);
    return heartbeatCommands.respond(machine, heartbeat);
  }

  /** How this leader learns of the cancellation. */
  enum CancellationSource {
    PEER,
    JOB_RECORD,
    PEER_AND_JOB_RECORD,
    JOB_REMOVED
  }

  private void learnOfCancellation(CancellationSource source) throws Exception {
    if (source == CancellationSource.PEER || source == CancellationSource.PEER_AND_JOB_RECORD) {
      cancellations.jobs.add(JOB);
      assignments.registry().confirmCancellation(JOB);
    }
    if (source == CancellationSource.JOB_RECORD
        || source == CancellationSource.PEER_AND_JOB_RECORD) {
      record(JobStatus.Phase.ABORTED, 6);
    }
    if (source == CancellationSource.JOB_REMOVED) {
      assignments.registry().remove(JOB);
    }
  }

  @ParameterizedTest
  @EnumSource(CancellationSource.class)
  void anOvertakenHeartbeatIsAnsweredWithStops(CancellationSource source) throws Exception {
    long attempt = startJob().attemptOf(0);
    learnOfCancellation(source);
    Heartbeat overtaken = report(10, List.of(status(JOB, attempt, State.RUNNING)));
    heartbeats.apply(machine, report(11, List.of(status(JOB, attempt, State.RUNNING))));
    HeartbeatCommands.Answer answer = answer(overtaken);
    assertTrue(answer.renewsLease() && hasStop(answer, JOB), answer.toString());
  }

  @Test
  void anOvertakenHeartbeatWithoutTheTaskIsAnsweredWithStops() throws Exception {
    long attempt = startJob().attemptOf(0);
    learnOfCancellation(CancellationSource.PEER);
    heartbeats.apply(machine, report(11, List.of(status(JOB, attempt, State.RUNNING))));
    HeartbeatCommands.Answer answer = answer(report(10, List.of()));
    assertTrue(answer.renewsLease() && hasStop(answer, JOB), answer.toString());
  }

  @Test
  void aCancelledTaskWithoutPendingStartIsReleased() throws Exception {
    Job job = startJob();
    learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
    HeartbeatCommands.Answer answer = answer(report(2, List.of()));
    assertFalse(hasStart(answer), answer.toString());
    assertFalse(job.isAssigned(0));
  }

  @Test
  void aStartInTheLatestAnswerMayStillBeExecuted() throws Exception {
    Job job = startJob();
    assertTrue(hasStart(answer(report(2, List.of()))), "the lost start is sent again");
    learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
    // The machine may have replied to a direct message before that answer reached it.
    heartbeats.apply(machine, report(3, List.of()));
    assertTrue(job.isAssigned(0));
    answer(report(4, List.of()));
    assertFalse(
        job.isAssigned(0),
        "the worker has sent a later heartbeat of its own, so the start can no longer be executed");
  }

  @Test
  void aStartInDoubtOfACancelledJobIsNotRepeatedAndLimitsRenewals() throws Exception {
    Job job = startJob();
    machine.fence.recordDirectStart(job.attemptOf(0), 0);
    cancellations.knownUntil = now - 300;
    learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
    for (int second = 0; second < 40; second++) {
      now += 1_000;
      runtime.setTime(now, now);
      cancellations.knownUntil = now; // must not affect the older cancellation of this job
      HeartbeatCommands.Answer answer = answer(report(2 + second, List.of()));
      assertFalse(hasStart(answer), answer.toString());
      assertEquals(
          second * 1_000 + 1_300 < SLACK_MS, answer.renewsLease(), "after " + second + " s");
      assertTrue(job.isAssigned(0));
    }
    // Once the task is listed it can be stopped, so the lease is renewed again.
    HeartbeatCommands.Answer answer =
        answer(report(50, List.of(status(JOB, job.attemptOf(0), State.RUNNING))));
    assertTrue(answer.renewsLease() && hasStop(answer, JOB), answer.toString());
  }

  /** A rejected task may be queued again only once no other attempt of it lives on the machine. */
  @Test
  void aBusyRejectionWithAnotherLiveAttemptReleasesNothing() throws Exception {
    Job job = startJob();
    long attempt = job.attemptOf(0);
    TaskStatus rejected = new TaskStatus(JOB, 0, attempt, State.ENDED, TaskStatus.ExitReason.BUSY);
    TaskStatus other = status(JOB, attempt - 1, State.RUNNING);
    HeartbeatCommands.Answer answer = answer(report(2, List.of(rejected, other)));
    assertTrue(job.isAssigned(0));
    assertTrue(hasStop(answer, JOB), "the other attempt is stopped: " + answer);
    answer(report(3, List.of(rejected, status(JOB, attempt - 1, State.ENDED))));
    assertFalse(job.isAssigned(0));
  }

  /** A late copy of the start would run the attempt again after the machine has forgotten it. */
  @Test
  void anEndedAttemptWithADirectStartIsForgottenOnlyUnderAHigherToken() throws Exception {
    Job job = startJob();
    long attempt = job.attemptOf(0);
    machine.fence.recordDirectStart(attempt, 0);
    assertFalse(hasForget(answer(report(2, List.of(status(JOB, attempt, State.ENDED))))));
    assertFalse(job.isAssigned(0), "its end is proven");
    revision = TOKEN;
    assertFalse(hasForget(answer(report(3, List.of(status(JOB, attempt, State.ENDED))))));
    revision = TOKEN + 5;
    assertTrue(hasForget(answer(report(4, List.of(status(JOB, attempt, State.ENDED))))));
    assertEquals(TOKEN + 5, machine.fence.token());
    long next = attempt + 1;
    machine.fence.recordDirectStart(next, 0);
    assertFalse(hasForget(answer(report(5, List.of(status(JOB, next, State.ENDED))))));
  }

  /** The machine would refuse a message that its answer overtakes, and the start would be late. */
  @Test
  void theTokenStaysWhileADirectMessageIsInFlight() throws Exception {
    long attempt = startJob().attemptOf(0);
    machine.fence.recordDirectStart(attempt, 0);
    revision = TOKEN + 5;
    machine.setAddress("a:1");
    machine.commands().probe();
    ((CommandQueue) machine.commands()).flush();
    assertTrue(machine.commands().isAwaitingReply());
    assertFalse(hasForget(answer(report(2, List.of(status(JOB, attempt, State.ENDED))))));
    assertEquals(TOKEN, machine.fence.token());
    List<TaskStatus> manyEnded = Collections.nCopies(300, status(JOB, attempt, State.ENDED));
    assertTrue(hasForget(answer(report(3, manyEnded))), "the list of ended tasks is bounded");
  }

  @Test
  void aRaisedTokenVoidsTheStartOfACancelledJob() throws Exception {
    Job job = startJob();
    machine.fence.recordDirectStart(job.attemptOf(0), 0);
    learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
    now += 2 * SLACK_MS;
    runtime.setTime(now, now);
    assertFalse(answer(report(2, List.of())).renewsLease());
    revision = TOKEN + 5;
    assertTrue(answer(report(3, List.of())).renewsLease());
    assertTrue(job.isAssigned(0), "the machine has not shown that it has seen the higher token");
    answer(report(4, TOKEN + 5, List.of()));
    assertFalse(job.isAssigned(0));
  }

  @Test
  void aTokenOfAnotherLeaderProvesNothing() throws Exception {
    Job job = startJob();
    for (long seen : new long[] {TOKEN - 1, TOKEN + 1, TOKEN + 1, Long.MAX_VALUE}) {
      long sequence = machine.session.heartbeatSequence() + 1;
      answer(report(sequence, seen, List.of(status(JOB, job.attemptOf(0), State.ENDED))));
      assertTrue(job.isAssigned(0));
    }
    assertEquals(2, heartbeats.unknownTokens(), "each unknown token is counted once");
  }

  @Test
  void aStartInDoubtOfALiveJobIsRepeated() throws Exception {
    Job job = startJob();
    machine.fence.recordDirectStart(job.attemptOf(0), 0);
    HeartbeatCommands.Answer answer = answer(report(2, List.of()));
    assertTrue(
        answer.renewsLease() && hasStart(answer) && !hasStop(answer, JOB), answer.toString());
  }

  /**
   * Delivers heartbeats in random order: a cancelled task that may run is either stopped, or the
   * machine's lease is not renewed for longer than allowed.
   */
  @Test
  void noMessageOrderRenewsTheLeaseWithoutStops() throws Exception {
    SplittableRandom random = new SplittableRandom(5);
    int renewals = 0;
    Job job = startJob();
    long attempt = job.attemptOf(0);
    boolean cancelled = false;
    List<Heartbeat> delayed = new ArrayList<>();
    for (int seq = 2; seq < 2_000; seq++) {
      now += random.nextInt(200);
      runtime.setTime(now, now);
      List<TaskStatus> tasks =
          random.nextBoolean() ? List.of(status(JOB, attempt, State.RUNNING)) : List.of();
      Heartbeat heartbeat = report(seq, tasks);
      if (random.nextInt(3) == 0) {
        delayed.add(heartbeat);
        continue;
      }
      if (seq == 500) {
        cancellations.knownUntil = now;
        machine.fence.recordDirectStart(attempt, 0);
        learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
        cancelled = true;
      }
      Heartbeat next = delayed.isEmpty() || random.nextBoolean() ? heartbeat : delayed.remove(0);
      if (random.nextInt(4) == 0) {
        heartbeats.apply(machine, next); // a reply to a direct message renews nothing
        continue;
      }
      HeartbeatCommands.Answer answer = answer(next);
      boolean renewed = answer.renewsLease();
      renewals += renewed ? 1 : 0;
      assertFalse(cancelled && hasStart(answer), "started: " + answer);
      boolean listed = !next.tasks().isEmpty();
      assertTrue(!cancelled || !renewed || !listed || hasStop(answer, JOB), "no stop: " + answer);
      boolean mayStillStart =
          cancelled && job.isAssigned(0) && !listed && now - cancellations.knownUntil >= SLACK_MS;
      assertFalse(mayStillStart && renewed, "renewed although a start may still arrive");
    }
    assertTrue(renewals > 100);
  }
}
