package org.snowturn.core.election;

import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;

/**
 * The leader's lease in the state service and the time until which authority can be based on it.
 * That time is one time-to-live after the last successful renewal was <em>sent</em>, less the
 * maximum clock drift and a margin. The leader thus stops before the state service can expire the
 * lease.
 */
final class LeaderLease {
  /** Margin for the time between the check of the lease and the action that depends on it. */
  private static final long MARGIN_MS = 20;

  /** Minimum time-to-live of the lease. */
  private static final double MIN_TTL_S = 0.5;

  /** Maximum time-to-live of the lease if the tunables set none. */
  private static final double MAX_DEFAULT_TTL_S = 2.5;

  /**
   * Default time-to-live as a share of the worker lease. It is well below 1 because workers must
   * find a new leader before their own leases expire.
   */
  private static final double DEFAULT_TTL_SHARE_OF_WORKER_LEASE = 0.25;

  /** Time reserved for a new leader to carry out a cancellation of the previous leader. */
  private static final double CANCELLATION_RESERVE_S = 2;

  private final CoreRuntime runtime;
  private final long ttlMs;
  private long id;
  private long requestedAt;
  private long validUntil = Long.MIN_VALUE;
  private long renewalFailingSince = MonotonicTime.UNSET;
  private boolean offered;

  /** Creates a lease that has not been requested yet. */
  LeaderLease(CoreRuntime runtime, long ttlMs) {
    this.runtime = runtime;
    this.ttlMs = ttlMs;
  }

  /** Returns the time-to-live of the lease for the given settings, in milliseconds. */
  static long ttlMs(Settings settings, Tunables tunables) {
    double ttlS =
        tunables.leaderTtlS() > 0
            ? tunables.leaderTtlS()
            : Math.min(
                MAX_DEFAULT_TTL_S, settings.workers().leaseS() * DEFAULT_TTL_SHARE_OF_WORKER_LEASE);
    // The next leader must be able to carry out a cancellation in time even if the task ends only
    // when the worker's lease expires.
    double maxS =
        settings.workers().cancellationDeadlineS()
            - settings.workers().leaseS()
            - CANCELLATION_RESERVE_S;
    return (long) (1000 * Math.max(MIN_TTL_S, Math.min(ttlS, maxS)));
  }

  /** Returns the time-to-live of the lease, in milliseconds. */
  long ttlMs() {
    return ttlMs;
  }

  /** Returns the ID of the lease in the state service. */
  long id() {
    return id;
  }

  /**
   * Returns the time until which authority can be based on the lease, in milliseconds of the
   * monotonic clock.
   */
  long validUntil() {
    return validUntil;
  }

  /** Returns whether authority can be based on the lease now. */
  boolean isValid() {
    return runtime.now() < validUntil;
  }

  /** Returns whether the lease has been offered to peers, which can revoke it at any time. */
  boolean isOffered() {
    return offered;
  }

  /**
   * Returns the time at which the first renewal that failed since the last success was sent, in
   * milliseconds of the monotonic clock; {@link MonotonicTime#UNSET} if the last renewal succeeded.
   */
  long renewalFailingSince() {
    return renewalFailingSince;
  }

  /** Returns whether the last renewal failed. */
  boolean isRenewalFailing() {
    return renewalFailingSince != MonotonicTime.UNSET;
  }

  /** Records that a request for a new lease is sent now. */
  void onRequestSent() {
    requestedAt = runtime.now();
  }

  /** Records the ID of the lease that was granted. Authority is not yet based on it. */
  void onGranted(long leaseId) {
    id = leaseId;
  }

  /** Makes the lease that was granted last the basis of authority. */
  void activate() {
    offered = false;
    onRenewed(requestedAt);
  }

  /**
   * Extends the validity of the lease after a successful renewal.
   *
   * @param sentAt the time at which the renewal was sent, in milliseconds of the monotonic clock
   */
  void onRenewed(long sentAt) {
    validUntil = sentAt + ClockDrift.minElapsedMs((double) ttlMs) - MARGIN_MS;
    renewalFailingSince = MonotonicTime.UNSET;
  }

  /**
   * Records a failed renewal.
   *
   * @param sentAt the time at which the renewal was sent, in milliseconds of the monotonic clock
   */
  void onRenewalFailed(long sentAt) {
    if (!isRenewalFailing()) {
      renewalFailingSince = sentAt;
    }
  }

  /** Records that the lease is offered to peers. Authority is no longer based on it. */
  void onOffered() {
    invalidate();
    offered = true;
  }

  /** Makes the lease invalid. Authority is no longer based on it. */
  void invalidate() {
    validUntil = Long.MIN_VALUE;
  }
}
