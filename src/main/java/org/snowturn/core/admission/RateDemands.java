package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Collects the nodes' demands for the state service's rates, and computes this node's share of
 * them. All nodes divide the rates by the same rule and so arrive at consistent shares when they
 * have received the same reports. A peer without a fresh report is assumed to need its equal share,
 * which is all that a node takes when it has no reports itself.
 *
 * <p>Reports are up to {@link #STALE_MS} old. A node whose demand has just grown takes its larger
 * share at once, while the nodes whose shares shrink learn of it with the next report. In between,
 * the nodes together may exceed the rate, by at most the share that the other nodes were using.
 */
public final class RateDemands {
  /** Age up to which a report is used. Reports come every 300 ms, so three may be lost. */
  static final long STALE_MS = 1_200;

  /** Share of the rates that is divided; the rest allows for bursts and uncounted requests. */
  private static final double USABLE_SHARE = 0.95;

  /** Share of the change rate that users get at least, for any demand of a leader. */
  private static final double MIN_USERS_SHARE = 0.5;

  /** Share of the change rate that a leader gets at least, for any demand of users. */
  private static final double MIN_LEADER_SHARE = 0.45;

  /** Share of the change rate that a leader gets at most. */
  private static final double MAX_LEADER_SHARE = 0.75;

  /** Fraction of its equal share that a peer without demand keeps for its next requests. */
  private static final double RESERVED_SHARE = 0.25;

  /** Factor by which a peer's demand is assumed to grow until its next report. */
  private static final double DEMAND_GROWTH_FACTOR = 1.2;

  /** Bound of a valid demand, per second; reports that reach it are ignored. */
  private static final double MAX_VALID_RATE = 1e6;

  /**
   * The demand of a node, in amounts per second.
   *
   * @param requests requests to the state service
   * @param submissions changes requested by its users
   * @param leaderWrites changes that it needs to write as leader; 0 for a node that does not lead
   */
  public record Demand(double requests, double submissions, double leaderWrites) {
    /** A demand of zero. */
    public static final Demand NONE = new Demand(0, 0, 0);
  }

  private record Report(Demand demand, long receivedAt) {}

  private final Map<String, Report> reportsByPeer = new HashMap<>();
  private final List<String> peers;

  /**
   * Creates a collection of demands that contains no reports yet.
   *
   * @param peers names of the other nodes
   */
  public RateDemands(List<String> peers) {
    this.peers = List.copyOf(peers);
  }

  /** Records the demand that a peer has reported; ignores invalid reports and unknown nodes. */
  public void record(String peer, Demand demand, long nowMs) {
    boolean isValid =
        demand.requests >= 0
            && demand.requests < MAX_VALID_RATE
            && demand.submissions >= 0
            && demand.submissions < MAX_VALID_RATE
            && demand.leaderWrites >= 0
            && demand.leaderWrites < MAX_VALID_RATE;
    if (isValid && peers.contains(peer)) {
      reportsByPeer.put(peer, new Report(demand, nowMs));
    }
  }

  /** Returns the number of peers with a fresh report. */
  public int freshPeerCount(long nowMs) {
    int count = 0;
    for (String peer : peers) {
      count += isFresh(peer, nowMs) ? 1 : 0;
    }
    return count;
  }

  private boolean isFresh(String peer, long nowMs) {
    Report report = reportsByPeer.get(peer);
    return report != null && nowMs - report.receivedAt <= STALE_MS;
  }

  private int nodeCount() {
    return peers.size() + 1;
  }

  /**
   * Returns the requests a second that this node may make.
   *
   * @param totalRate requests a second that the state service accepts from all nodes together
   */
  public double requestRate(double totalRate, long nowMs) {
    return share(totalRate * USABLE_SHARE, Demand::requests, nowMs);
  }

  /**
   * Returns the changes a second that this node may write for its users.
   *
   * @param ownDemand this node's demand
   * @param totalRate changes a second that the state service accepts from all nodes together
   */
  public double submissionRate(Demand ownDemand, double totalRate, long nowMs) {
    double leaderWrites = ownDemand.leaderWrites;
    boolean isReportMissing = false;
    for (String peer : peers) {
      leaderWrites =
          isFresh(peer, nowMs)
              ? Math.max(leaderWrites, reportsByPeer.get(peer).demand.leaderWrites)
              : leaderWrites;
      isReportMissing |= !isFresh(peer, nowMs);
    }
    double usersRate =
        Math.max(
            totalRate * MIN_USERS_SHARE,
            isReportMissing ? 0 : totalRate * USABLE_SHARE - leaderWrites);
    return share(usersRate, Demand::submissions, nowMs);
  }

  /**
   * Returns this node's share of a rate. The peers' demands are met within their fair shares; the
   * rest goes to this node.
   */
  private double share(double totalRate, ToDoubleFunction<Demand> component, long nowMs) {
    double equalShare = totalRate / nodeCount();
    double[] nodeDemands = new double[nodeCount()];
    nodeDemands[0] = Double.MAX_VALUE;
    for (int i = 0; i < peers.size(); i++) {
      String peer = peers.get(i);
      double demand =
          isFresh(peer, nowMs)
              ? component.applyAsDouble(reportsByPeer.get(peer).demand)
              : equalShare;
      nodeDemands[i + 1] = Math.max(demand * DEMAND_GROWTH_FACTOR, equalShare * RESERVED_SHARE);
    }
    return Math.max(equalShare, FairShares.of(nodeDemands, totalRate)[0]);
  }

  /**
   * Returns the changes a second that this node may write as leader.
   *
   * @param ownDemand this node's demand
   * @param totalRate changes a second that the state service accepts from all nodes together
   */
  public double leaderRate(Demand ownDemand, double totalRate, long nowMs) {
    double submissions = ownDemand.submissions;
    for (String peer : peers) {
      submissions +=
          isFresh(peer, nowMs)
              ? reportsByPeer.get(peer).demand.submissions
              : totalRate * (USABLE_SHARE - MAX_LEADER_SHARE) / nodeCount();
    }
    return Math.max(
        totalRate * MIN_LEADER_SHARE,
        Math.min(totalRate * MAX_LEADER_SHARE, totalRate * USABLE_SHARE - submissions));
  }
}
