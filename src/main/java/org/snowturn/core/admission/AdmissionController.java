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
  /** Users try for 60 s, whatever they are told: they must find time for several tries. */
  private static final int MOST_RETRY_S = 5;

  private static final double MEAN_RETRY_S = 2;

  /** So long after the service has refused a change, this node keeps to its part. */
  private static final long TIGHT_MS = 3_000;

  private static final long LATELY_MS = 15_000;
  private static final int MOST_GROUPS = 500;

  /** Below so much of a second's part, who had more than others stands back. */
  private static final double LOW = 0.5;

  private static final double LEAST_BURST = 3;

  private final RandomGenerator random;
  private final RateMeter asked = new RateMeter(3_000);
  private final RateMeter refused = new RateMeter(3_000);
  private final Map<String, RateMeter> taken = new HashMap<>();
  private double rate;
  private double left;
  private long filledAt;
  private long tightUntil = Long.MIN_VALUE;

  /** A full part of so many changes a second. */
  public AdmissionController(RandomGenerator random, double rate, long nowMs) {
    this.random = random;
    this.rate = rate;
    this.left = burst();
    this.filledAt = nowMs;
  }

  private double burst() {
    return Math.max(LEAST_BURST, rate);
  }

  /** What the nodes agree on from now on, in changes a second. */
  public void rate(double perSecond, long nowMs) {
    fill(nowMs);
    rate = Math.max(0.1, perSecond);
  }

  private void fill(long nowMs) {
    left = Math.min(burst(), left + rate * Math.max(0, nowMs - filledAt) / 1000.0);
    filledAt = nowMs;
  }

  /** The service has refused a change for its rate: from now on the parts are kept. */
  public void refusedThere(long nowMs) {
    tightUntil = nowMs + TIGHT_MS;
  }

  /** What cannot be refused takes its part all the same: cancellations, later parts of a record. */
  public void spend(double changes, long nowMs) {
    fill(nowMs);
    asked.add(changes, nowMs);
    left = Math.max(left - changes, -burst());
  }

  /**
   * Whether a submission may be written now.
   *
   * @param group its class and team: among these the part is divided
   */
  public boolean admits(String group, double changes, long nowMs) {
    fill(nowMs);
    asked.add(changes, nowMs);
    boolean tight = nowMs < tightUntil;
    boolean enough = left >= Math.min(changes, burst());
    boolean low = left - changes < burst() * LOW;
    if (tight && (!enough || (low && hadMoreThanItsPart(group, nowMs)))) {
      refused.add(changes, nowMs);
      return false;
    }
    left = Math.max(0, left - changes);
    if (taken.size() >= MOST_GROUPS) {
      taken.values().removeIf(m -> m.perSecond(nowMs) < 1e-3);
    }
    taken.computeIfAbsent(group, g -> new RateMeter(LATELY_MS)).add(changes, nowMs);
    return true;
  }

  private boolean hadMoreThanItsPart(String group, long nowMs) {
    RateMeter mine = taken.get(group);
    if (mine == null) {
      return false;
    }
    double all = 0;
    int groups = 0;
    for (RateMeter m : taken.values()) {
      double had = m.perSecond(nowMs);
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
    return (int)
        Math.max(1, Math.min(MOST_RETRY_S, Math.round(mean * random.nextDouble(0.5, 1.5))));
  }

  /** How many changes a second users wanted lately, those refused included. */
  public double asked(long nowMs) {
    return asked.perSecond(nowMs);
  }

  /** The part of what users wanted lately that was refused here. */
  public double refusedShare(long nowMs) {
    double wanted = asked.perSecond(nowMs);
    return wanted < 1e-3 ? 0 : Math.min(1, refused.perSecond(nowMs) / wanted);
  }
}
