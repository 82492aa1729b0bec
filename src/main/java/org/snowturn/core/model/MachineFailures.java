package org.snowturn.core.model;

/** The failure history of tasks on one machine. Times are milliseconds of the monotonic clock. */
public final class MachineFailures {
  private int unexplainedCount;
  private boolean healthy;
  private long blockedUntil;

  /** Returns the number of failures since the last success that no suspected job explains. */
  public int unexplainedCount() {
    return unexplainedCount;
  }

  /** Returns whether a task has succeeded and no task of a healthy job has failed since. */
  public boolean isHealthy() {
    return healthy;
  }

  /**
   * Returns the time before which the machine gets no new tasks, since it may be the cause of the
   * last failure.
   */
  public long blockedUntil() {
    return blockedUntil;
  }

  /** Records that a task on the machine has succeeded or has been running for a while. */
  public void recordSuccess() {
    unexplainedCount = 0;
    healthy = true;
    blockedUntil = 0;
  }

  /**
   * Records that a task on the machine has failed.
   *
   * @param stillHealthy whether the machine is healthy in spite of this failure
   */
  public void recordFailure(boolean stillHealthy) {
    healthy = stillHealthy;
  }

  /** Sets the number of failures since the last success that no suspected job explains. */
  public void setUnexplainedCount(int count) {
    unexplainedCount = count;
  }

  /** Sets the time before which the machine gets no new tasks; 0 ends the block. */
  public void blockUntil(long until) {
    blockedUntil = until;
  }
}
