package org.snowturn.core.assignment;

import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.FailureAttribution;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobStatus;

/**
 * What follows from tasks that fail. Work goes on where it can: a machine is not kept from sound
 * work since a job that was submitted with a mistake failed there (one in 25 jobs of some days,
 * with dozens of tasks each, which had blocked a tenth of the fleet for up to half a minute), and
 * such a job gets a trial now and then, but no more.
 */
public final class FailureHandler implements TaskAssignments.Listener {
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long LONGEST_PAUSE_MS = 30_000;
  private static final long UNEXPLAINED_MS = 2_000;

  /** So many machines are remembered for a job that fails. */
  private static final int REMEMBERED = 64;

  /** Who has run for so long has not failed at its start. */
  private static final long PROVEN_BY_RUNNING_MS = 20_000;

  private final CoreRuntime runtime;
  private final FailureAttribution blame;
  private long failed;
  private long condemned;

  /** Knows of no failure yet; so many of sound jobs in a row take a machine out of use. */
  public FailureHandler(CoreRuntime runtime, int sickErrors) {
    this.runtime = runtime;
    this.blame = new FailureAttribution(sickErrors);
  }

  /** The task has its result. */
  void succeeded(Machine machine, Job job) {
    if (job.isSuspect()) {
      runtime.note(job.spec.id() + " has succeeded on " + machine.id + ": no longer suspect");
    }
    blame.succeeded(job.index, machine.index);
    job.setSuspect(false);
    job.setProbeCount(0);
    job.setBackOffUntil(0);
    machine.setUnexplainedFailures(0);
    machine.setSound(true);
    machine.setBlockedForFailures(0);
  }

  /** The task has failed; it waits again after this. */
  void failed(Machine machine, Job job, int task) {
    failed++;
    runtime.note(job.spec.id() + "/" + task + " failed on " + machine.id);
    if (job.done() > 0) {
      blame.proven(job.index); // also by what earlier leaders have recorded
    }
    blame.failed(job.index, machine.index);
    job.addFailures(1);
    job.excludedMachine.put(task, machine.index);
    if (job.failedOn.size() >= REMEMBERED) {
      job.failedOn.clear();
    }
    job.failedOn.add(machine.index);
    machine.setSound(blame.sound(machine.index));
    if (blame.suspect(job.index)) {
      suspect(job);
    }
    machine.setUnexplainedFailures(blame.unexplained(machine.index));
    condemnIfSick(machine);
    if (!machine.isSound() && machine.unexplainedFailures() > 0) {
      int n = Math.min(4, machine.unexplainedFailures() - 1);
      machine.setBlockedForFailures(runtime.now() + (UNEXPLAINED_MS << n));
    } else {
      machine.setBlockedForFailures(0);
    }
  }

  private void condemnIfSick(Machine machine) {
    if (!machine.isQuarantined() && blame.sick(machine.index)) {
      machine.quarantine();
      condemned++;
      runtime.note(
          machine.id
              + " taken out of use: "
              + machine.unexplainedFailures()
              + " failures of sound jobs");
    }
  }

  private void suspect(Job job) {
    if (!job.isSuspect()) {
      job.setSuspect(true);
      runtime.note(job.spec.id() + " is suspect: its tasks fail on one machine after another");
    }
    int n = Math.min(8, job.probeCount());
    job.addProbeCount(1);
    job.setBackOffUntil(runtime.now() + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << n));
  }

  /**
   * The task has been running for a while, on this machine, under this leader: what was submitted
   * with a mistake fails as soon as it starts, and so does whatever a sick machine starts. Replicas
   * have no other success.
   */
  void keepsRunning(Machine machine, Job job, int task) {
    boolean tells = machine.unexplainedFailures() > 0 || (job.failures() > 0 && job.done() == 0);
    if (tells
        && job.stateSince(task) != MonotonicTime.NEVER
        && runtime.now() - job.stateSince(task) >= PROVEN_BY_RUNNING_MS) {
      succeeded(machine, job);
    }
  }

  /** Looks again at a machine: a job that failed there may have turned out suspect, or sound. */
  public void review(Machine machine) {
    if (machine.unexplainedFailures() > 0) {
      machine.setUnexplainedFailures(blame.unexplained(machine.index));
      machine.setBlockedForFailures(
          machine.unexplainedFailures() == 0 ? 0 : machine.blockedForFailures());
      condemnIfSick(machine);
    }
  }

  @Override
  public void over(Job job, JobStatus.Phase phase) {
    blame.forgetJob(job.index);
  }

  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.failures.tasks", (double) failed,
        "snowturn.jobs.suspect", (double) blame.suspects(),
        "snowturn.machines.condemned", (double) condemned);
  }
}
