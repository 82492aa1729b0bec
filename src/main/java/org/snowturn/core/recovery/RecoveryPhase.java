package org.snowturn.core.recovery;

/** Phases of the recovery of cluster state at the beginning of a leader's term, in order. */
public enum RecoveryPhase {
  /**
   * This node has the fencing token of the term. No records are read yet, so no decisions are made.
   */
  WON(0),
  /** The stored records are being read. Workers are answered so that their leases are renewed. */
  READING(1),
  /**
   * All records are read. Machines that have acknowledged the token may get tasks; the others are
   * probed.
   */
  PROBING(2),
  /**
   * Every recorded machine has acknowledged the token, has ended, or is being terminated since it
   * does not answer.
   */
  RECONCILED(3),
  /** Every task that an earlier leader started is confirmed to be running or to have ended. */
  NORMAL(4);

  private final int number;

  RecoveryPhase(int number) {
    this.number = number;
  }

  /** Returns the number of the phase in metrics; phases are numbered from 0 in their order. */
  public int number() {
    return number;
  }
}
