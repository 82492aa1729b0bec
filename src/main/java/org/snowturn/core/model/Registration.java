package org.snowturn.core.model;

/** Whether a machine is entered in the stored registry of machines in use. */
enum Registration {
  /** Not yet. */
  NONE,
  /** Its entry is being written. */
  IN_PROGRESS,
  /** Its entry is durable. */
  DURABLE
}
