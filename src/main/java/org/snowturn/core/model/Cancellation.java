package org.snowturn.core.model;

/** What is known of a job's cancellation. */
enum Cancellation {
  /** Nothing. */
  NONE,
  /** A user was told of it, but the job's record has not been read since. */
  CONFIRMED,
  /** The job's stored record says so. */
  RECORDED
}
