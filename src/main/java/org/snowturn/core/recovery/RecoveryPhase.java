package org.snowturn.core.recovery;

/** How far a term of leadership is on its way from nothing to the ordinary path. */
public enum RecoveryPhase {
  /** The token is ours; nothing is known yet, so nothing may be decided. */
  WON(0),
  /** The stored records are being read. Workers are answered, so that their leases go on. */
  READING(1),
  /** All records are known. Machines that have shown the token may get work; others are asked. */
  PROBING(2),
  /** Every machine of the records has shown the token, has ended, or is known not to answer. */
  RECONCILED(3),
  /** The fate of every task that an earlier leader started is known. */
  NORMAL(4);

  private final int number;

  RecoveryPhase(int number) {
    this.number = number;
  }

  /** From 0 on in the order of the phases, as in the metrics. */
  public int number() {
    return number;
  }
}
