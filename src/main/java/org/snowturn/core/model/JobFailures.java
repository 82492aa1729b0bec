package org.snowturn.core.model;

import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.IntHashSet;

/** The failure history of one job's tasks. Times are milliseconds of the monotonic clock. */
public final class JobFailures {
  private static final int NO_MACHINE = -1;

  /** Maximum number of machines in {@link #failedOn}; it is cleared when it is full. */
  private static final int MAX_MACHINES = 64;

  /** The machine that each task must not be placed on again, by task index. */
  private final Int2IntHashMap excludedMachine = new Int2IntHashMap(NO_MACHINE);

  /** The machines on which the job has failed recently. */
  private final IntHashSet failedOn = new IntHashSet();

  private int count;
  private boolean suspect;
  private int probeCount;
  private long backOffUntil;

  /**
   * Records that a task has failed on a machine, and excludes the machine for this task.
   *
   * @param task the index of the task
   * @param machine the index of the machine
   */
  public void recordFailure(int task, int machine) {
    count++;
    excludedMachine.put(task, machine);
    if (failedOn.size() >= MAX_MACHINES) {
      failedOn.clear();
    }
    failedOn.add(machine);
  }

  /** Returns the number of failures. */
  public int count() {
    return count;
  }

  /**
   * Returns whether the job itself is suspected as the cause of its failures, since its tasks seem
   * to fail on every machine. A suspected job gets only probes: single tasks, with growing pauses.
   */
  public boolean isSuspect() {
    return suspect;
  }

  /** Marks the job as suspected, since its tasks seem to fail on every machine. */
  public void markSuspected() {
    suspect = true;
  }

  /** Clears the suspicion and the pause between probes. */
  public void clearSuspicion() {
    suspect = false;
    probeCount = 0;
    backOffUntil = 0;
  }

  /**
   * Returns the number of failed probes since the job became suspected; the failure that made it
   * suspected counts as the first.
   */
  public int probeCount() {
    return probeCount;
  }

  /** Counts a failed probe. */
  public void recordFailedProbe() {
    probeCount++;
  }

  /** Returns the time before which no task of the job is placed. */
  public long backOffUntil() {
    return backOffUntil;
  }

  /** Sets the time before which no task of the job is placed. */
  public void backOff(long until) {
    backOffUntil = until;
  }

  /** Excludes a machine for a task, in place of the one excluded before. */
  public void exclude(int task, int machine) {
    excludedMachine.put(task, machine);
  }

  /** Returns the index of the machine that is excluded for the task; -1 if there is none. */
  public int excludedMachine(int task) {
    return excludedMachine.get(task);
  }

  /** Drops the exclusion of a task that is done. */
  void forgetTask(int task) {
    excludedMachine.remove(task);
  }

  /** Returns whether a task of the job has failed recently on the machine with this index. */
  public boolean hasFailedOn(int machine) {
    return failedOn.contains(machine);
  }
}
