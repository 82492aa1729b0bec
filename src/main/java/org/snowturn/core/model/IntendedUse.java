package org.snowturn.core.model;

/** What a machine is meant for. */
enum IntendedUse {
  /** It takes work. */
  IN_USE,
  /** It is drained, since it is not needed. */
  SCALING_IN,
  /** It is to be deleted. */
  TERMINATING
}
