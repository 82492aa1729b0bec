package org.snowturn.core.assignment;

/** The cancellations, confirmed to users by any node, that this node knows of. */
public interface KnownCancellations {
  /**
   * Returns whether the job is known to be cancelled. A job for which this returns false may still
   * have been cancelled through another node.
   */
  boolean isKnownCancelled(String job);

  /** Returns the time before which every cancellation confirmed to a user is known to this node. */
  long knownUntil();

  /**
   * Returns whether a worker lease that is renewed now, and never again, would expire in time for a
   * cancellation.
   *
   * @param confirmedAfter time after which the cancellation was confirmed to the user
   */
  boolean wouldLeaseExpireInTime(long confirmedAfter);
}
