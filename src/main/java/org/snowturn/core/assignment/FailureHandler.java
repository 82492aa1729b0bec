package org.snowturn.core.assignment;

import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.FailureAttribution;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobStatus;

/**
 * Reacts to task failures: backs off suspect jobs, blocks machines for a while after a failure, and
 * quarantines faulty machines. A machine on which only a suspect job failed keeps receiving other
 * work. A suspect job, whose tasks probably fail because of a mistake in its submission, is probed
 * only occasionally.
 */
public final class FailureHandler implements JobListener {
  private static final long MIN_JOB_BACKOFF_MS = 1_000;
  private static final long MAX_JOB_BACKOFF_MS = 30_000;
  private static final int MAX_JOB_BACKOFF_DOUBLINGS = 8;
  private static final long MIN_MACHINE_BACKOFF_MS = 2_000;
  private static final int MAX_MACHINE_BACKOFF_DOUBLINGS = 4;

  /** Run time after which a task counts as a success, since faults usually show at the start. */
  private static final long MIN_HEALTHY_RUN_MS = 20_000;

  private final CoreRuntime runtime;
  private final FailureAttribution attribution;
  private long failedTasks;
  private long quarantinedMachines;

  /**
   * Creates a handler without any recorded failures.
   *
   * @param failuresToQuarantine number of consecutive failures of healthy jobs after which a
   *     machine is quarantined
   */
  public FailureHandler(CoreRuntime runtime, int failuresToQuarantine) {
    this.runtime = runtime;
    this.attribution = new FailureAttribution(failuresToQuarantine);
  }

  /** Records that a task of the job has succeeded on the machine. */
  void onTaskSucceeded(Machine machine, Job job) {
    if (job.failures.isSuspect()) {
      runtime
          .events()
          .info(LogEvent.JOB_CLEARED)
          .with(LogField.JOB, job.spec.id())
          .with(LogField.MACHINE, machine.id)
          .write();
    }
    attribution.onTaskSucceeded(job.index, machine.index);
    job.failures.clearSuspicion();
    machine.failures.recordSuccess();
  }

  /** Records that a task has failed on the machine, before it is queued again. */
  void onTaskFailed(Machine machine, Job job, int task) {
    failedTasks++;
    runtime
        .events()
        .info(LogEvent.TASK_FAILED)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.ATTEMPT, job.attemptOf(task))
        .with(LogField.MACHINE, machine.id)
        .write();
    if (job.done() > 0) {
      attribution.markJobHealthy(
          job.index); // done tasks may also have been recorded by earlier leaders
    }
    attribution.onTaskFailed(job.index, machine.index);
    job.failures.recordFailure(task, machine.index);
    machine.failures.recordFailure(attribution.isMachineHealthy(machine.index));
    if (attribution.isJobSuspected(job.index)) {
      backOffSuspect(job);
    }
    machine.failures.setUnexplainedCount(attribution.unexplainedFailures(machine.index));
    quarantineIfFaulty(machine);
    if (!machine.failures.isHealthy() && machine.failures.unexplainedCount() > 0) {
      int doublings =
          Math.min(MAX_MACHINE_BACKOFF_DOUBLINGS, machine.failures.unexplainedCount() - 1);
      machine.failures.blockUntil(runtime.now() + (MIN_MACHINE_BACKOFF_MS << doublings));
    } else {
      machine.failures.blockUntil(0);
    }
  }

  private void quarantineIfFaulty(Machine machine) {
    if (!machine.isQuarantined() && attribution.isMachineFaulty(machine.index)) {
      machine.quarantine();
      quarantinedMachines++;
      runtime
          .events()
          .info(LogEvent.MACHINE_QUARANTINED)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.FAILURES, machine.failures.unexplainedCount())
          .write();
    }
  }

  private void backOffSuspect(Job job) {
    if (!job.failures.isSuspect()) {
      job.failures.markSuspected();
      runtime
          .events()
          .info(LogEvent.JOB_SUSPECTED)
          .with(LogField.JOB, job.spec.id())
          .with(LogField.FAILURES, job.failures.count())
          .write();
    }
    int doublings = Math.min(MAX_JOB_BACKOFF_DOUBLINGS, job.failures.probeCount());
    job.failures.recordFailedProbe();
    job.failures.backOff(
        runtime.now() + Math.min(MAX_JOB_BACKOFF_MS, MIN_JOB_BACKOFF_MS << doublings));
  }

  /**
   * Counts a task that this leader has seen running on the machine for at least {@value
   * #MIN_HEALTHY_RUN_MS} ms as a success. Tasks of a job with a mistake in its submission, and all
   * tasks on a faulty machine, fail as soon as they start. Replicas of a service never finish, so
   * this is their only kind of success.
   */
  void onTaskStillRunning(Machine machine, Job job, int task) {
    boolean hasUnresolvedFailures =
        machine.failures.unexplainedCount() > 0 || (job.failures.count() > 0 && job.done() == 0);
    if (hasUnresolvedFailures
        && job.runningSince(task) != MonotonicTime.UNSET
        && runtime.now() - job.runningSince(task) >= MIN_HEALTHY_RUN_MS) {
      onTaskSucceeded(machine, job);
    }
  }

  /**
   * Re-evaluates a machine with unexplained failures, since a job that failed there may have become
   * suspect or healthy in the meantime.
   */
  public void reassess(Machine machine) {
    if (machine.failures.unexplainedCount() > 0) {
      machine.failures.setUnexplainedCount(attribution.unexplainedFailures(machine.index));
      machine.failures.blockUntil(
          machine.failures.unexplainedCount() == 0 ? 0 : machine.failures.blockedUntil());
      quarantineIfFaulty(machine);
    }
  }

  @Override
  public void onJobEnded(Job job, JobStatus.Phase phase) {
    attribution.forgetJob(job.index);
  }

  /**
   * Returns the number of failed tasks, suspected jobs and quarantined machines, by metric name.
   */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.failures.tasks", (double) failedTasks,
        "snowturn.jobs.suspected", (double) attribution.suspectedJobs(),
        "snowturn.machines.quarantined", (double) quarantinedMachines);
  }
}
