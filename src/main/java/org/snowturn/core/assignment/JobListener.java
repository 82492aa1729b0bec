package org.snowturn.core.assignment;

import org.snowturn.core.model.Job;
import org.snowturn.wire.JobStatus;

/** Listener for changes in the set of live jobs. */
public interface JobListener {
  /** Handles a live job that was added to the registry. */
  default void onJobAdded(Job job) {}

  /** Handles a job whose stored record is now known to be cancelled. */
  default void onJobCancelled(Job job) {}

  /**
   * Handles a job that is no longer live.
   *
   * @param phase the final phase of the job; null if it is unknown
   */
  default void onJobEnded(Job job, JobStatus.Phase phase) {}
}
