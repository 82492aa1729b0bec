package org.snowturn.core.act;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.core.act.Invariants.Invariant;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.evidence.AttemptView;
import org.snowturn.core.evidence.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.Command;

/**
 * Decides the two questions on which "never in two places" rests: whether an attempt has ended, and
 * whether a start may leave. Nothing is released and no start is sent past it.
 */
public final class AttemptGuard {
  private final Calls calls;
  private final MachineBook machines;
  private final long token;
  private final long lapseMs;
  private final Invariants invariants;
  private final Map<String, Long> ends = new TreeMap<>();

  /**
   * Guards the attempts of a term.
   *
   * @param lapseMs how long after the last possible answer a session has certainly ended
   */
  public AttemptGuard(Calls calls, MachineBook machines, long token, long lapseMs) {
    this.calls = calls;
    this.machines = machines;
    this.token = token;
    this.lapseMs = lapseMs;
    this.invariants = new Invariants(calls);
  }

  /** Whether the evidence proves that a bound task's attempt has ended, or never began. */
  boolean hasEnded(Job job, int task, EndEvidence evidence) {
    String objection = view(job, task).objection(evidence);
    if (objection != null) {
      invariants.violated(Invariant.END_IS_PROVEN, subject(job, task), evidence + ": " + objection);
      return false;
    }
    ends.merge(evidence.kind(), 1L, Long::sum);
    if (calls.events().debug()) {
      Machine machine = machines.get(job.machine[task]);
      calls
          .events()
          .debug("release")
          .with("task", job.spec.id() + "/" + task)
          .with("attempt", job.attempt[task])
          .with("machine", machine.id)
          .with("session", job.session[task])
          .with("token", token)
          .with("evidence", evidence.kind())
          .with("last_answer_ms_ago", calls.now() - machine.lastAnswerAt)
          .write();
    }
    return true;
  }

  private AttemptView view(Job job, int task) {
    Machine machine = machines.get(job.machine[task]);
    return new AttemptView(
        token,
        calls.now(),
        job.session[task],
        job.state[task] != Job.PLACING,
        job.inherited.get(task),
        job.stopping.get(task),
        ReportCases.inDoubt(machine, job.attempt[task], task),
        machine.deleted,
        machine.cloudState == CloudMachine.State.FAILED,
        machine.lastAnswerAt,
        lapseMs);
  }

  private static String subject(Job job, int task) {
    return job.spec.id() + "/" + task + "#" + job.attempt[task];
  }

  /** Whether a start may leave for a machine; {@code job} is null if it is not live. */
  boolean mayStart(Machine machine, Job job, Command start) {
    String objection = objection(machine, job, start);
    if (objection != null) {
      invariants.violated(
          Invariant.START_IS_PLACED,
          start.job() + "/" + start.task() + "#" + start.attempt(),
          "start for " + machine.id + ": " + objection);
    }
    return objection == null;
  }

  private static String objection(Machine machine, Job job, Command start) {
    int task = start.task();
    if (job == null || !job.isBound(task)) {
      return "the task is on no machine";
    }
    if (job.attempt[task] != start.attempt() || job.machine[task] != machine.index) {
      return "the task has another attempt";
    }
    if (job.state[task] == Job.PLACING) {
      return "its placement is not durable";
    }
    if (job.session[task] != machine.session) {
      return "it was placed in another session";
    }
    return job.unwanted() ? "its job is cancelled" : null;
  }

  /** How often each kind of evidence ended an attempt, and what was refused. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(invariants.gauges());
    ends.forEach((kind, n) -> gauges.put("snowturn.releases." + kind, (double) n));
    return gauges;
  }
}
