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

/** What would break an invariant is refused, counted, and logged once; nothing is thrown. */
class AttemptGuardTest {
  private static final long TOKEN = 7;
  private static final long LAPSE_MS = 10_000;
  private static final long ATTEMPT = 70;
  private static final long SESSION = 2;

  private final CoreRuntime runtime = new CoreRuntime(1);
  private final MachineIndex machines = new MachineIndex(List.of("z"), machine -> new NoCommands());
  private final AttemptGuard guard = new AttemptGuard(runtime, machines, TOKEN, LAPSE_MS);
  private final Machine machine = machines.getOrAdd("i-1");
  private Job job;

  private static final class NoCommands implements CommandChannel {
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
    public boolean isIdle() {
      return true;
    }
  }

  @BeforeEach
  void aTaskIsStartedOnAMachine() throws Exception {
    job = new Job(0, JobSpec.parse(Submissions.array("wk-000001", 2)), 0, machines.zoneCount());
    runtime.setTime(1_000, 1_000);
    machine.session.setEpoch(SESSION);
    machine.session.setLastAnswerAt(1_000);
    job.assign(0, machine, ATTEMPT, SESSION, TaskState.STARTING);
  }

  private static Command start(long attempt) {
    return new Command(Command.Op.START, "wk-000001", 0, attempt, 0);
  }

  private long errors() {
    return runtime.drainEffects().stream()
        .filter(effect -> effect instanceof Effect.Event v && v.severity() == Effect.Severity.ERROR)
        .count();
  }

  private double violations(String invariant) {
    return guard.gauges().get("snowturn.invariants.violated." + invariant);
  }

  @Test
  void aStartOfWhatIsPlacedThereMayLeave() {
    assertTrue(guard.mayStart(machine, job, start(ATTEMPT)));
    assertEquals(0, violations("start_is_placed"));
  }

  @Test
  void aStartThatOutlivesItsAttemptMayNot() {
    job.setState(0, TaskState.PENDING);
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    assertFalse(guard.mayStart(machine, null, start(ATTEMPT)));
    assertEquals(2, violations("start_is_placed"));
    assertEquals(1, errors(), "it is logged once");
  }

  @Test
  void noStartLeavesForAnotherAttemptMachineOrSessionOrBeforeItIsDurable() {
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT + 1)));
    assertFalse(guard.mayStart(machines.getOrAdd("i-2"), job, start(ATTEMPT)));
    machine.session.setEpoch(SESSION + 1);
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    machine.session.setEpoch(SESSION);
    job.setState(0, TaskState.PLACING);
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    job.setState(0, TaskState.STARTING);
    job.confirmCancellation(MonotonicTime.NEVER);
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
  }

  @Test
  void anUnprovenEndIsRefusedWithItsEvidence() {
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertEquals(2, violations("end_is_proven"));
    assertEquals(1, errors(), "it is logged once");
    runtime.setTime(1_000 + LAPSE_MS, 0);
    assertTrue(guard.hasEnded(job, 0, new EndEvidence.LeaseExpired()));
    assertEquals(1.0, guard.gauges().get("snowturn.releases.lease_lapsed"));
    assertEquals(0, errors());
  }
}
