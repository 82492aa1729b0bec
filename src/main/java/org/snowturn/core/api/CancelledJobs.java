package org.snowturn.core.api;

/** What this node knows of cancellations. */
public interface CancelledJobs {
  /** A user is about to be told that the job is cancelled. */
  void confirm(String job);

  /** Whether the job is known to be cancelled; that it is not known proves nothing. */
  boolean isKnownCancelled(String job);

  /** Whether a cancellation that is not known here would not be due yet. */
  boolean canReportLive();
}
