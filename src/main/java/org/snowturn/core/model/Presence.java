package org.snowturn.core.model;

/** Whether a machine exists, as far as the leader knows. */
enum Presence {
  /** It exists. */
  PRESENT,
  /** It is neither heard nor listed; it may turn up again. */
  PRESUMED_GONE,
  /** The cloud has confirmed its deletion. */
  TERMINATED
}
