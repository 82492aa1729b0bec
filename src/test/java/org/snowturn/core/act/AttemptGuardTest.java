package org.snowturn.core.act;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.evidence.EndEvidence;
import org.snowturn.core.model.Commands;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/** What would break an invariant is refused, counted, and logged once; nothing is thrown. */
class AttemptGuardTest {
  private static final long TOKEN = 7;
  private static final long LAPSE_MS = 10_000;
  private static final long ATTEMPT = 70;
  private static final long SESSION = 2;

  private final Calls calls = new Calls(1);
  private final MachineBook machines = new MachineBook(List.of("z"), m -> new NoCommands());
  private final AttemptGuard guard = new AttemptGuard(calls, machines, TOKEN, LAPSE_MS);
  private final Machine machine = machines.getOrCreate("i-1");
  private Job job;

  private static final class NoCommands implements Commands {
    @Override
    public void add(Command c) {}

    @Override
    public void withdraw(Command c) {}

    @Override
    public void ask() {}

    @Override
    public void resume() {}

    @Override
    public void drop() {}

    @Override
    public boolean idle() {
      return true;
    }
  }

  @BeforeEach
  void aTaskIsStartedOnAMachine() throws Exception {
    job = new Job(0, JobSpec.parse(Submissions.array("wk-000001", 2)), 0, 1);
    calls.at(1_000, 1_000);
    machine.session = SESSION;
    machine.lastAnswerAt = 1_000;
    job.state[0] = Job.STARTING;
    job.machine[0] = machine.index;
    job.attempt[0] = ATTEMPT;
    job.session[0] = SESSION;
  }

  private static Command start(long attempt) {
    return new Command(Command.Op.START, "wk-000001", 0, attempt, 0);
  }

  private long errors() {
    return calls.drain().stream()
        .filter(e -> e instanceof Effect.Event v && v.severity() == Effect.Severity.ERROR)
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
    job.state[0] = Job.PENDING;
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    assertFalse(guard.mayStart(machine, null, start(ATTEMPT)));
    assertEquals(2, violations("start_is_placed"));
    assertEquals(1, errors(), "it is logged once");
  }

  @Test
  void noStartLeavesForAnotherAttemptMachineOrSessionOrBeforeItIsDurable() {
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT + 1)));
    assertFalse(guard.mayStart(machines.getOrCreate("i-2"), job, start(ATTEMPT)));
    machine.session = SESSION + 1;
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    machine.session = SESSION;
    job.state[0] = Job.PLACING;
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
    job.state[0] = Job.STARTING;
    job.cancelConfirmed = true;
    assertFalse(guard.mayStart(machine, job, start(ATTEMPT)));
  }

  @Test
  void anUnprovenEndIsRefusedWithItsEvidence() {
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseLapsed()));
    assertFalse(guard.hasEnded(job, 0, new EndEvidence.LeaseLapsed()));
    assertEquals(2, violations("end_is_proven"));
    assertEquals(1, errors(), "it is logged once");
    calls.at(1_000 + LAPSE_MS, 0);
    assertTrue(guard.hasEnded(job, 0, new EndEvidence.LeaseLapsed()));
    assertEquals(1.0, guard.gauges().get("snowturn.releases.lease_lapsed"));
    assertEquals(0, errors());
  }
}
