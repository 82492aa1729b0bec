package org.snowturn.core.health;

import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.IntHashSet;

/**
 * Whose fault it is when a task fails: its job's, which was submitted with a mistake, or its
 * machine's. Each is judged by the other. A job any task of which has succeeded is sound, for good;
 * a machine is sound from a success there until a sound job fails on it.
 *
 * <ul>
 *   <li>A job without any success is suspect once it has failed on two sound machines, or on four
 *       of which nothing is known. It never is for good: one success clears it.
 *   <li>A machine is sick once sound jobs have failed there so often, without a success between.
 *       Failures of a job that is not known to be sound wait: they count when it turns out to be.
 *       (Three unknown jobs on one machine are no proof: after a change of leader, all broken ones
 *       are tried anew at once.)
 * </ul>
 *
 * Jobs and machines are dense indices. What is kept is bounded by what has failed lately.
 */
public final class FailureAttribution {
  private static final int SOUND_MACHINES = 2;
  private static final int ANY_MACHINES = 4;

  /** So many machines are remembered for each job. */
  private static final int REMEMBERED = 16;

  private static final class JobCase {
    final IntHashSet machines = new IntHashSet();
    int onSound;
    boolean sound;
    boolean suspect;
  }

  private static final class MachineCase {
    /** Failures of each job since the last success. */
    final Int2IntHashMap failures = new Int2IntHashMap(0);

    /** Failures since then of sound jobs that are over. */
    int ofJobsOver;

    boolean sound;
  }

  private final Int2ObjectHashMap<JobCase> jobs = new Int2ObjectHashMap<>();
  private final Int2ObjectHashMap<MachineCase> machines = new Int2ObjectHashMap<>();
  private final int sickAfter;

  /** Knows of no failure yet; so many of sound jobs in a row make a machine sick. */
  public FailureAttribution(int sickAfter) {
    this.sickAfter = sickAfter;
  }

  private JobCase job(int job) {
    return jobs.computeIfAbsent(job, j -> new JobCase());
  }

  private MachineCase machine(int machine) {
    return machines.computeIfAbsent(machine, m -> new MachineCase());
  }

  /** A task of the job has succeeded on the machine. */
  public void succeeded(int job, int machine) {
    proven(job);
    MachineCase m = machine(machine);
    m.failures.clear();
    m.ofJobsOver = 0;
    m.sound = true;
  }

  /** A task of the job is known to have succeeded somewhere. */
  public void proven(int job) {
    JobCase j = job(job);
    j.sound = true;
    j.suspect = false;
  }

  /** A task of the job has failed on the machine. */
  public void failed(int job, int machine) {
    JobCase j = job(job);
    MachineCase m = machine(machine);
    m.failures.put(job, m.failures.get(job) + 1);
    boolean first = j.machines.size() < REMEMBERED && j.machines.add(machine);
    if (j.sound) {
      m.sound = false;
      return;
    }
    j.onSound += first && m.sound ? 1 : 0;
    j.suspect = j.onSound >= SOUND_MACHINES || j.machines.size() >= ANY_MACHINES;
  }

  /** Whether the job seems to fail wherever it runs. */
  public boolean suspect(int job) {
    JobCase j = jobs.get(job);
    return j != null && j.suspect;
  }

  /** Whether work has succeeded on the machine, and no sound job has failed there since. */
  public boolean sound(int machine) {
    MachineCase m = machines.get(machine);
    return m != null && m.sound;
  }

  /** Failures there since the last success that no suspect job explains. */
  public int unexplained(int machine) {
    return count(machine, false);
  }

  private int count(int machine, boolean ofSound) {
    MachineCase m = machines.get(machine);
    int[] n = {m == null ? 0 : m.ofJobsOver};
    if (m != null) {
      m.failures.forEachInt(
          (job, times) -> {
            JobCase j = jobs.get(job);
            if (j != null && (ofSound ? j.sound : !j.suspect)) {
              n[0] += times;
            }
          });
    }
    return n[0];
  }

  /** Whether whatever starts on the machine seems to fail. */
  public boolean sick(int machine) {
    return count(machine, true) >= sickAfter;
  }

  /** The job is over. What it told of machines stays if it was sound. */
  public void forgetJob(int job) {
    JobCase j = jobs.remove(job);
    if (j == null) {
      return;
    }
    j.machines.forEachInt(
        machine -> {
          MachineCase m = machines.get(machine);
          int times = m == null ? 0 : m.failures.remove(job);
          if (m != null && j.sound) {
            m.ofJobsOver += times;
          }
        });
  }

  /** How many jobs are suspect. */
  public int suspects() {
    int n = 0;
    for (JobCase j : jobs.values()) {
      n += j.suspect ? 1 : 0;
    }
    return n;
  }
}
