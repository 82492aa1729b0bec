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
 * Guards against a task running in two places: decides whether an attempt has ended and whether a
 * start command may be sent. Assignments of live jobs are released and start commands are sent only
 * if this guard allows it.
 */
public final class AttemptGuard {
  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final long token;
  private final long leaseExpiryMs;
  private final Invariants invariants;
  private final Map<String, Long> endsByEvidence = new TreeMap<>();

  /**
   * Creates the guard for the attempts of a term.
   *
   * @param token the fencing token of the term
   * @param leaseExpiryMs time in milliseconds after the last possible lease renewal at which a
   *     machine's lease has certainly expired
   */
  public AttemptGuard(CoreRuntime runtime, MachineIndex machines, long token, long leaseExpiryMs) {
    this.runtime = runtime;
    this.machines = machines;
    this.token = token;
    this.leaseExpiryMs = leaseExpiryMs;
    this.invariants = new Invariants(runtime);
  }

  /** Returns the fencing token of the term. */
  long token() {
    return token;
  }

  /**
   * Returns whether the evidence proves that an assigned task's attempt has ended or never began.
   * Evidence that proves neither is counted and logged as a violation.
   */
  boolean hasEnded(Job job, int task, EndEvidence evidence) {
    String objection = snapshot(job, task).rejectionReason(evidence);
    if (objection != null) {
      invariants.recordViolation(
          Invariant.END_IS_PROVEN, subject(job, task), evidence.kind() + ": " + objection);
      return false;
    }
    endsByEvidence.merge(evidence.kind(), 1L, Long::sum);
    if (runtime.events().isDebugEnabled()) {
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

  private AttemptSnapshot snapshot(Job job, int task) {
    Machine machine = machines.get(job.machineOf(task));
    return new AttemptSnapshot(
        token,
        machine.fence.token(),
        runtime.now(),
        job.epochOf(task),
        job.stateOf(task) != TaskState.PLACING,
        job.adopted.get(task),
        job.stopping.get(task),
        machine.fence.canStartArrive(job.attemptOf(task), task),
        machine.lifecycle.isTerminationConfirmed(),
        machine.lifecycle.cloudState() == CloudMachine.State.FAILED,
        machine.session.lastAnswerAt(),
        leaseExpiryMs);
  }

  private static String subject(Job job, int task) {
    return job.spec.id() + "/" + task + "#" + job.attemptOf(task);
  }

  /**
   * Returns whether a start command may be sent to a machine. A rejected start is counted and
   * logged as a violation.
   *
   * @param job the job that the command names; null if it is not live
   */
  boolean canStart(Machine machine, Job job, Command start) {
    String reason = startRejectionReason(machine, job, start);
    if (reason != null) {
      invariants.recordViolation(
          Invariant.START_IS_PLACED,
          start.job() + "/" + start.task() + "#" + start.attempt(),
          "start command for machine " + machine.id + " rejected: " + reason);
    }
    return reason == null;
  }

  /** Returns why the start command must not be sent; null if it may be sent. */
  private static String startRejectionReason(Machine machine, Job job, Command start) {
    int task = start.task();
    if (job == null || !job.isAssigned(task)) {
      return "the task is not assigned to any machine";
    }
    if (job.attemptOf(task) != start.attempt() || job.machineOf(task) != machine.index) {
      return "the task is assigned to another machine or as another attempt";
    }
    if (job.stateOf(task) == TaskState.PLACING) {
      return "the placement is not durable yet";
    }
    if (job.epochOf(task) != machine.epoch()) {
      return "the attempt was placed in another agent epoch of the machine";
    }
    return job.isCancelled() ? "the job is cancelled" : null;
  }

  /**
   * Returns the number of attempts that each kind of evidence ended, and the number of violations
   * of each invariant, by metric name.
   */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(invariants.gauges());
    endsByEvidence.forEach(
        (kind, count) -> gauges.put("snowturn.releases." + kind, (double) count));
    return gauges;
  }
}
