package org.snowturn.core.assignment;

/** What this node knows of cancellations that users were told of, by whichever node. */
public interface KnownCancellations {
  /** Whether the job is known to be cancelled; that it is not known proves nothing. */
  boolean isCancelled(String job);

  /** Every cancellation that a user was told of before this moment is known. */
  long knownUntil();

  /**
   * Whether a worker that is answered now would, if it were never answered again, lapse in time for
   * a cancellation that a user was told of after {@code confirmedAfter}.
   */
  boolean leaseExpiresInTime(long confirmedAfter);
}
