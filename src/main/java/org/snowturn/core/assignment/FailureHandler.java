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
 * What follows from tasks that fail. Work goes on where it can: a machine is not kept from sound
 * work since a job that was submitted with a mistake failed there, and such a job gets a trial now
 * and then, but no more.
 */
public final class FailureHandler implements JobListener {
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 30_000;
  private static final int MAX_PAUSE_DOUBLINGS = 8;
  private static final long UNEXPLAINED_MS = 2_000;
  private static final int MAX_UNEXPLAINED_DOUBLINGS = 4;

  /** Who has run for so long has not failed at its start. */
  private static final long PROVEN_BY_RUNNING_MS = 20_000;

  private final CoreRuntime runtime;
  private final FailureAttribution attribution;
  private long failed;
  private long quarantined;

  /** Knows of no failure yet; so many of sound jobs in a row take a machine out of use. */
  public FailureHandler(CoreRuntime runtime, int sickErrors) {
    this.runtime = runtime;
    this.attribution = new FailureAttribution(sickErrors);
  }

  /** The task has its result. */
  void succeeded(Machine machine, Job job) {
    if (job.failures.isSuspect()) {
      runtime
          .events()
          .info(LogEvent.JOB_CLEARED)
          .with(LogField.JOB, job.spec.id())
          .with(LogField.MACHINE, machine.id)
          .write();
    }
    attribution.succeeded(job.index, machine.index);
    job.failures.clearSuspicion();
    machine.failures.recordSuccess();
  }

  /** The task has failed; it waits again after this. */
  void failed(Machine machine, Job job, int task) {
    failed++;
    runtime
        .events()
        .info(LogEvent.TASK_FAILED)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.MACHINE, machine.id)
        .write();
    if (job.done() > 0) {
      attribution.proven(job.index); // also by what earlier leaders have recorded
    }
    attribution.failed(job.index, machine.index);
    job.failures.recordFailure(task, machine.index);
    machine.failures.recordFailure(attribution.isHealthy(machine.index));
    if (attribution.isSuspected(job.index)) {
      suspect(job);
    }
    machine.failures.setUnexplained(attribution.unexplainedFailures(machine.index));
    quarantineIfSick(machine);
    if (!machine.failures.isHealthy() && machine.failures.unexplained() > 0) {
      int doublings = Math.min(MAX_UNEXPLAINED_DOUBLINGS, machine.failures.unexplained() - 1);
      machine.failures.blockUntil(runtime.now() + (UNEXPLAINED_MS << doublings));
    } else {
      machine.failures.blockUntil(0);
    }
  }

  private void quarantineIfSick(Machine machine) {
    if (!machine.isQuarantined() && attribution.isFaulty(machine.index)) {
      machine.quarantine();
      quarantined++;
      runtime
          .events()
          .info(LogEvent.MACHINE_QUARANTINED)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.FAILURES, machine.failures.unexplained())
          .write();
    }
  }

  private void suspect(Job job) {
    if (!job.failures.isSuspect()) {
      job.failures.markSuspect();
      runtime
          .events()
          .info(LogEvent.JOB_SUSPECTED)
          .with(LogField.JOB, job.spec.id())
          .with(LogField.FAILURES, job.failures.count())
          .write();
    }
    int doublings = Math.min(MAX_PAUSE_DOUBLINGS, job.failures.probeCount());
    job.failures.recordFailedProbe();
    job.failures.backOff(runtime.now() + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings));
  }

  /**
   * The task has been running for a while, on this machine, under this leader: what was submitted
   * with a mistake fails as soon as it starts, and so does whatever a sick machine starts. Replicas
   * have no other success.
   */
  void keepsRunning(Machine machine, Job job, int task) {
    boolean tells =
        machine.failures.unexplained() > 0 || (job.failures.count() > 0 && job.done() == 0);
    if (tells
        && job.runningSince(task) != MonotonicTime.NEVER
        && runtime.now() - job.runningSince(task) >= PROVEN_BY_RUNNING_MS) {
      succeeded(machine, job);
    }
  }

  /** Looks again at a machine: a job that failed there may have turned out suspect, or sound. */
  public void review(Machine machine) {
    if (machine.failures.unexplained() > 0) {
      machine.failures.setUnexplained(attribution.unexplainedFailures(machine.index));
      machine.failures.blockUntil(
          machine.failures.unexplained() == 0 ? 0 : machine.failures.blockedUntil());
      quarantineIfSick(machine);
    }
  }

  @Override
  public void over(Job job, JobStatus.Phase phase) {
    attribution.forgetJob(job.index);
  }

  /** How many tasks failed, jobs are suspect and machines were quarantined. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.failures.tasks", (double) failed,
        "snowturn.jobs.suspected", (double) attribution.suspectedJobs(),
        "snowturn.machines.quarantined", (double) quarantined);
  }
}
