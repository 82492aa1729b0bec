package org.snowturn.core.model;

/** What the leader intends to do with a machine. */
enum IntendedUse {
  /** The machine runs tasks. */
  IN_USE,
  /** The machine is drained, since it is not needed. */
  SCALING_IN,
  /** The machine is to be deleted. */
  TERMINATING
}
