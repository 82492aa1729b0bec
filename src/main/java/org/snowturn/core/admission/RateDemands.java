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
 * nodes together may take more than there is, by no more than the part that had been lent.
 */
public final class RateDemands {
  /** Records come every 300 ms; three may be lost. */
  static final long STALE_MS = 1_200;

  /** Of the requests; the rest is what clocks, bursts and calls that nobody counts take. */
  private static final double USED = 0.95;

  /** What users may ask for of the changes, however much a leader has to write. */
  private static final double USERS = 0.5;

  /** What a leader may write, however much users ask for; and the most that it takes. */
  private static final double LED_LEAST = 0.45;

  private static final double LED_MOST = 0.75;

  /** A node that asks for nothing may ask again: so much of an equal part stays its own. */
  private static final double KEPT = 0.25;

  /**
   * What a node needs, a second.
   *
   * @param requests calls to the state service
   * @param submitted changes that its users ask for
   * @param led changes that its term has to write; 0 for a node that does not lead
   */
  public record Demand(double requests, double submitted, double led) {
    /** A need of nothing. */
    public static final Demand NONE = new Demand(0, 0, 0);
  }

  private record Told(Demand demand, long at) {}

  private final Map<String, Told> told = new HashMap<>();
  private final List<String> peers;

  /** Among this node and its peers, by their names. */
  public RateDemands(List<String> peers) {
    this.peers = List.copyOf(peers);
  }

  /** A peer tells; who is no peer is not heard. */
  public void told(String from, Demand demand, long nowMs) {
    boolean sane =
        demand.requests >= 0
            && demand.requests < 1e6
            && demand.submitted >= 0
            && demand.submitted < 1e6
            && demand.led >= 0
            && demand.led < 1e6;
    if (sane && peers.contains(from)) {
      told.put(from, new Told(demand, nowMs));
    }
  }

  /** How many peers have told what they need lately. */
  public int heard(long nowMs) {
    int n = 0;
    for (String p : peers) {
      n += fresh(p, nowMs) ? 1 : 0;
    }
    return n;
  }

  private boolean fresh(String peer, long nowMs) {
    Told t = told.get(peer);
    return t != null && nowMs - t.at <= STALE_MS;
  }

  private int nodes() {
    return peers.size() + 1;
  }

  /** The requests a second that this node may make, of so many for all. */
  public double requests(double rate, long nowMs) {
    return part(rate * USED, Demand::requests, nowMs);
  }

  /** The changes a second that this node's users may ask for, of so many for all. */
  public double submitted(Demand mine, double rate, long nowMs) {
    double led = mine.led;
    boolean unknown = false;
    for (String p : peers) {
      led = fresh(p, nowMs) ? Math.max(led, told.get(p).demand.led) : led;
      unknown |= !fresh(p, nowMs);
    }
    double all = Math.max(rate * USERS, unknown ? 0 : rate * USED - led);
    return part(all, Demand::submitted, nowMs);
  }

  /** This node's part of so much: what the peers need is theirs, what nobody else needs is ours. */
  private double part(double all, ToDoubleFunction<Demand> of, long nowMs) {
    double equal = all / nodes();
    double[] needs = new double[nodes()];
    needs[0] = Double.MAX_VALUE;
    for (int i = 0; i < peers.size(); i++) {
      String p = peers.get(i);
      double need = fresh(p, nowMs) ? of.applyAsDouble(told.get(p).demand) : equal;
      needs[i + 1] = Math.max(need * 1.2, equal * KEPT);
    }
    return Math.max(equal, FairShares.of(needs, all)[0]);
  }

  /** The changes a second that a term of this node may write, of so many for all. */
  public double led(Demand mine, double rate, long nowMs) {
    double users = mine.submitted;
    for (String p : peers) {
      users += fresh(p, nowMs) ? told.get(p).demand.submitted : rate * (USED - LED_MOST) / nodes();
    }
    return Math.max(rate * LED_LEAST, Math.min(rate * LED_MOST, rate * USED - users));
  }
}
