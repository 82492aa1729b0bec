package org.snowturn.core.storage;

import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import org.snowturn.config.Settings.StateLimits;
import org.snowturn.core.admission.RateMeter;

/**
 * What the leader may send to the state service now: a token bucket of changes, filled at the
 * leader's share of the write rate, a bound on transactions in flight, and a pause after a failure.
 */
final class WriteBudget {
  /** The share of the budget that is reserved for records that are not deferrable. */
  private static final double RESERVED_SHARE = 0.4;

  private static final int MAX_IN_FLIGHT = 3;
  private static final long WRITE_RATE_WINDOW_MS = 3_000;

  private final Supplier<StateLimits> limits;
  private final DoubleUnaryOperator share;
  private final RateMeter writeRate = new RateMeter(WRITE_RATE_WINDOW_MS);
  private double available;
  private long refilledAtMs;
  private long pausedUntilMs;
  private int inFlight;
  private int maxBatchSize = Integer.MAX_VALUE;

  /** Starts with a full bucket; see {@link RecordWriter} for the parameters. */
  WriteBudget(Supplier<StateLimits> limits, DoubleUnaryOperator share, long nowMs) {
    this.limits = limits;
    this.share = share;
    this.available = rate();
    this.refilledAtMs = nowMs;
  }

  /** The changes a second that are the leader's: the rest is for the users of all nodes. */
  double rate() {
    return share.applyAsDouble(limits.get().maxWriteRps());
  }

  /** The changes that only records that are not deferrable may use. */
  double reserved() {
    return rate() * RESERVED_SHARE;
  }

  void refill(long nowMs) {
    double rate = rate();
    available = Math.min(rate, available + rate * (nowMs - refilledAtMs) / 1000.0);
    refilledAtMs = nowMs;
  }

  double available() {
    return available;
  }

  /** The most changes that a transaction may make now. */
  int maxChanges() {
    return (int)
        Math.min(Math.min(limits.get().maxTransactionOps(), maxBatchSize), Math.floor(available));
  }

  /**
   * The most records that a transaction may hold in all if some of them are deferrable. These leave
   * the reserve alone, and wait until several can go together.
   */
  int maxChangesIfDeferrable(int queued) {
    int left = (int) Math.floor(available - reserved());
    int enough = Math.min(queued, Math.max(1, limits.get().maxTransactionOps() / 2));
    return left < enough ? 0 : left;
  }

  boolean maySend(long nowMs) {
    return inFlight < MAX_IN_FLIGHT && nowMs >= pausedUntilMs;
  }

  /** A transaction leaves. */
  void spend(int changes, long nowMs) {
    available -= changes;
    writeRate.add(changes, nowMs);
    inFlight++;
  }

  /** The call of a transaction has ended, whatever its result. */
  void callEnded() {
    inFlight--;
  }

  /** Sends nothing before this time. */
  void pauseUntil(long untilMs) {
    pausedUntilMs = untilMs;
  }

  /** Groups at most so many records from now on; the state service refused a larger group. */
  void limitBatchSize(int most) {
    maxBatchSize = most;
  }

  /** Groups as many records as the limits allow. */
  void unlimitBatchSize() {
    maxBatchSize = Integer.MAX_VALUE;
  }

  /** Changes a second that were made lately. */
  double writeRate(long nowMs) {
    return writeRate.perSecond(nowMs);
  }
}
