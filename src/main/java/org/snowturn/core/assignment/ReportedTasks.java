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

/** Applies the reported states of tasks that are assigned to the reporting machine. */
final class ReportedTasks {
  /** Minimum number of finished tasks of an array whose median predicts the run time of others. */
  private static final int MIN_RUN_TIME_SAMPLES = 3;

  /** Minimum waiting time of a replica that is logged when it starts. */
  private static final double MIN_LOGGED_WAIT_S = 1.5;

  /** Time for which no tasks are placed on a machine that has rejected one. */
  private static final long REJECTION_BACKOFF_MS = 1_500;

  /** Time for which no tasks are placed of a job that a machine could not find. */
  private static final long UNKNOWN_JOB_BACKOFF_MS = 2_000;

  private final CoreRuntime runtime;
  private final FailureHandler failureHandler;
  private final TaskAssignments assignments;

  ReportedTasks(CoreRuntime runtime, FailureHandler failureHandler, TaskAssignments assignments) {
    this.runtime = runtime;
    this.failureHandler = failureHandler;
    this.assignments = assignments;
  }

  /**
   * Applies the state of an assigned attempt.
   *
   * @param verdict the reconciliation verdict for the attempt
   * @param heartbeat the newest heartbeat of the machine, which lists the attempt
   */
  void apply(Machine machine, Job job, TaskStatus status, Verdict verdict, Heartbeat heartbeat) {
    int task = status.task();
    switch (status.state()) {
      case FETCHING -> job.setState(task, TaskState.FETCHING);
      case RUNNING, SAVING -> applyRunning(machine, job, task);
      case ENDED -> applyEnded(machine, job, status, verdict, heartbeat);
      default -> {}
    }
    if (machine.fence.isOwnToken(heartbeat.seenToken()) && job.isAssigned(task)) {
      // Reported with this leader's token: from now on, only its own end releases the attempt.
      assignments.confirmAdopted(job, task);
    }
  }

  private void applyRunning(Machine machine, Job job, int task) {
    if (job.stateOf(task) != TaskState.RUNNING) {
      // The start time is unknown if an earlier leader started the task: it never counts as slow.
      job.setRunningSince(task, job.adopted.get(task) ? MonotonicTime.UNSET : runtime.now());
      job.setState(task, TaskState.RUNNING);
      logLateReplica(machine, job, task);
    }
    failureHandler.onTaskStillRunning(machine, job, task);
    machine.touchImage(job.spec.image(), job.spec.imageGb());
  }

  private void logLateReplica(Machine machine, Job job, int task) {
    double waitedS = (runtime.wallMs() - job.releasedWallMs()) / 1000.0;
    if (job.spec.isService()
        && waitedS > MIN_LOGGED_WAIT_S
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

  private void applyEnded(
      Machine machine, Job job, TaskStatus status, Verdict verdict, Heartbeat heartbeat) {
    int task = status.task();
    if (status.exitReason() == ExitReason.BUSY
        && ReconciliationCases.hasOtherLiveAttempt(heartbeat, status)) {
      runtime
          .events()
          .info(LogEvent.TASK_ALREADY_PRESENT)
          .with(LogField.TASK, job.spec.id() + "/" + task)
          .with(LogField.MACHINE, machine.id)
          .write();
    } else if (verdict == Verdict.COMPLETE || verdict == Verdict.RELEASE) {
      ReportedEnded evidence = new ReportedEnded(heartbeat.seenToken(), heartbeat.agentEpoch());
      if (status.exitReason() == ExitReason.DONE) {
        handleResult(machine, job, task, evidence);
      } else {
        handleEndWithoutResult(machine, job, task, status.exitReason(), evidence);
      }
    }
  }

  private void handleResult(Machine machine, Job job, int task, ReportedEnded evidence) {
    if (job.runningSince(task) != MonotonicTime.UNSET) {
      double runTimeS = (runtime.now() - job.runningSince(task)) / 1000.0;
      job.runTimes.add(runTimeS);
      double median = job.medianRunTimeS();
      machine.recordRunTimeRatio(median > 0 && job.runTimes.size() > 1 ? runTimeS / median : 1);
    }
    failureHandler.onTaskSucceeded(machine, job);
    assignments.complete(job, task, evidence);
  }

  private void handleEndWithoutResult(
      Machine machine, Job job, int task, ExitReason reason, ReportedEnded evidence) {
    switch (reason) {
      case ERROR -> failureHandler.onTaskFailed(machine, job, task);
      case STOPPED -> logEnd(LogEvent.TASK_STOPPED, machine, job, task, reason);
      default -> logEnd(LogEvent.TASK_ENDED, machine, job, task, reason);
    }
    switch (reason) {
      case NO_ROOM, BUSY -> machine.setBlockedUntil(runtime.now() + REJECTION_BACKOFF_MS);
      case UNKNOWN_JOB -> job.failures.backOff(runtime.now() + UNKNOWN_JOB_BACKOFF_MS);
      default -> {}
    }
    assignments.release(job, task, evidence);
  }

  private void logEnd(LogEvent event, Machine machine, Job job, int task, ExitReason reason) {
    runtime
        .events()
        .info(event)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.ATTEMPT, job.attemptOf(task))
        .with(LogField.EXIT_REASON, reason.name().toLowerCase(Locale.ROOT))
        .with(LogField.MACHINE, machine.id)
        .write();
  }

  /**
   * Stops the array tasks that cannot finish before the machine is preempted, so that they restart
   * elsewhere earlier. The expected run time is the median of the array's finished tasks or, before
   * there are enough of them, half the job's estimate, so that an inaccurate estimate stops a task
   * only if it is far longer than the remaining time.
   */
  void drain(Machine machine) {
    for (long reference : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(reference);
      int task = TaskAssignments.task(reference);
      if (job.spec.kind() != JobSpec.Kind.ARRAY || job.stopping.get(task)) {
        continue;
      }
      double expectedRunS =
          job.runTimes.size() >= MIN_RUN_TIME_SAMPLES
              ? job.medianRunTimeS()
              : job.spec.estimateS() / 2;
      if (runtime.now() + (expectedRunS - elapsedRunS(job, task, expectedRunS)) * 1000
          > machine.preemptionAt()) {
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

  /**
   * Returns how long the task has run, in seconds; the expected run time if an earlier leader
   * started the task.
   */
  private double elapsedRunS(Job job, int task, double expectedRunS) {
    if (job.stateOf(task) != TaskState.RUNNING) {
      return 0;
    }
    return job.runningSince(task) == MonotonicTime.UNSET
        ? expectedRunS
        : (runtime.now() - job.runningSince(task)) / 1000.0;
  }
}
