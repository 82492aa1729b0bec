package org.snowturn.core.api;

/** Cancellations that are known to this node. */
public interface CancelledJobs {
  /** Records that a user is about to receive the confirmation that the job is cancelled. */
  void confirm(String job);

  /**
   * Returns whether the job is known to be cancelled. A job for which this returns false may have
   * been cancelled as well.
   */
  boolean isKnownCancelled(String job);

  /**
   * Returns whether a job that is not known to be cancelled may be reported as live. This is the
   * case while no cancellation that this node may have missed is due yet.
   */
  boolean canReportLive();
}
