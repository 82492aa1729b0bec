package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What this node may take of the state service's rates, and the demand that it reports to its
 * peers.
 */
public final class RateAllocator {
  private static final long REPORT_INTERVAL_MS = 300;

  private final double requestRate;
  private final double changeRate;
  private final RateDemands demands;
  private final StateRequestBudget budget;
  private final AdmissionController admissionController;
  private double leaderDemand;
  private long nextReportAt = Long.MIN_VALUE;

  /**
   * With equal parts, until the peers are heard.
   *
   * @param requestRate requests a second that the state service takes of all nodes
   * @param changeRate changes a second, likewise: the smaller one if it is to become smaller
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

  /** This node's part of the requests. */
  public StateRequestBudget budget() {
    return budget;
  }

  /** This node's part of the changes that users ask for. */
  public AdmissionController admissionController() {
    return admissionController;
  }

  /** A peer tells what it needs. */
  public void recordPeerDemand(String from, RateDemands.Demand demand, long nowMs) {
    demands.record(from, demand, nowMs);
  }

  /** The changes a second that a term of this node has to write; 0 without one. */
  public void setLeaderDemand(double perSecond) {
    leaderDemand = perSecond;
  }

  /** The changes a second that a term of this node may write, of so many for all. */
  public double leaderRate(double rate, long nowMs) {
    return demands.leaderRate(demand(nowMs), rate, nowMs);
  }

  /** Divides anew; tells whether the peers are to be told now. */
  public boolean tick(long nowMs) {
    if (nowMs < nextReportAt) {
      return false;
    }
    nextReportAt = nowMs + REPORT_INTERVAL_MS;
    RateDemands.Demand mine = demand(nowMs);
    budget.setRate(demands.requestRate(requestRate, nowMs), nowMs);
    admissionController.setRate(demands.submissionRate(mine, changeRate, nowMs), nowMs);
    return true;
  }

  /** What this node needs. */
  public RateDemands.Demand demand(long nowMs) {
    return new RateDemands.Demand(
        budget.demandPerSecond(nowMs), admissionController.demandPerSecond(nowMs), leaderDemand);
  }

  /** Figures for operators. */
  public Map<String, Double> gauges(long nowMs) {
    Map<String, Double> gauges = new HashMap<>();
    gauges.put("snowturn.admission.requests.share", budget.allowedPerSecond());
    gauges.put("snowturn.admission.requests.demand", budget.demandPerSecond(nowMs));
    gauges.put("snowturn.admission.requests.throttled", (double) budget.refusedByService());
    gauges.put("snowturn.admission.submissions.demand", admissionController.demandPerSecond(nowMs));
    gauges.put("snowturn.admission.submissions.pressure", admissionController.refusedShare(nowMs));
    gauges.put("snowturn.admission.peers.reporting", (double) demands.freshPeerCount(nowMs));
    for (RequestClass requestClass : RequestClass.values()) {
      String name = requestClass.name().toLowerCase(Locale.ROOT);
      gauges.put(
          "snowturn.admission.requests.refused{purpose=\"" + name + "\"}",
          (double) budget.refusedLocally(requestClass));
    }
    return gauges;
  }
}
