package org.snowturn.core.assignment;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.core.assignment.Invariants.Invariant;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.AttemptSnapshot;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.TaskState;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.Command;

/**
 * Decides the two questions on which "never in two places" rests: whether an attempt has ended, and
 * whether a start may leave. Nothing is released and no start is sent past it.
 */
public final class AttemptGuard {
  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final long token;
  private final long lapseMs;
  private final Invariants invariants;
  private final Map<String, Long> ends = new TreeMap<>();

  /**
   * Guards the attempts of a term.
   *
   * @param lapseMs how long after the last possible answer a session has certainly ended
   */
  public AttemptGuard(CoreRuntime runtime, MachineIndex machines, long token, long lapseMs) {
    this.runtime = runtime;
    this.machines = machines;
    this.token = token;
    this.lapseMs = lapseMs;
    this.invariants = new Invariants(runtime);
  }

  /** The fencing token of the term. */
  long token() {
    return token;
  }

  /** Whether the evidence proves that a bound task's attempt has ended, or never began. */
  boolean hasEnded(Job job, int task, EndEvidence evidence) {
    String objection = view(job, task).objection(evidence);
    if (objection != null) {
      invariants.recordViolation(
          Invariant.END_IS_PROVEN, subject(job, task), evidence + ": " + objection);
      return false;
    }
    ends.merge(evidence.kind(), 1L, Long::sum);
    if (runtime.events().debug()) {
      Machine machine = machines.get(job.machineOf(task));
      runtime
          .events()
          .debug(LogEvent.ASSIGNMENT_RELEASED)
          .with(LogField.TASK, job.spec.id() + "/" + task)
          .with(LogField.ATTEMPT, job.attemptOf(task))
          .with(LogField.MACHINE, machine.id)
          .with(LogField.AGENT_EPOCH, job.epochOf(task))
          .with(LogField.TOKEN, token)
          .with(LogField.EVIDENCE, evidence.kind())
          .with(LogField.LAST_ANSWER_MS_AGO, runtime.now() - machine.session.lastAnswerAt())
          .write();
    }
    return true;
  }

  private AttemptSnapshot view(Job job, int task) {
    Machine machine = machines.get(job.machineOf(task));
    return new AttemptSnapshot(
        token,
        runtime.now(),
        job.epochOf(task),
        job.stateOf(task) != TaskState.PLACING,
        job.adopted.get(task),
        job.stopping.get(task),
        ReconciliationCases.isStartInDoubt(machine, job.attemptOf(task), task),
        machine.isTerminationConfirmed(),
        machine.cloudState() == CloudMachine.State.FAILED,
        machine.session.lastAnswerAt(),
        lapseMs);
  }

  private static String subject(Job job, int task) {
    return job.spec.id() + "/" + task + "#" + job.attemptOf(task);
  }

  /** Whether a start may leave for a machine; {@code job} is null if it is not live. */
  boolean mayStart(Machine machine, Job job, Command start) {
    String objection = objection(machine, job, start);
    if (objection != null) {
      invariants.recordViolation(
          Invariant.START_IS_PLACED,
          start.job() + "/" + start.task() + "#" + start.attempt(),
          "start for " + machine.id + ": " + objection);
    }
    return objection == null;
  }

  private static String objection(Machine machine, Job job, Command start) {
    int task = start.task();
    if (job == null || !job.isAssigned(task)) {
      return "the task is on no machine";
    }
    if (job.attemptOf(task) != start.attempt() || job.machineOf(task) != machine.index) {
      return "the task has another attempt";
    }
    if (job.stateOf(task) == TaskState.PLACING) {
      return "its placement is not durable";
    }
    if (job.epochOf(task) != machine.epoch()) {
      return "it was placed in another session";
    }
    return job.isCancelled() ? "its job is cancelled" : null;
  }

  /** How often each kind of evidence ended an attempt, and what was refused. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(invariants.gauges());
    ends.forEach((kind, n) -> gauges.put("snowturn.releases." + kind, (double) n));
    return gauges;
  }
}
