package org.snowturn.core.assignment;

import org.snowturn.core.model.Job;
import org.snowturn.wire.JobStatus;

/** Is told how jobs come and go. */
public interface JobListener {
  /** A live job has become known. */
  default void onJobAdded(Job job) {}

  /** A job's record says that it is cancelled. */
  default void onJobCancelled(Job job) {}

  /** The job's record is no longer live; {@code phase} is null where that is all that is known. */
  default void onJobEnded(Job job, JobStatus.Phase phase) {}
}
