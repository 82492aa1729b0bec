package org.snowturn.core.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the rate of this node's requests to the state service with a token bucket, and divides it
 * by {@link RequestClass} with a guaranteed share for each class. The limit is enforced here
 * because a request that the service refuses costs the service as much as one that it accepts, and
 * because an overloaded service refuses lease renewals as readily as status queries.
 *
 * <p>The nodes divide the service's rate among themselves ({@link RateDemands}). When the service
 * refuses a request for its rate, some node has exceeded its share; this node then reduces its own
 * rate, which recovers over time.
 */
public final class StateRequestBudget {
  /** Factor by which a refusal reduces the allowed rate, at most once in each interval. */
  private static final double REFUSAL_FACTOR = 0.85;

  private static final long MIN_REFUSAL_INTERVAL_MS = 250;
  private static final double MIN_RATE_FACTOR = 0.4;

  /** Increase of the rate factor per second after a reduction. */
  private static final double RECOVERY_PER_S = 0.15;

  /**
   * Maximum overdraft by authority requests and guaranteed shares, in seconds of the allowed rate.
   */
  private static final double MAX_OVERDRAFT_S = 0.4;

  private static final long DEMAND_AVERAGING_MS = 2_000;

  private final RateMeter demand = new RateMeter(DEMAND_AVERAGING_MS);

  /** Tokens left of the guaranteed share of each class, independent of the other classes. */
  private final Map<RequestClass, Double> guaranteedTokens = new EnumMap<>(RequestClass.class);

  private final Map<RequestClass, Long> localRefusalCounts = new EnumMap<>(RequestClass.class);
  private double requestsPerSecond;
  private double tokens;
  private double rateFactor = 1;
  private long refilledAt;
  private long reducedAt = Long.MIN_VALUE / 4;
  private long serviceRefusalCount;

  /**
   * Creates a budget that holds the tokens of one second.
   *
   * @param requestsPerSecond requests a second that this node may make
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  public StateRequestBudget(double requestsPerSecond, long nowMs) {
    this.requestsPerSecond = requestsPerSecond;
    this.refilledAt = nowMs;
    for (RequestClass requestClass : RequestClass.values()) {
      guaranteedTokens.put(requestClass, requestsPerSecond * requestClass.guaranteedShare);
      localRefusalCounts.put(requestClass, 0L);
    }
    tokens = requestsPerSecond;
  }

  private double allowedRate() {
    return requestsPerSecond * rateFactor;
  }

  /** Sets this node's share of the service's rate, in requests a second. */
  public void setRate(double perSecond, long nowMs) {
    refill(nowMs);
    requestsPerSecond = perSecond;
  }

  /**
   * Takes a token for one request.
   *
   * @return whether the request may be made
   */
  public boolean tryAcquire(RequestClass requestClass, long nowMs) {
    refill(nowMs);
    demand.add(1, nowMs);
    boolean isGuaranteed =
        guaranteedTokens.get(requestClass) >= 1 && tokens - 1 > -allowedRate() * MAX_OVERDRAFT_S;
    if (requestClass != RequestClass.AUTHORITY
        && !isGuaranteed
        && tokens - 1 < allowedRate() * requestClass.headroomShare) {
      localRefusalCounts.merge(requestClass, 1L, Long::sum);
      return false;
    }
    tokens = Math.max(tokens - 1, -allowedRate() * MAX_OVERDRAFT_S);
    guaranteedTokens.merge(requestClass, -1.0, (left, change) -> Math.max(0, left + change));
    return true;
  }

  /** Reduces the allowed rate after the service refused a request for exceeding its rate. */
  public void onServiceRefusal(long nowMs) {
    serviceRefusalCount++;
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
    tokens = Math.min(allowedRate(), tokens + allowedRate() * elapsedS);
    for (RequestClass requestClass : RequestClass.values()) {
      double guaranteedRate = allowedRate() * requestClass.guaranteedShare;
      guaranteedTokens.put(
          requestClass,
          Math.min(
              Math.max(1, guaranteedRate),
              guaranteedTokens.get(requestClass) + guaranteedRate * elapsedS));
    }
  }

  /** Returns the recent demand in requests a second, including requests that were refused here. */
  public double demandPerSecond(long nowMs) {
    return demand.perSecond(nowMs);
  }

  /** Returns the requests a second that this node may make at present. */
  public double allowedPerSecond() {
    return allowedRate();
  }

  /** Returns the number of requests of a class that this budget refused. */
  public long localRefusalCount(RequestClass requestClass) {
    return localRefusalCounts.get(requestClass);
  }

  /** Returns the number of requests that the service refused for exceeding its rate. */
  public long serviceRefusalCount() {
    return serviceRefusalCount;
  }
}
