package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * What each node needs of the state service's rates, as the nodes tell each other, and so what this
 * one may take. All nodes divide by the same rule, so they agree as far as they have heard the
 * same; a node that has not been heard lately is taken to need its equal part, which is all that it
 * would take itself without word of the others.
 *
 * <p>What is told is up to {@link #STALE_MS} old. A node whose need has just grown takes its new
 * part at once, and those whose part shrinks by it learn of it a record later: for so long, all
 * nodes together may take more than there is, by no more than the part that the others had used.
 */
public final class RateDemands {
  /** Records come every 300 ms; three may be lost. */
  static final long STALE_MS = 1_200;

  /** The share of the rates that is divided; the rest allows for bursts and uncounted calls. */
  private static final double USABLE_SHARE = 0.95;

  /** Of the changes, what users may submit however much a leader has to write. */
  private static final double USERS_SHARE = 0.5;

  /** What a leader may write, however much users ask for; and the most that it takes. */
  private static final double MIN_LEADER_SHARE = 0.45;

  private static final double MAX_LEADER_SHARE = 0.75;

  /** Of its equal part, what a node without demand keeps for its next requests. */
  private static final double RESERVED_SHARE = 0.25;

  /** A peer's demand may grow so much before it is heard again. */
  private static final double DEMAND_MARGIN = 1.2;

  private static final double MAX_VALID_RATE = 1e6;

  /**
   * What a node needs, a second.
   *
   * @param requests calls to the state service
   * @param submissions changes that its users ask for
   * @param leaderWrites changes that its term has to write; 0 for a node that does not lead
   */
  public record Demand(double requests, double submissions, double leaderWrites) {
    /** A need of nothing. */
    public static final Demand NONE = new Demand(0, 0, 0);
  }

  private record Report(Demand demand, long at) {}

  private final Map<String, Report> reports = new HashMap<>();
  private final List<String> peers;

  /** Among this node and its peers, by their names. */
  public RateDemands(List<String> peers) {
    this.peers = List.copyOf(peers);
  }

  /** A peer has reported its demand; reports of others are ignored. */
  public void record(String from, Demand demand, long nowMs) {
    boolean valid =
        demand.requests >= 0
            && demand.requests < MAX_VALID_RATE
            && demand.submissions >= 0
            && demand.submissions < MAX_VALID_RATE
            && demand.leaderWrites >= 0
            && demand.leaderWrites < MAX_VALID_RATE;
    if (valid && peers.contains(from)) {
      reports.put(from, new Report(demand, nowMs));
    }
  }

  /** How many peers have reported lately. */
  public int freshPeerCount(long nowMs) {
    int count = 0;
    for (String peer : peers) {
      count += isFresh(peer, nowMs) ? 1 : 0;
    }
    return count;
  }

  private boolean isFresh(String peer, long nowMs) {
    Report report = reports.get(peer);
    return report != null && nowMs - report.at <= STALE_MS;
  }

  private int nodeCount() {
    return peers.size() + 1;
  }

  /** The requests a second that this node may make, of so many for all. */
  public double requestRate(double rate, long nowMs) {
    return share(rate * USABLE_SHARE, Demand::requests, nowMs);
  }

  /** The changes a second that this node's users may ask for, of so many for all. */
  public double submissionRate(Demand mine, double rate, long nowMs) {
    double led = mine.leaderWrites;
    boolean unknown = false;
    for (String peer : peers) {
      led = isFresh(peer, nowMs) ? Math.max(led, reports.get(peer).demand.leaderWrites) : led;
      unknown |= !isFresh(peer, nowMs);
    }
    double all = Math.max(rate * USERS_SHARE, unknown ? 0 : rate * USABLE_SHARE - led);
    return share(all, Demand::submissions, nowMs);
  }

  /**
   * This node's part of so much: what the peers need is theirs, what no other needs is this node's.
   */
  private double share(double all, ToDoubleFunction<Demand> of, long nowMs) {
    double equal = all / nodeCount();
    double[] needs = new double[nodeCount()];
    needs[0] = Double.MAX_VALUE;
    for (int i = 0; i < peers.size(); i++) {
      String peer = peers.get(i);
      double need = isFresh(peer, nowMs) ? of.applyAsDouble(reports.get(peer).demand) : equal;
      needs[i + 1] = Math.max(need * DEMAND_MARGIN, equal * RESERVED_SHARE);
    }
    return Math.max(equal, FairShares.of(needs, all)[0]);
  }

  /** The changes a second that a term of this node may write, of so many for all. */
  public double leaderRate(Demand mine, double rate, long nowMs) {
    double users = mine.submissions;
    for (String peer : peers) {
      users +=
          isFresh(peer, nowMs)
              ? reports.get(peer).demand.submissions
              : rate * (USABLE_SHARE - MAX_LEADER_SHARE) / nodeCount();
    }
    return Math.max(
        rate * MIN_LEADER_SHARE, Math.min(rate * MAX_LEADER_SHARE, rate * USABLE_SHARE - users));
  }
}
