package org.snowturn.core.assignment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.CommandChannel;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.TaskState;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Guards against a task running in two places because a start is sent for an outdated attempt, or
 * an attempt is released without proof that it has ended. Such an operation is rejected, counted
 * and logged once, without an exception.
 */
class AttemptGuardTest {
  private static final long TOKEN = 7;
  private static final long LEASE_EXPIRY_MS = 10_000;
  private static final long ATTEMPT = 70;
  private static final long AGENT_EPOCH = 2;

  private final CoreRuntime runtime = new CoreRuntime(1);
  private final MachineIndex machines =
      new MachineIndex(List.of("z"), TOKEN, machine -> new DiscardedCommands());
  private final AttemptGuard guard = new AttemptGuard(runtime, machines, TOKEN, LEASE_EXPIRY_MS);
  private final Machine machine = machines.getOrAdd("i-1");
  private Job job;

  private static final class DiscardedCommands implements CommandChannel {
    @Override
    public void add(Command command) {}

    @Override
    public void withdraw(Command command) {}

    @Override
    public void probe() {}

    @Override
    public void resume() {}

    @Override
    public void discardUnsent() {}

    @Override
    public boolean isAwaitingReply() {
      return false;
    }

    @Override
    public boolean isIdle() {
      return true;
    }
  }

  @BeforeEach
  void startTaskOnMachine() throws Exception {
    job = new Job(0, JobSpec.parse(Submissions.array("wk-000001", 2)), 0, machines.zoneCount());
    runtime.setTime(1_000, 1_000);
    machine.session.setEpoch(AGENT_EPOCH);
    machine.session.setLastAnswerAt(1_000);
    job.assign(0, machine, ATTEMPT, AGENT_EPOCH, TaskState.STARTING);
  }

  private static Command start(long attempt) {
    return new Command(Command.Op.START, "wk-000001", 0, attempt, 0);
  }

  private long errors() {
    return runtime.drainEffects().stream()
        .filter(
            effect ->
                effect instanceof Effect.Event event && event.severity() == Effect.Severity.ERROR)
        .count();
  }

  private double violations(String invariant) {
    return guard.gauges().get("snowturn.invariants.violated." + invariant);
  }

  @Test
  void aStartOfAnAssignedAttemptIsAllowed() {
    assertTrue(guard.canStart(machine, job, start(ATTEMPT)));
    assertEquals(0, violations("start_is_placed"));
  }

  @Test
  void aStartOfAnEndedAttemptIsRejected() {
    job.setState(0, TaskState.PENDING);
    assertFalse(guard.canStart(machine, job, start(ATTEMPT)));
    assertFalse(guard.canStart(machine, null, start(ATTEMPT)));
    assertEquals(2, violations("start_is_placed"));
    assertEquals(1, errors(), "the violation is logged once");
  }

  @Test
  void aStartThatDiffersFromTheDurablePlacementIsRejected() {
    assertFalse(guard.canStart(machine, job, start(ATTEMPT + 1)));
    assertFalse(guard.canStart(machines.getOrAdd("i-2"), job, start(ATTEMPT)));
    machine.session.setEpoch(AGENT_EPOCH + 1);
    assertFalse(guard.canStart(machine, job, start(ATTEMPT)));
    machine.session.setEpoch(AGENT_EPOCH);
    job.setState(0, TaskState.PLACING);
    assertFalse(guard.canStart(machine, job, start(ATTEMPT)));
    job.setState(0, TaskState.STARTING);
    job.confirmCancellation(MonotonicTime.UNSET);
    assertFalse(guard.canStart(machine, job, start(ATTEMPT)));
  }

  @Test
  void anUnprovenEndIsRejectedAndLoggedOnce() {
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertEquals(2, violations("end_is_proven"));
    assertEquals(1, errors(), "the violation is logged once");
    runtime.setTime(1_000 + LEASE_EXPIRY_MS, 0);
    assertTrue(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertEquals(1.0, guard.gauges().get("snowturn.releases.lease_lapsed"));
    assertEquals(0, errors());
  }

  /** Guards against a log line that shows an object's hash in place of the evidence. */
  @Test
  void theLineOfAViolationNamesTheKindOfEvidence() {
    guard.hasEnded(job, 0, new EndEvidence.LeaseExpired());
    assertTrue(
        runtime.drainEffects().stream()
            .anyMatch(
                effect ->
                    effect instanceof Effect.Event event
                        && event.text().contains("\"lease_lapsed: ")));
  }
}
