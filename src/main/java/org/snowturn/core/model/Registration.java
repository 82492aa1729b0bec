package org.snowturn.core.model;

/** The state of a machine's entry in the stored registry of machines in use. */
enum Registration {
  /** There is no entry. */
  NONE,
  /** The entry is being written. */
  IN_PROGRESS,
  /** The entry is durable. */
  DURABLE
}
