package org.snowturn.core.health;

import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.IntHashSet;

/**
 * Attributes failures of tasks to their job, which may have been submitted with a mistake, or to
 * their machine, which may be faulty. A job becomes healthy with the first success of one of its
 * tasks and stays so. A machine becomes healthy with a success of any task there and stays so until
 * a task of a healthy job fails on it.
 *
 * <ul>
 *   <li>A job without any success is suspected once it has failed on two healthy machines, or on
 *       four machines of any kind. A later success clears it.
 *   <li>A machine is faulty once tasks of healthy jobs have failed on it a given number of times
 *       without a success in between. Failures of a job that is not known to be healthy count only
 *       if the job turns out to be healthy later. Failures of several unknown jobs on one machine
 *       prove nothing, since after a change of leader all broken jobs are tried again at once.
 * </ul>
 *
 * <p>Jobs and machines are identified by dense indices. Memory is bounded by the jobs that are not
 * over yet and the machines with recorded results.
 */
public final class FailureAttribution {
  /** Minimum number of healthy machines with failures at which a job is suspected. */
  private static final int MIN_HEALTHY_MACHINES_TO_SUSPECT_JOB = 2;

  /** Minimum number of machines of any kind with failures at which a job is suspected. */
  private static final int MIN_MACHINES_TO_SUSPECT_JOB = 4;

  /** Maximum number of machines with failures remembered per job. */
  private static final int MAX_MACHINES_PER_JOB = 16;

  /** Results of the tasks of one job. */
  private static final class JobHistory {
    private final IntHashSet failedMachines = new IntHashSet();
    private int failedHealthyMachines;
    private boolean isHealthy;
    private boolean isSuspected;
  }

  /** Results of the tasks on one machine. */
  private static final class MachineHistory {
    /** Number of failures by job since the last success on the machine. */
    private final Int2IntHashMap failuresByJob = new Int2IntHashMap(0);

    /** Number of failures of healthy jobs that are over, since the last success on the machine. */
    private int failuresOfFinishedJobs;

    private boolean isHealthy;
  }

  private final Int2ObjectHashMap<JobHistory> jobs = new Int2ObjectHashMap<>();
  private final Int2ObjectHashMap<MachineHistory> machines = new Int2ObjectHashMap<>();
  private final int minFailuresOfFaultyMachine;

  /**
   * Creates an attribution without any recorded result.
   *
   * @param minFailuresOfFaultyMachine number of failures of healthy jobs without a success in
   *     between at which a machine is faulty
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

  /** Records that a task of the job succeeded on the machine. */
  public void onTaskSucceeded(int job, int machine) {
    markJobHealthy(job);
    MachineHistory history = machineHistory(machine);
    history.failuresByJob.clear();
    history.failuresOfFinishedJobs = 0;
    history.isHealthy = true;
  }

  /** Records that a task of the job is known to have succeeded on some machine. */
  public void markJobHealthy(int job) {
    JobHistory history = jobHistory(job);
    history.isHealthy = true;
    history.isSuspected = false;
  }

  /** Records that a task of the job failed on the machine. */
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

  /** Returns whether the job seems to fail on every machine that runs it. */
  public boolean isJobSuspected(int job) {
    JobHistory history = jobs.get(job);
    return history != null && history.isSuspected;
  }

  /** Returns whether a task has succeeded on the machine and no healthy job failed there since. */
  public boolean isMachineHealthy(int machine) {
    MachineHistory history = machines.get(machine);
    return history != null && history.isHealthy;
  }

  /**
   * Returns the number of failures on the machine since the last success there, without those of
   * suspected jobs.
   */
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

  /** Returns whether every task that starts on the machine seems to fail there. */
  public boolean isMachineFaulty(int machine) {
    return countFailures(machine, true) >= minFailuresOfFaultyMachine;
  }

  /**
   * Removes a job that is over. Its failures keep counting against the machines if it was healthy.
   */
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

  /** Returns the number of suspected jobs. */
  public int suspectedJobs() {
    int count = 0;
    for (JobHistory history : jobs.values()) {
      count += history.isSuspected ? 1 : 0;
    }
    return count;
  }
}
