package org.snowturn.core.assignment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.model.Job;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.TaskStatus;
import org.snowturn.wire.TaskStatus.State;

/**
 * Guards against tasks of cancelled jobs that keep running because a lease is renewed without stops
 * for them (docs/safety.md). If messages overtake each other or a start is still in flight, the
 * answer must carry all stops or not renew the lease.
 */
class HeartbeatCommandsTest extends HeartbeatCommandsFixture {
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
    cancellations.setKnownUntil(now() - 300);
    learnOfCancellation(CancellationSource.PEER_AND_JOB_RECORD);
    for (int second = 0; second < 40; second++) {
      advance(1_000);
      cancellations.setKnownUntil(now()); // must not affect the older cancellation of this job
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
    setRevision(TOKEN);
    assertFalse(hasForget(answer(report(3, List.of(status(JOB, attempt, State.ENDED))))));
    setRevision(TOKEN + 5);
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
    setRevision(TOKEN + 5);
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
    advance(2 * SLACK_MS);
    assertFalse(answer(report(2, List.of())).renewsLease());
    setRevision(TOKEN + 5);
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
      advance(random.nextInt(200));
      List<TaskStatus> tasks =
          random.nextBoolean() ? List.of(status(JOB, attempt, State.RUNNING)) : List.of();
      Heartbeat heartbeat = report(seq, tasks);
      if (random.nextInt(3) == 0) {
        delayed.add(heartbeat);
        continue;
      }
      if (seq == 500) {
        cancellations.setKnownUntil(now());
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
      boolean isLate = now() - cancellations.knownUntil() >= SLACK_MS;
      boolean mayStillStart = cancelled && job.isAssigned(0) && !listed && isLate;
      assertFalse(mayStillStart && renewed, "renewed although a start may still arrive");
    }
    assertTrue(renewals > 100);
  }
}
