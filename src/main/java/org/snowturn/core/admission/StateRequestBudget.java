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
  /** A refusal reduces the allowed rate by this factor, once in each interval. */
  private static final double REFUSAL_FACTOR = 0.85;

  private static final long MIN_REFUSAL_INTERVAL_MS = 250;
  private static final double MIN_RATE_FACTOR = 0.4;
  private static final double RECOVERY_PER_S = 0.15;

  /** Authority and floors may overdraw the budget by so many seconds' worth. */
  private static final double MAX_OVERDRAFT_S = 0.4;

  private final RateMeter asked = new RateMeter(2_000);

  /** What each purpose may still take of its floor, whatever the others have taken. */
  private final Map<RequestClass, Double> floors = new EnumMap<>(RequestClass.class);

  private final Map<RequestClass, Long> refused = new EnumMap<>(RequestClass.class);
  private double rate;
  private double tokens;
  private double rateFactor = 1;
  private long refilledAt;
  private long reducedAt = Long.MIN_VALUE / 4;
  private long refusals;

  /** A full budget of so many requests a second. */
  public StateRequestBudget(double rate, long nowMs) {
    this.rate = rate;
    this.refilledAt = nowMs;
    for (RequestClass requestClass : RequestClass.values()) {
      floors.put(requestClass, rate * requestClass.guaranteedShare);
      refused.put(requestClass, 0L);
    }
    tokens = rate;
  }

  private double allowed() {
    return rate * rateFactor;
  }

  /** What the nodes agree on from now on, a second. */
  public void setRate(double perSecond, long nowMs) {
    refill(nowMs);
    rate = perSecond;
  }

  /** Takes one call out of the budget, or says that it must not be made. */
  public boolean tryAcquire(RequestClass requestClass, long nowMs) {
    refill(nowMs);
    asked.add(1, nowMs);
    boolean withinFloor =
        floors.get(requestClass) >= 1 && tokens - 1 > -allowed() * MAX_OVERDRAFT_S;
    if (requestClass != RequestClass.AUTHORITY
        && !withinFloor
        && tokens - 1 < allowed() * requestClass.headroomShare) {
      refused.merge(requestClass, 1L, Long::sum);
      return false;
    }
    tokens = Math.max(tokens - 1, -allowed() * MAX_OVERDRAFT_S);
    floors.merge(requestClass, -1.0, (had, minus) -> Math.max(0, had + minus));
    return true;
  }

  /** The service refused a call for its rate. */
  public void refusedByService(long nowMs) {
    refusals++;
    if (nowMs - reducedAt >= MIN_REFUSAL_INTERVAL_MS) {
      refill(nowMs);
      reducedAt = nowMs;
      rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor * REFUSAL_FACTOR);
    }
  }

  private void refill(long nowMs) {
    double elapsedS = Math.max(0, nowMs - refilledAt) / 1000.0;
    if (elapsedS == 0) {
      return;
    }
    refilledAt = nowMs;
    rateFactor = Math.min(1, rateFactor + RECOVERY_PER_S * elapsedS);
    tokens = Math.min(allowed(), tokens + allowed() * elapsedS);
    for (RequestClass requestClass : RequestClass.values()) {
      double floor = allowed() * requestClass.guaranteedShare;
      floors.put(
          requestClass, Math.min(Math.max(1, floor), floors.get(requestClass) + floor * elapsedS));
    }
  }

  /** How many calls a second were wanted lately, those that were not made included. */
  public double demandPerSecond(long nowMs) {
    return asked.perSecond(nowMs);
  }

  /** What may be taken now, a second. */
  public double allowedPerSecond() {
    return allowed();
  }

  /** How many calls were not made for want of budget. */
  public long refusedLocally(RequestClass requestClass) {
    return refused.get(requestClass);
  }

  /** How many calls the service refused for its rate. */
  public long refusedByService() {
    return refusals;
  }
}
