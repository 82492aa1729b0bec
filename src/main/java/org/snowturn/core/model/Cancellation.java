package org.snowturn.core.model;

/** What the leader knows about the cancellation of a job. */
enum Cancellation {
  /** No cancellation is known. */
  NONE,
  /** A user has received a confirmation, but the job's record has not been read since. */
  CONFIRMED,
  /** The job's stored record says that the job is cancelled. */
  RECORDED
}
