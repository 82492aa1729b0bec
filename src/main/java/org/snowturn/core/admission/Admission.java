package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What this node may take of the state service's rates, and what it tells its peers of its needs.
 * Pure: time comes in, decisions go out.
 */
public final class Admission {
  private static final long TELL_MS = 300;

  private final double requestRate;
  private final double changeRate;
  private final Needs needs;
  private final StateBudget budget;
  private final SubmitGate gate;
  private double led;
  private long tellAt = Long.MIN_VALUE;

  /**
   * With equal parts, until the peers are heard.
   *
   * @param requestRate requests a second that the state service takes of all nodes
   * @param changeRate changes a second, likewise: the smaller one if it is to become smaller
   */
  public Admission(
      List<String> peers,
      double requestRate,
      double changeRate,
      RandomGenerator random,
      long nowMs) {
    this.requestRate = requestRate;
    this.changeRate = changeRate;
    needs = new Needs(peers);
    budget = new StateBudget(needs.requests(requestRate, nowMs), nowMs);
    gate = new SubmitGate(random, needs.submitted(Needs.Need.NONE, changeRate, nowMs), nowMs);
  }

  /** This node's part of the requests. */
  public StateBudget budget() {
    return budget;
  }

  /** This node's part of the changes that users ask for. */
  public SubmitGate gate() {
    return gate;
  }

  /** A peer tells what it needs. */
  public void told(String from, Needs.Need need, long nowMs) {
    needs.told(from, need, nowMs);
  }

  /** The changes a second that a term of this node has to write; 0 without one. */
  public void led(double perSecond) {
    led = perSecond;
  }

  /** The changes a second that a term of this node may write, of so many for all. */
  public double mayLead(double rate, long nowMs) {
    return needs.led(mine(nowMs), rate, nowMs);
  }

  /** Divides anew; tells whether the peers are to be told now. */
  public boolean tick(long nowMs) {
    if (nowMs < tellAt) {
      return false;
    }
    tellAt = nowMs + TELL_MS;
    Needs.Need mine = mine(nowMs);
    budget.rate(needs.requests(requestRate, nowMs), nowMs);
    gate.rate(needs.submitted(mine, changeRate, nowMs), nowMs);
    return true;
  }

  /** What this node needs. */
  public Needs.Need mine(long nowMs) {
    return new Needs.Need(budget.asked(nowMs), gate.asked(nowMs), led);
  }

  /** Figures for operators. */
  public Map<String, Double> gauges(long nowMs) {
    Map<String, Double> g = new HashMap<>();
    g.put("snowturn.admission.requests.share", budget.perSecond());
    g.put("snowturn.admission.requests.asked", budget.asked(nowMs));
    g.put("snowturn.admission.requests.refused.there", (double) budget.refusedThere());
    g.put("snowturn.admission.submissions.asked", gate.asked(nowMs));
    g.put("snowturn.admission.submissions.pressure", gate.refusedShare(nowMs));
    g.put("snowturn.admission.peers.heard", (double) needs.heard(nowMs));
    for (Purpose p : Purpose.values()) {
      String name = p.name().toLowerCase(Locale.ROOT);
      g.put(
          "snowturn.admission.requests.refused{purpose=\"" + name + "\"}",
          (double) budget.refused(p));
    }
    return g;
  }
}
