package org.snowturn.core.model;

import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.IntHashSet;

/** What failures of its tasks tell of a job. Times are those of the core's clock. */
public final class JobFailures {
  private static final int NONE = -1;

  /** So many machines are remembered on which the job failed. */
  private static final int MAX_MACHINES = 64;

  private final Int2IntHashMap excludedMachine = new Int2IntHashMap(NONE);
  private final IntHashSet failedOn = new IntHashSet();
  private int count;
  private boolean suspect;
  private int probeCount;
  private long backOffUntil;

  /** The task has failed on the machine. */
  public void recordFailure(int task, int machine) {
    count++;
    excludedMachine.put(task, machine);
    if (failedOn.size() >= MAX_MACHINES) {
      failedOn.clear();
    }
    failedOn.add(machine);
  }

  /** How many failures there were. */
  public int count() {
    return count;
  }

  /** Whether its tasks seem to fail wherever they run: it gets a trial now and then. */
  public boolean isSuspect() {
    return suspect;
  }

  /** Its tasks seem to fail wherever they run. */
  public void markSuspect() {
    suspect = true;
  }

  /** Its tasks do not fail wherever they run. */
  public void clearSuspicion() {
    suspect = false;
    probeCount = 0;
    backOffUntil = 0;
  }

  /** Trials in vain since it became suspect. */
  public int probeCount() {
    return probeCount;
  }

  /** A trial was in vain. */
  public void recordFailedProbe() {
    probeCount++;
  }

  /** None of its tasks is placed before this time. */
  public long backOffUntil() {
    return backOffUntil;
  }

  /** None of its tasks is to be placed before this time. */
  public void backOff(long until) {
    backOffUntil = until;
  }

  /** The task is not to go back to this machine. */
  public void exclude(int task, int machine) {
    excludedMachine.put(task, machine);
  }

  /** The index of the machine that the task is not to go back to, or -1. */
  public int excludedMachine(int task) {
    return excludedMachine.get(task);
  }

  /** Whether it has failed lately on the machine with this index. */
  public boolean hasFailedOn(int machine) {
    return failedOn.contains(machine);
  }
}
