package org.snowturn.core.election;

import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;

/**
 * The lease in the state service that a leader holds, and how long authority may rest on it: one
 * time-to-live after the last successful renewal was <em>sent</em>, less the drift of the clocks,
 * so it always ends before the state service can end the lease.
 */
final class LeaderLease {
  /** For the time between the check of the lease and what is done on its strength. */
  private static final long MARGIN_MS = 20;

  private static final double MIN_TTL_S = 0.5;
  private static final double MAX_DEFAULT_TTL_S = 2.5;

  /** Within a worker's lease, workers have to find a new leader. */
  private static final double DEFAULT_SHARE_OF_WORKER_LEASE = 0.25;

  /** The time that a new leader has to carry out an earlier leader's cancellation. */
  private static final double CANCELLATION_RESERVE_S = 2;

  private final CoreRuntime runtime;
  private final long ttlMs;
  private long id;
  private long requestedAt;
  private long validUntil = Long.MIN_VALUE;
  private long renewalFailingSince = MonotonicTime.NEVER;
  private boolean offered;

  LeaderLease(CoreRuntime runtime, long ttlMs) {
    this.runtime = runtime;
    this.ttlMs = ttlMs;
  }

  /** The time-to-live in milliseconds that the settings allow. */
  static long ttlMs(Settings settings, Tunables tunables) {
    double ttlS =
        tunables.leaderTtlS() > 0
            ? tunables.leaderTtlS()
            : Math.min(
                MAX_DEFAULT_TTL_S, settings.workers().leaseS() * DEFAULT_SHARE_OF_WORKER_LEASE);
    // The next leader must carry out a cancellation even where only the worker's lease ends tasks.
    double maxS =
        settings.workers().cancellationDeadlineS()
            - settings.workers().leaseS()
            - CANCELLATION_RESERVE_S;
    return (long) (1000 * Math.max(MIN_TTL_S, Math.min(ttlS, maxS)));
  }

  long ttlMs() {
    return ttlMs;
  }

  /** Names the lease in the state service. */
  long id() {
    return id;
  }

  /** Until when authority may rest on the lease, in milliseconds of the steady clock. */
  long validUntil() {
    return validUntil;
  }

  /** Whether authority may rest on the lease now. */
  boolean valid() {
    return runtime.now() < validUntil;
  }

  /** Whether peers have been asked to end the lease: it may end at any time. */
  boolean offered() {
    return offered;
  }

  /**
   * When the first of the renewals was sent that have failed since the last success; {@link
   * MonotonicTime#NEVER} if the last one succeeded.
   */
  long renewalFailingSince() {
    return renewalFailingSince;
  }

  /** Whether the last renewal failed. */
  boolean renewalFailing() {
    return renewalFailingSince != MonotonicTime.NEVER;
  }

  /** A lease is asked for now. */
  void requested() {
    requestedAt = runtime.now();
  }

  /** The lease that was asked for was granted; nothing rests on it yet. */
  void granted(long lease) {
    id = lease;
  }

  /** From now on leadership rests on the lease that was granted last. */
  void activate() {
    offered = false;
    renewed(requestedAt);
  }

  /** A renewal that was sent at this moment has succeeded. */
  void renewed(long sentAt) {
    validUntil = sentAt + ClockDrift.minElapsedMs((double) ttlMs) - MARGIN_MS;
    renewalFailingSince = MonotonicTime.NEVER;
  }

  /** A renewal that was sent at this moment has failed. */
  void renewalFailed(long sentAt) {
    if (!renewalFailing()) {
      renewalFailingSince = sentAt;
    }
  }

  /** Peers are asked to end the lease: nothing rests on it any more. */
  void offer() {
    invalidate();
    offered = true;
  }

  /** Nothing rests on the lease any more. */
  void invalidate() {
    validUntil = Long.MIN_VALUE;
  }
}
