package org.snowturn.core.recovery;

/** How far a term of leadership is on its way from nothing to the ordinary path. */
public enum RecoveryPhase {
  /** The token is ours; nothing is known yet, so nothing may be decided. */
  WON,
  /** The stored records are being read. Workers are answered, so that their leases go on. */
  READING,
  /** All records are known. Machines that have shown the token may get work; others are asked. */
  PROBING,
  /** Every machine of the records has shown the token, has ended, or is known not to answer. */
  RECONCILED,
  /** The fate of every task that an earlier leader started is known. */
  NORMAL
}
