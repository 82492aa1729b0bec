package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Allocates this node's share of the state service's request and change rates, and provides the
 * demand that this node reports to its peers.
 */
public final class RateAllocator {
  private static final long REPORT_INTERVAL_MS = 300;

  private final double requestRate;
  private final double changeRate;
  private final RateDemands demands;
  private final StateRequestBudget budget;
  private final AdmissionController admissionController;
  private double leaderWritesPerSecond;
  private long nextReportAt = Long.MIN_VALUE;

  /**
   * Creates an allocator with an equal share for each node, which applies until the peers report
   * their demand. If a limit of the service is about to be lowered, its new value must be passed.
   *
   * @param peers names of the other nodes
   * @param requestRate requests a second that the state service accepts from all nodes together
   * @param changeRate changes a second that the state service accepts from all nodes together
   * @param random source of the retry delays' randomness
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  public RateAllocator(
      List<String> peers,
      double requestRate,
      double changeRate,
      RandomGenerator random,
      long nowMs) {
    this.requestRate = requestRate;
    this.changeRate = changeRate;
    demands = new RateDemands(peers);
    budget = new StateRequestBudget(demands.requestRate(requestRate, nowMs), nowMs);
    admissionController =
        new AdmissionController(
            random, demands.submissionRate(RateDemands.Demand.NONE, changeRate, nowMs), nowMs);
  }

  /** Returns the budget of this node's requests to the state service. */
  public StateRequestBudget budget() {
    return budget;
  }

  /** Returns the controller that admits the submissions of this node's users. */
  public AdmissionController admissionController() {
    return admissionController;
  }

  /** Records the demand that a peer has reported. */
  public void recordPeerDemand(String peer, RateDemands.Demand demand, long nowMs) {
    demands.record(peer, demand, nowMs);
  }

  /** Sets the changes a second that this node needs to write as leader; 0 if it does not lead. */
  public void setLeaderDemand(double perSecond) {
    leaderWritesPerSecond = perSecond;
  }

  /**
   * Returns the changes a second that this node may write as leader.
   *
   * @param totalRate changes a second that the state service accepts from all nodes together
   */
  public double leaderRate(double totalRate, long nowMs) {
    return demands.leaderRate(demand(nowMs), totalRate, nowMs);
  }

  /**
   * Recomputes this node's shares at regular intervals.
   *
   * @return whether this node's demand is to be reported to the peers now
   */
  public boolean tick(long nowMs) {
    if (nowMs < nextReportAt) {
      return false;
    }
    nextReportAt = nowMs + REPORT_INTERVAL_MS;
    RateDemands.Demand ownDemand = demand(nowMs);
    budget.setRate(demands.requestRate(requestRate, nowMs), nowMs);
    admissionController.setRate(demands.submissionRate(ownDemand, changeRate, nowMs), nowMs);
    return true;
  }

  /** Returns this node's demand. */
  public RateDemands.Demand demand(long nowMs) {
    return new RateDemands.Demand(
        budget.demandPerSecond(nowMs),
        admissionController.demandPerSecond(nowMs),
        leaderWritesPerSecond);
  }

  /** Returns the metrics of this node's shares and demands. */
  public Map<String, Double> gauges(long nowMs) {
    Map<String, Double> gauges = new HashMap<>();
    gauges.put("snowturn.admission.requests.share", budget.allowedPerSecond());
    gauges.put("snowturn.admission.requests.demand", budget.demandPerSecond(nowMs));
    gauges.put("snowturn.admission.requests.throttled", (double) budget.serviceRefusalCount());
    gauges.put("snowturn.admission.submissions.demand", admissionController.demandPerSecond(nowMs));
    gauges.put("snowturn.admission.submissions.pressure", admissionController.refusedShare(nowMs));
    gauges.put("snowturn.admission.peers.reporting", (double) demands.freshPeerCount(nowMs));
    for (RequestClass requestClass : RequestClass.values()) {
      String name = requestClass.name().toLowerCase(Locale.ROOT);
      gauges.put(
          "snowturn.admission.requests.refused{purpose=\"" + name + "\"}",
          (double) budget.localRefusalCount(requestClass));
    }
    return gauges;
  }
}
