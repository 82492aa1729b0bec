package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Which new submissions are tried now. Each takes a change of the state service's scarce rate; what
 * is beyond this node's part is refused at once, with a time to come back that grows with the
 * pressure and differs from user to user, so that those refused together do not return together.
 *
 * <p>As long as the service takes all changes everybody is taken. Once it has refused some, each
 * node keeps to its part; when that runs low, classes and teams that had more than their equal part
 * lately stand back for those that had less.
 */
public final class AdmissionController {
  /** Users try for 60 s in all: within these there must be time for several tries. */
  private static final int MAX_RETRY_S = 5;

  private static final double MEAN_RETRY_S = 2;

  /** For so long after the service has refused a change, this node keeps to its part. */
  private static final long ENFORCEMENT_MS = 3_000;

  private static final long AVERAGING_MS = 15_000;
  private static final int MAX_GROUPS = 500;

  /** Below this share of the burst, groups that had more than others are refused. */
  private static final double LOW_TOKENS_SHARE = 0.5;

  private static final double MIN_BURST = 3;

  private final RandomGenerator random;
  private final RateMeter asked = new RateMeter(3_000);
  private final RateMeter refused = new RateMeter(3_000);
  private final Map<String, RateMeter> admittedByGroup = new HashMap<>();
  private double rate;
  private double tokens;
  private long refilledAt;
  private long enforcedUntil = Long.MIN_VALUE;

  /** A full part of so many changes a second. */
  public AdmissionController(RandomGenerator random, double rate, long nowMs) {
    this.random = random;
    this.rate = rate;
    this.tokens = burst();
    this.refilledAt = nowMs;
  }

  private double burst() {
    return Math.max(MIN_BURST, rate);
  }

  /** What the nodes agree on from now on, in changes a second. */
  public void setRate(double perSecond, long nowMs) {
    refill(nowMs);
    rate = Math.max(0.1, perSecond);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst(), tokens + rate * Math.max(0, nowMs - refilledAt) / 1000.0);
    refilledAt = nowMs;
  }

  /** The service has refused a change for its rate: from now on the parts are kept. */
  public void onServiceRefusal(long nowMs) {
    enforcedUntil = nowMs + ENFORCEMENT_MS;
  }

  /** What cannot be refused takes its part all the same: cancellations, later parts of a record. */
  public void charge(double changes, long nowMs) {
    refill(nowMs);
    asked.add(changes, nowMs);
    tokens = Math.max(tokens - changes, -burst());
  }

  /**
   * Whether a submission may be written now.
   *
   * @param group its class and team: among these the part is divided
   */
  public boolean tryAdmit(String group, double changes, long nowMs) {
    refill(nowMs);
    asked.add(changes, nowMs);
    boolean enforced = nowMs < enforcedUntil;
    boolean enough = tokens >= Math.min(changes, burst());
    boolean low = tokens - changes < burst() * LOW_TOKENS_SHARE;
    if (enforced && (!enough || (low && hadMoreThanItsShare(group, nowMs)))) {
      refused.add(changes, nowMs);
      return false;
    }
    tokens = Math.max(0, tokens - changes);
    if (admittedByGroup.size() >= MAX_GROUPS) {
      admittedByGroup.values().removeIf(meter -> meter.perSecond(nowMs) < 1e-3);
    }
    admittedByGroup.computeIfAbsent(group, key -> new RateMeter(AVERAGING_MS)).add(changes, nowMs);
    return true;
  }

  private boolean hadMoreThanItsShare(String group, long nowMs) {
    RateMeter mine = admittedByGroup.get(group);
    if (mine == null) {
      return false;
    }
    double all = 0;
    int groups = 0;
    for (RateMeter meter : admittedByGroup.values()) {
      double had = meter.perSecond(nowMs);
      all += had;
      groups += had > 0.01 ? 1 : 0;
    }
    // Alone it has everything and leaves nobody short.
    return groups > 1 && mine.perSecond(nowMs) > all / groups * 1.05;
  }

  /** When one who is refused now should come back, in seconds. */
  public int retryAfterS(long nowMs) {
    double wanted = asked.perSecond(nowMs);
    double share = wanted <= 0 ? 0 : Math.min(1, refused.perSecond(nowMs) / wanted);
    double mean = 1 + share * MEAN_RETRY_S;
    return (int) Math.max(1, Math.min(MAX_RETRY_S, Math.round(mean * random.nextDouble(0.5, 1.5))));
  }

  /** How many changes a second users wanted lately, those refused included. */
  public double demandPerSecond(long nowMs) {
    return asked.perSecond(nowMs);
  }

  /** The part of what users wanted lately that was refused here. */
  public double refusedShare(long nowMs) {
    double wanted = asked.perSecond(nowMs);
    return wanted < 1e-3 ? 0 : Math.min(1, refused.perSecond(nowMs) / wanted);
  }
}
