package org.snowturn.core.health;

import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.IntHashSet;

/**
 * Whose fault it is when a task fails: its job's, which was submitted with a mistake, or its
 * machine's. Each is judged by the other. A job any task of which has succeeded is healthy, for
 * good; a machine is healthy from a success there until a healthy job fails on it.
 *
 * <ul>
 *   <li>A job without any success is suspected once it has failed on two healthy machines, or on
 *       four of which nothing is known. It never is for good: one success clears it.
 *   <li>A machine is faulty once healthy jobs have failed there so often, without a success
 *       between. Failures of a job that is not known to be healthy wait: they count when it turns
 *       out to be. (Three unknown jobs on one machine are no proof: after a change of leader, all
 *       broken ones are tried anew at once.)
 * </ul>
 *
 * Jobs and machines are dense indices. What is kept is bounded by what has failed lately.
 */
public final class FailureAttribution {
  /** Failures on so many healthy machines make a job suspected. */
  private static final int MIN_HEALTHY_MACHINES_TO_SUSPECT_JOB = 2;

  /** Failures on so many machines, whatever is known of them, make a job suspected. */
  private static final int MIN_MACHINES_TO_SUSPECT_JOB = 4;

  /** So many machines are remembered for each job. */
  private static final int MAX_MACHINES_PER_JOB = 16;

  /** What is known of a job. */
  private static final class JobHistory {
    private final IntHashSet failedMachines = new IntHashSet();
    private int failedHealthyMachines;
    private boolean isHealthy;
    private boolean isSuspected;
  }

  /** What is known of a machine. */
  private static final class MachineHistory {
    /** Failures of each job since the last success. */
    private final Int2IntHashMap failuresByJob = new Int2IntHashMap(0);

    /** Failures since then of healthy jobs that are over. */
    private int failuresOfFinishedJobs;

    private boolean isHealthy;
  }

  private final Int2ObjectHashMap<JobHistory> jobs = new Int2ObjectHashMap<>();
  private final Int2ObjectHashMap<MachineHistory> machines = new Int2ObjectHashMap<>();
  private final int minFailuresOfFaultyMachine;

  /**
   * Knows of no failure yet.
   *
   * @param minFailuresOfFaultyMachine so many failures of healthy jobs in a row make a machine
   *     faulty
   */
  public FailureAttribution(int minFailuresOfFaultyMachine) {
    this.minFailuresOfFaultyMachine = minFailuresOfFaultyMachine;
  }

  private JobHistory jobHistory(int job) {
    return jobs.computeIfAbsent(job, index -> new JobHistory());
  }

  private MachineHistory machineHistory(int machine) {
    return machines.computeIfAbsent(machine, index -> new MachineHistory());
  }

  /** A task of the job has succeeded on the machine. */
  public void onTaskSucceeded(int job, int machine) {
    markJobHealthy(job);
    MachineHistory history = machineHistory(machine);
    history.failuresByJob.clear();
    history.failuresOfFinishedJobs = 0;
    history.isHealthy = true;
  }

  /** A task of the job is known to have succeeded somewhere. */
  public void markJobHealthy(int job) {
    JobHistory history = jobHistory(job);
    history.isHealthy = true;
    history.isSuspected = false;
  }

  /** A task of the job has failed on the machine. */
  public void onTaskFailed(int job, int machine) {
    JobHistory jobHistory = jobHistory(job);
    MachineHistory machineHistory = machineHistory(machine);
    machineHistory.failuresByJob.put(job, machineHistory.failuresByJob.get(job) + 1);
    boolean isNewMachine =
        jobHistory.failedMachines.size() < MAX_MACHINES_PER_JOB
            && jobHistory.failedMachines.add(machine);
    if (jobHistory.isHealthy) {
      machineHistory.isHealthy = false;
      return;
    }
    jobHistory.failedHealthyMachines += isNewMachine && machineHistory.isHealthy ? 1 : 0;
    jobHistory.isSuspected =
        jobHistory.failedHealthyMachines >= MIN_HEALTHY_MACHINES_TO_SUSPECT_JOB
            || jobHistory.failedMachines.size() >= MIN_MACHINES_TO_SUSPECT_JOB;
  }

  /** Whether the job seems to fail wherever it runs. */
  public boolean isJobSuspected(int job) {
    JobHistory history = jobs.get(job);
    return history != null && history.isSuspected;
  }

  /** Whether work has succeeded on the machine, and no healthy job has failed there since. */
  public boolean isMachineHealthy(int machine) {
    MachineHistory history = machines.get(machine);
    return history != null && history.isHealthy;
  }

  /** Failures there since the last success that no suspected job explains. */
  public int unexplainedFailures(int machine) {
    return countFailures(machine, false);
  }

  private int countFailures(int machine, boolean ofHealthyJobsOnly) {
    MachineHistory machineHistory = machines.get(machine);
    if (machineHistory == null) {
      return 0;
    }
    int[] count = {machineHistory.failuresOfFinishedJobs};
    machineHistory.failuresByJob.forEachInt(
        (job, failures) -> {
          JobHistory jobHistory = jobs.get(job);
          if (jobHistory != null
              && (ofHealthyJobsOnly ? jobHistory.isHealthy : !jobHistory.isSuspected)) {
            count[0] += failures;
          }
        });
    return count[0];
  }

  /** Whether whatever starts on the machine seems to fail. */
  public boolean isMachineFaulty(int machine) {
    return countFailures(machine, true) >= minFailuresOfFaultyMachine;
  }

  /** The job is over. What it told of machines stays if it was healthy. */
  public void forgetJob(int job) {
    JobHistory jobHistory = jobs.remove(job);
    if (jobHistory == null) {
      return;
    }
    jobHistory.failedMachines.forEachInt(
        machine -> {
          MachineHistory machineHistory = machines.get(machine);
          int failures = machineHistory == null ? 0 : machineHistory.failuresByJob.remove(job);
          if (machineHistory != null && jobHistory.isHealthy) {
            machineHistory.failuresOfFinishedJobs += failures;
          }
        });
  }

  /** How many jobs are suspected. */
  public int suspectedJobs() {
    int count = 0;
    for (JobHistory history : jobs.values()) {
      count += history.isSuspected ? 1 : 0;
    }
    return count;
  }
}
