package org.snowturn.core.model;

/** What failures of tasks tell of a machine. Times are those of the core's clock. */
public final class MachineFailures {
  private int unexplained;
  private boolean sound;
  private long blockedUntil;

  /** Failures there since the last success that no suspect job explains. */
  public int unexplained() {
    return unexplained;
  }

  /** Whether work has succeeded there and no sound job has failed since. */
  public boolean isHealthy() {
    return sound;
  }

  /** Nothing new goes there before, since what failed there last may be the machine's fault. */
  public long blockedUntil() {
    return blockedUntil;
  }

  /** A task has succeeded there, or keeps running. */
  public void recordSuccess() {
    unexplained = 0;
    sound = true;
    blockedUntil = 0;
  }

  /** A task has failed there; whether the machine is sound by now. */
  public void recordFailure(boolean stillSound) {
    sound = stillSound;
  }

  /** So many failures there are not explained by suspect jobs. */
  public void setUnexplained(int count) {
    unexplained = count;
  }

  /** Nothing new goes there before this time; 0 if nothing speaks against it. */
  public void blockUntil(long until) {
    blockedUntil = until;
  }
}
