package org.snowturn.core.act;

import java.util.Map;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.evidence.FailureAttribution;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobView;

/**
 * What follows from tasks that fail. Work goes on where it can: a machine is not kept from sound
 * work since a job that was submitted with a mistake failed there (one in 25 jobs of some days,
 * with dozens of tasks each, which had blocked a tenth of the fleet for up to half a minute), and
 * such a job gets a trial now and then, but no more.
 */
public final class Failures implements Ledger.Listener {
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long LONGEST_PAUSE_MS = 30_000;
  private static final long UNEXPLAINED_MS = 2_000;

  /** So many machines are remembered for a job that fails. */
  private static final int REMEMBERED = 64;

  /** Who has run for so long has not failed at its start. */
  private static final long PROVEN_BY_RUNNING_MS = 20_000;

  private final Calls calls;
  private final FailureAttribution blame;
  private long failed;
  private long condemned;

  /** Knows of no failure yet; so many of sound jobs in a row take a machine out of use. */
  public Failures(Calls calls, int sickErrors) {
    this.calls = calls;
    this.blame = new FailureAttribution(sickErrors);
  }

  /** The task has its result. */
  void succeeded(Machine m, Job j) {
    if (j.suspect) {
      calls.note(j.spec.id() + " has succeeded on " + m.id + ": no longer suspect");
    }
    blame.succeeded(j.index, m.index);
    j.suspect = false;
    j.trials = 0;
    j.backOffUntil = 0;
    m.unexplainedFailures = 0;
    m.sound = true;
    m.blockedForFailures = 0;
  }

  /** The task has failed; it waits again after this. */
  void failed(Machine m, Job j, int t) {
    failed++;
    calls.note(j.spec.id() + "/" + t + " failed on " + m.id);
    if (j.done > 0) {
      blame.proven(j.index); // also by what earlier leaders have recorded
    }
    blame.failed(j.index, m.index);
    j.failures++;
    j.avoid.put(t, m.index);
    if (j.failedOn.size() >= REMEMBERED) {
      j.failedOn.clear();
    }
    j.failedOn.add(m.index);
    m.sound = blame.sound(m.index);
    if (blame.suspect(j.index)) {
      suspect(j);
    }
    m.unexplainedFailures = blame.unexplained(m.index);
    condemnIfSick(m);
    if (!m.sound && m.unexplainedFailures > 0) {
      int n = Math.min(4, m.unexplainedFailures - 1);
      m.blockedForFailures = calls.now() + (UNEXPLAINED_MS << n);
    } else {
      m.blockedForFailures = 0;
    }
  }

  private void condemnIfSick(Machine m) {
    if (!m.sick && blame.sick(m.index)) {
      m.sick = true;
      condemned++;
      calls.note(m.id + " taken out of use: " + m.unexplainedFailures + " failures of sound jobs");
    }
  }

  private void suspect(Job j) {
    if (!j.suspect) {
      j.suspect = true;
      calls.note(j.spec.id() + " is suspect: its tasks fail on one machine after another");
    }
    int n = Math.min(8, j.trials++);
    j.backOffUntil = calls.now() + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << n);
  }

  /**
   * The task has been running for a while, on this machine, under this leader: what was submitted
   * with a mistake fails as soon as it starts, and so does whatever a sick machine starts. Replicas
   * have no other success.
   */
  void keepsRunning(Machine m, Job j, int t) {
    boolean tells = m.unexplainedFailures > 0 || (j.failures > 0 && j.done == 0);
    if (tells && j.since[t] != Job.UNKNOWN && calls.now() - j.since[t] >= PROVEN_BY_RUNNING_MS) {
      succeeded(m, j);
    }
  }

  /** Looks again at a machine: a job that failed there may have turned out suspect, or sound. */
  public void review(Machine m) {
    if (m.unexplainedFailures > 0) {
      m.unexplainedFailures = blame.unexplained(m.index);
      m.blockedForFailures = m.unexplainedFailures == 0 ? 0 : m.blockedForFailures;
      condemnIfSick(m);
    }
  }

  @Override
  public void over(Job j, JobView.Phase phase) {
    blame.forgetJob(j.index);
  }

  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.failures.tasks", (double) failed,
        "snowturn.jobs.suspect", (double) blame.suspects(),
        "snowturn.machines.condemned", (double) condemned);
  }
}
