package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Limits the rate at which this node writes new submissions. Each submission takes one or more
 * changes of the state service's limited change rate. A submission beyond this node's share is
 * refused at once with a retry delay, which grows with the share of refused changes and is
 * randomized so that users who are refused together do not retry together.
 *
 * <p>All submissions are admitted while the state service accepts all changes. After the service
 * has refused a change, each node keeps to its share of the rate. When few tokens are left, groups
 * (a class and a team) that recently had more than an equal share are refused in favor of the
 * others.
 */
public final class AdmissionController {
  /** Maximum retry delay. Users retry for 60 s in all, which must leave time for several tries. */
  private static final int MAX_RETRY_AFTER_S = 5;

  /** Mean delay that is added to the minimum of 1 s when all changes are refused. */
  private static final double MAX_MEAN_EXTRA_RETRY_AFTER_S = 2;

  /** Range of the random retry delay, as factors of its mean. */
  private static final double MIN_RETRY_JITTER = 0.5;

  private static final double MAX_RETRY_JITTER = 1.5;

  /** Time for which the rate is enforced after the state service refused a change. */
  private static final long ENFORCEMENT_MS = 3_000;

  /** Averaging time of the rates of requested and refused changes. */
  private static final long DEMAND_AVERAGING_MS = 3_000;

  /** Averaging time of the rate of admitted changes of a group. */
  private static final long GROUP_AVERAGING_MS = 15_000;

  private static final int MAX_GROUPS = 500;

  /** Fraction of the burst below which groups with more than an equal share are refused. */
  private static final double LOW_TOKENS_SHARE = 0.5;

  private static final double MIN_BURST_CHANGES = 3;
  private static final double MIN_CHANGES_PER_S = 0.1;

  /** Rate below which a group counts as inactive when the equal share is computed. */
  private static final double MIN_ACTIVE_CHANGES_PER_S = 0.01;

  /** Averaged rates below this value count as zero. */
  private static final double NEGLIGIBLE_CHANGES_PER_S = 1e-3;

  /** Factor by which a group may exceed the equal share. */
  private static final double EQUAL_SHARE_TOLERANCE = 1.05;

  private final RandomGenerator random;
  private final RateMeter requestedChanges = new RateMeter(DEMAND_AVERAGING_MS);
  private final RateMeter refusedChanges = new RateMeter(DEMAND_AVERAGING_MS);
  private final Map<String, RateMeter> admittedByGroup = new HashMap<>();
  private double changesPerSecond;
  private double tokens;
  private long refilledAt;
  private long enforcedUntilMs = Long.MIN_VALUE;

  /**
   * Creates a controller with a full burst of tokens.
   *
   * @param random source of the retry delays' randomness
   * @param changesPerSecond changes a second that this node may write for its users
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  public AdmissionController(RandomGenerator random, double changesPerSecond, long nowMs) {
    this.random = random;
    this.changesPerSecond = changesPerSecond;
    this.tokens = burst();
    this.refilledAt = nowMs;
  }

  private double burst() {
    return Math.max(MIN_BURST_CHANGES, changesPerSecond);
  }

  /** Sets the changes a second that this node may write for its users. */
  public void setRate(double perSecond, long nowMs) {
    refill(nowMs);
    changesPerSecond = Math.max(MIN_CHANGES_PER_S, perSecond);
  }

  private void refill(long nowMs) {
    tokens =
        Math.min(burst(), tokens + changesPerSecond * Math.max(0, nowMs - refilledAt) / 1000.0);
    refilledAt = nowMs;
  }

  /** Enforces the rate for a time after the state service refused a change for exceeding it. */
  public void onServiceRefusal(long nowMs) {
    enforcedUntilMs = nowMs + ENFORCEMENT_MS;
  }

  /**
   * Deducts changes that are written in any case, such as cancellations and the later chunks of a
   * submission.
   */
  public void charge(double changes, long nowMs) {
    refill(nowMs);
    requestedChanges.add(changes, nowMs);
    tokens = Math.max(tokens - changes, -burst());
  }

  /**
   * Admits or refuses a submission, and deducts the changes of an admitted one.
   *
   * @param group the class and team of the job; the rate is divided among groups
   * @param changes number of changes that the submission writes now
   * @return whether the submission may be written now
   */
  public boolean tryAdmit(String group, double changes, long nowMs) {
    refill(nowMs);
    requestedChanges.add(changes, nowMs);
    boolean isEnforced = nowMs < enforcedUntilMs;
    boolean hasEnough = tokens >= Math.min(changes, burst());
    boolean isLow = tokens - changes < burst() * LOW_TOKENS_SHARE;
    if (isEnforced && (!hasEnough || (isLow && exceedsEqualShare(group, nowMs)))) {
      refusedChanges.add(changes, nowMs);
      return false;
    }
    tokens = Math.max(0, tokens - changes);
    if (admittedByGroup.size() >= MAX_GROUPS) {
      admittedByGroup.values().removeIf(meter -> meter.perSecond(nowMs) < NEGLIGIBLE_CHANGES_PER_S);
    }
    admittedByGroup
        .computeIfAbsent(group, key -> new RateMeter(GROUP_AVERAGING_MS))
        .add(changes, nowMs);
    return true;
  }

  private boolean exceedsEqualShare(String group, long nowMs) {
    RateMeter admitted = admittedByGroup.get(group);
    if (admitted == null) {
      return false;
    }
    double totalRate = 0;
    int activeGroups = 0;
    for (RateMeter meter : admittedByGroup.values()) {
      double groupRate = meter.perSecond(nowMs);
      totalRate += groupRate;
      activeGroups += groupRate > MIN_ACTIVE_CHANGES_PER_S ? 1 : 0;
    }
    // A single active group may use the whole rate, since no other group needs it.
    return activeGroups > 1
        && admitted.perSecond(nowMs) > totalRate / activeGroups * EQUAL_SHARE_TOLERANCE;
  }

  /** Returns a random retry delay for a user who is refused now, in seconds. */
  public int retryAfterS(long nowMs) {
    double demand = requestedChanges.perSecond(nowMs);
    double refused = demand <= 0 ? 0 : Math.min(1, refusedChanges.perSecond(nowMs) / demand);
    double meanS = 1 + refused * MAX_MEAN_EXTRA_RETRY_AFTER_S;
    return (int)
        Math.max(
            1,
            Math.min(
                MAX_RETRY_AFTER_S,
                Math.round(meanS * random.nextDouble(MIN_RETRY_JITTER, MAX_RETRY_JITTER))));
  }

  /** Returns the recent rate of changes requested by users, including refused ones. */
  public double demandPerSecond(long nowMs) {
    return requestedChanges.perSecond(nowMs);
  }

  /** Returns the share of the recently requested changes that this node refused, from 0 to 1. */
  public double refusedShare(long nowMs) {
    double demand = requestedChanges.perSecond(nowMs);
    return demand < NEGLIGIBLE_CHANGES_PER_S
        ? 0
        : Math.min(1, refusedChanges.perSecond(nowMs) / demand);
  }
}
