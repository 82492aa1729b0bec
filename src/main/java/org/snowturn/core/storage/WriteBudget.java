package org.snowturn.core.storage;

import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import org.snowturn.config.Settings.StateLimits;
import org.snowturn.core.admission.RateMeter;

/**
 * Limits the writes of the leader to the state service: a token bucket of changes that is refilled
 * at the leader's share of the write rate, a maximum number of transactions in flight, and a pause
 * after a failure.
 */
final class WriteBudget {
  /** Share of the bucket that is reserved for records that are not deferrable. */
  private static final double RESERVED_SHARE = 0.4;

  private static final int MAX_IN_FLIGHT = 3;
  private static final long WRITE_RATE_WINDOW_MS = 3_000;
  private static final double MS_PER_S = 1000.0;

  private final Supplier<StateLimits> limits;
  private final DoubleUnaryOperator leaderWriteRate;
  private final RateMeter writeRate = new RateMeter(WRITE_RATE_WINDOW_MS);
  private double available;
  private long refilledAtMs;
  private long pausedUntilMs;
  private int inFlight;
  private int maxBatchSize = Integer.MAX_VALUE;

  /**
   * Creates a budget with a full bucket.
   *
   * @param limits supplies the state service's limits
   * @param leaderWriteRate maps the state service's write rate to the leader's part of it; both in
   *     changes per second
   * @param nowMs current time
   */
  WriteBudget(Supplier<StateLimits> limits, DoubleUnaryOperator leaderWriteRate, long nowMs) {
    this.limits = limits;
    this.leaderWriteRate = leaderWriteRate;
    this.available = rate();
    this.refilledAtMs = nowMs;
  }

  /**
   * Returns the leader's write rate in changes per second, which is also the size of the bucket.
   * The rest of the state service's write rate is left to user requests on all nodes.
   */
  double rate() {
    return leaderWriteRate.applyAsDouble(limits.get().maxWriteRps());
  }

  /** Returns the number of changes that only records that are not deferrable may use. */
  double reserved() {
    return rate() * RESERVED_SHARE;
  }

  /** Adds the changes for the time since the last refill. */
  void refill(long nowMs) {
    double rate = rate();
    available = Math.min(rate, available + rate * (nowMs - refilledAtMs) / MS_PER_S);
    refilledAtMs = nowMs;
  }

  /** Returns the number of changes that may be sent now. */
  double available() {
    return available;
  }

  /** Returns the maximum number of changes in a transaction now. */
  int maxChanges() {
    return (int)
        Math.min(Math.min(limits.get().maxTransactionOps(), maxBatchSize), Math.floor(available));
  }

  /**
   * Returns the maximum number of records in a transaction that contains deferrable ones.
   * Deferrable records do not use the reserved changes, and wait until several can be sent
   * together.
   *
   * @param queuedRecords number of records in the queue
   */
  int maxChangesIfDeferrable(int queuedRecords) {
    int unreserved = (int) Math.floor(available - reserved());
    int minBatchSize = Math.min(queuedRecords, Math.max(1, limits.get().maxTransactionOps() / 2));
    return unreserved < minBatchSize ? 0 : unreserved;
  }

  /** Returns whether a transaction may be sent now. */
  boolean canSend(long nowMs) {
    return inFlight < MAX_IN_FLIGHT && nowMs >= pausedUntilMs;
  }

  /** Removes the changes of a transaction from the bucket when it is sent. */
  void spend(int changes, long nowMs) {
    available -= changes;
    writeRate.add(changes, nowMs);
    inFlight++;
  }

  /** Handles the end of a transaction's call, successful or not. */
  void onCallEnded() {
    inFlight--;
  }

  /** Prevents transactions from being sent before the given time. */
  void pauseUntil(long untilMs) {
    pausedUntilMs = untilMs;
  }

  /**
   * Limits the size of batches after the state service has rejected a larger one.
   *
   * @param maxRecords maximum number of records in a transaction
   */
  void limitBatchSize(int maxRecords) {
    maxBatchSize = maxRecords;
  }

  /** Removes the limit that {@link #limitBatchSize} has set. */
  void removeBatchSizeLimit() {
    maxBatchSize = Integer.MAX_VALUE;
  }

  /** Returns the recent write rate in changes per second. */
  double writeRate(long nowMs) {
    return writeRate.perSecond(nowMs);
  }
}
