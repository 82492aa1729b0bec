package org.snowturn.core.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * This node's part of the state service's requests, and what it goes to. A call that the service
 * would refuse costs it as much as one that it takes, and what it refuses in a flood are leases'
 * renewals as likely as polls: so the part is kept here, by the order of {@link RequestClass}, with
 * a floor for each.
 *
 * <p>The part is what the nodes agree on ({@link RateDemands}). A refusal by the service for its
 * rate says that somebody takes too much, whoever it is: the part shrinks, and grows back.
 */
public final class StateRequestBudget {
  /** A refusal leaves so much of what was allowed; no more than one counts in a while. */
  private static final double SHRINK = 0.85;

  private static final long SHRINK_EVERY_MS = 250;
  private static final double LEAST = 0.4;
  private static final double GROW_PER_S = 0.15;

  /** Renewals and floors may overdraw, but not so much that nothing is left for long. */
  private static final double MOST_OVERDRAWN_S = 0.4;

  private final RateMeter asked = new RateMeter(2_000);

  /** What each purpose may still take of its floor, whatever the others have taken. */
  private final Map<RequestClass, Double> floors = new EnumMap<>(RequestClass.class);

  private final Map<RequestClass, Long> refused = new EnumMap<>(RequestClass.class);
  private double rate;
  private double left;
  private double pressure = 1;
  private long filledAt;
  private long shrunkAt = Long.MIN_VALUE / 4;
  private long refusals;

  /** A full budget of so many requests a second. */
  public StateRequestBudget(double rate, long nowMs) {
    this.rate = rate;
    this.filledAt = nowMs;
    for (RequestClass requestClass : RequestClass.values()) {
      floors.put(requestClass, rate * requestClass.floor);
      refused.put(requestClass, 0L);
    }
    left = rate;
  }

  private double allowed() {
    return rate * pressure;
  }

  /** What the nodes agree on from now on, a second. */
  public void rate(double perSecond, long nowMs) {
    fill(nowMs);
    rate = perSecond;
  }

  /** Takes one call out of the budget, or says that it must not be made. */
  public boolean take(RequestClass requestClass, long nowMs) {
    fill(nowMs);
    asked.add(1, nowMs);
    boolean floor = floors.get(requestClass) >= 1 && left - 1 > -allowed() * MOST_OVERDRAWN_S;
    if (requestClass != RequestClass.AUTHORITY
        && !floor
        && left - 1 < allowed() * requestClass.leaves) {
      refused.merge(requestClass, 1L, Long::sum);
      return false;
    }
    left = Math.max(left - 1, -allowed() * MOST_OVERDRAWN_S);
    floors.merge(requestClass, -1.0, (had, minus) -> Math.max(0, had + minus));
    return true;
  }

  /** The service refused a call for its rate. */
  public void refusedThere(long nowMs) {
    refusals++;
    if (nowMs - shrunkAt >= SHRINK_EVERY_MS) {
      fill(nowMs);
      shrunkAt = nowMs;
      pressure = Math.max(LEAST, pressure * SHRINK);
    }
  }

  private void fill(long nowMs) {
    double s = Math.max(0, nowMs - filledAt) / 1000.0;
    if (s == 0) {
      return;
    }
    filledAt = nowMs;
    pressure = Math.min(1, pressure + GROW_PER_S * s);
    left = Math.min(allowed(), left + allowed() * s);
    for (RequestClass requestClass : RequestClass.values()) {
      double floor = allowed() * requestClass.floor;
      floors.put(requestClass, Math.min(Math.max(1, floor), floors.get(requestClass) + floor * s));
    }
  }

  /** How many calls a second were wanted lately, those that were not made included. */
  public double asked(long nowMs) {
    return asked.perSecond(nowMs);
  }

  /** What may be taken now, a second. */
  public double perSecond() {
    return allowed();
  }

  /** How many calls were not made for want of budget. */
  public long refused(RequestClass requestClass) {
    return refused.get(requestClass);
  }

  /** How many calls the service refused for its rate. */
  public long refusedThere() {
    return refusals;
  }
}
