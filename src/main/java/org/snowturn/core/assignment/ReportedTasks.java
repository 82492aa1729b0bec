package org.snowturn.core.assignment;

import java.util.Locale;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.EndEvidence.ReportedEnded;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.TaskStatus;
import org.snowturn.wire.TaskStatus.ExitReason;

/** What follows from the state of an assigned task that its machine has reported. */
final class ReportedTasks {
  /** So many finished runs tell how long an array's tasks take. */
  private static final int KNOWN_RUNS = 3;

  /** A replica that has waited for less is not worth a line of the log. */
  private static final double UNREMARKABLE_WAIT_S = 1.5;

  /** A machine that has refused a task gets nothing new for so long. */
  private static final long REFUSED_PAUSE_MS = 1_500;

  /** A job that a machine could not find is not tried again for so long. */
  private static final long UNKNOWN_JOB_PAUSE_MS = 2_000;

  private final CoreRuntime runtime;
  private final FailureHandler failureHandler;
  private final TaskAssignments assignments;
  private final long token;

  ReportedTasks(
      CoreRuntime runtime, FailureHandler failureHandler, TaskAssignments assignments, long token) {
    this.runtime = runtime;
    this.failureHandler = failureHandler;
    this.assignments = assignments;
    this.token = token;
  }

  /** The newest heartbeat of the machine lists an attempt that is assigned to it. */
  void seen(Machine machine, Job job, TaskStatus status, Verdict verdict, Heartbeat heartbeat) {
    int task = status.task();
    switch (status.state()) {
      case FETCHING -> job.setState(task, TaskState.FETCHING);
      case RUNNING, SAVING -> runs(machine, job, task);
      case ENDED -> ended(machine, job, status, verdict, heartbeat);
      default -> {}
    }
    if (heartbeat.seenToken() == token && job.isAssigned(task)) {
      // Seen under this token: from now on only its own end releases it.
      assignments.confirmAdopted(job, task);
    }
  }

  private void runs(Machine machine, Job job, int task) {
    if (job.stateOf(task) != TaskState.RUNNING) {
      // Times of tasks that an earlier leader started are unknown, so they never look slow.
      job.setStateSince(task, job.adopted.get(task) ? MonotonicTime.NEVER : runtime.now());
      job.setState(task, TaskState.RUNNING);
      logLateReplica(machine, job, task);
    }
    failureHandler.keepsRunning(machine, job, task);
    machine.touchImage(job.spec.image(), job.spec.imageGb());
  }

  private void logLateReplica(Machine machine, Job job, int task) {
    double waitedS = (runtime.wallMs() - job.releasedWall()) / 1000.0;
    if (job.spec.isService()
        && waitedS > UNREMARKABLE_WAIT_S
        && job.failures.count() == 0
        && !job.adopted.get(task)) {
      runtime
          .events()
          .info(LogEvent.TASK_RUNNING)
          .with(LogField.TASK, job.spec.id() + "/" + task)
          .with(LogField.WAITED_S, waitedS)
          .with(LogField.IMAGE, job.spec.image())
          .with(LogField.MACHINE, machine.id)
          .write();
    }
  }

  private void ended(
      Machine machine, Job job, TaskStatus status, Verdict verdict, Heartbeat heartbeat) {
    int task = status.task();
    if (status.exitReason() == ExitReason.BUSY
        && ReconciliationCases.otherAttemptAlive(heartbeat, status)) {
      runtime
          .events()
          .info(LogEvent.TASK_ALREADY_PRESENT)
          .with(LogField.TASK, job.spec.id() + "/" + task)
          .with(LogField.MACHINE, machine.id)
          .write();
    } else if (verdict == Verdict.COMPLETE || verdict == Verdict.RELEASE) {
      ReportedEnded evidence = new ReportedEnded(heartbeat.seenToken(), heartbeat.agentEpoch());
      if (status.exitReason() == ExitReason.DONE) {
        succeeded(machine, job, task, evidence);
      } else {
        endedWithoutResult(machine, job, task, status.exitReason(), evidence);
      }
    }
  }

  private void succeeded(Machine machine, Job job, int task, ReportedEnded evidence) {
    if (job.stateSince(task) != MonotonicTime.NEVER) {
      double ranS = (runtime.now() - job.stateSince(task)) / 1000.0;
      job.runTimes.add(ranS);
      double median = job.median();
      machine.finishedWork(median > 0 && job.runTimes.size() > 1 ? ranS / median : 1);
    }
    failureHandler.succeeded(machine, job);
    assignments.complete(job, task, evidence);
  }

  private void endedWithoutResult(
      Machine machine, Job job, int task, ExitReason reason, ReportedEnded evidence) {
    switch (reason) {
      case ERROR -> failureHandler.failed(machine, job, task);
      case STOPPED -> logEnd(LogEvent.TASK_STOPPED, machine, job, task, reason);
      default -> logEnd(LogEvent.TASK_ENDED, machine, job, task, reason);
    }
    switch (reason) {
      case NO_ROOM, BUSY -> machine.setBlockedUntil(runtime.now() + REFUSED_PAUSE_MS);
      case UNKNOWN_JOB -> job.failures.backOff(runtime.now() + UNKNOWN_JOB_PAUSE_MS);
      default -> {}
    }
    assignments.release(job, task, evidence);
  }

  private void logEnd(LogEvent event, Machine machine, Job job, int task, ExitReason reason) {
    runtime
        .events()
        .info(event)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.EXIT_REASON, reason.name().toLowerCase(Locale.ROOT))
        .with(LogField.MACHINE, machine.id)
        .write();
  }

  /**
   * Stops the tasks that cannot end before the machine is preempted: elsewhere they start anew so
   * much sooner. Only an array whose run times are known, or an estimate far too long, tells which.
   */
  void drain(Machine machine) {
    for (long reference : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(reference);
      int task = TaskAssignments.task(reference);
      if (job.spec.kind() != JobSpec.Kind.ARRAY || job.stopping.get(task)) {
        continue;
      }
      double runS = job.runTimes.size() >= KNOWN_RUNS ? job.median() : job.spec.estimateS() / 2;
      if (runtime.now() + (runS - ranS(job, task, runS)) * 1000 > machine.preemptionAt()) {
        runtime
            .events()
            .info(LogEvent.TASK_EVICTED)
            .with(LogField.TASK, job.spec.id() + "/" + task)
            .with(LogField.MACHINE, machine.id)
            .with(LogField.REASON, "preemption_notice")
            .write();
        assignments.stop(job, task);
      }
    }
  }

  /** For how long the task has run; the whole run time where an earlier leader started it. */
  private double ranS(Job job, int task, double runS) {
    if (job.stateOf(task) != TaskState.RUNNING) {
      return 0;
    }
    return job.stateSince(task) == MonotonicTime.NEVER
        ? runS
        : (runtime.now() - job.stateSince(task)) / 1000.0;
  }
}
