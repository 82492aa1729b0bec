package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What the nodes divide, whatever they have heard of each other. */
class FairSharesTest {
  private static final double SLACK = 1e-6;

  @Property(seed = "1", tries = 500)
  void noShareExceedsItsDemandAndNoRateIsLeftOverWhileDemandIsUnmet(
      @ForAll @Size(min = 1, max = 6) List<@DoubleRange(min = 0, max = 500) Double> wanted,
      @ForAll @DoubleRange(min = 0, max = 600) double rate) {
    double[] needs = wanted.stream().mapToDouble(d -> d).toArray();
    double[] out = FairShares.of(needs, rate);
    double sum = Arrays.stream(out).sum();
    double need = Arrays.stream(needs).sum();
    assertEquals(Math.min(need, rate), sum, SLACK);
    for (int i = 0; i < needs.length; i++) {
      assertTrue(out[i] <= needs[i] + SLACK);
      assertTrue(out[i] >= Math.min(needs[i], rate / needs.length) - SLACK, "less than is fair");
    }
  }

  /** Three nodes, told of each other's needs at different times or not at all. */
  @Property(seed = "2", tries = 500)
  void nodesWithPartialReportsTogetherStayWithinTheRate(
      @ForAll @Size(3) List<@DoubleRange(min = 0, max = 400) Double> needs,
      @ForAll @Size(6) List<Boolean> heard) {
    List<String> names = List.of("n0", "n1", "n2");
    double rate = 150;
    double sum = 0;
    double users = 0;
    int link = 0;
    for (int me = 0; me < 3; me++) {
      List<String> peers = new ArrayList<>(names);
      peers.remove(me);
      RateDemands demands = new RateDemands(peers);
      for (int p = 0; p < 3; p++) {
        if (p != me && heard.get(link++ % 6)) {
          demands.record(
              names.get(p), new RateDemands.Demand(needs.get(p), needs.get(p) / 10, 0), 1000);
        }
      }
      RateDemands.Demand mine = new RateDemands.Demand(needs.get(me), needs.get(me) / 10, 0);
      // What a node takes is no more than it needs, nor than its part.
      sum += Math.min(needs.get(me), demands.requestRate(rate, 1500));
      users += Math.min(needs.get(me) / 10, demands.submissionRate(mine, 20, 1500));
    }
    assertTrue(sum <= rate + SLACK, "requests " + sum);
    assertTrue(users <= 20 + SLACK, "changes " + users);
  }

  @Test
  void aNodeWithoutFreshReportsTakesTheEqualShare() {
    RateDemands demands = new RateDemands(List.of("a", "b"));
    double equal = demands.requestRate(300, 0);
    assertEquals(95, equal, SLACK);
    demands.record("a", RateDemands.Demand.NONE, 0);
    demands.record("b", new RateDemands.Demand(10, 0, 0), 0);
    demands.record("stranger", new RateDemands.Demand(900, 900, 900), 0);
    double unused = demands.requestRate(300, 1000);
    assertTrue(unused > 220 && unused < 285, "" + unused);
    // A peer that is cut off or frozen gets its part back once its word is old.
    assertEquals(95, demands.requestRate(300, 1000 + RateDemands.STALE_MS), SLACK);
  }

  @Test
  void aLeaderLeavesUsersTheirDemandUpToItsMinimumShare() {
    RateDemands demands = new RateDemands(List.of("a", "b"));
    demands.record("a", new RateDemands.Demand(0, 0, 0), 0);
    demands.record("b", new RateDemands.Demand(0, 1, 0), 0);
    assertEquals(15, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), SLACK);
    demands.record("b", new RateDemands.Demand(0, 6, 0), 0);
    assertEquals(13, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), SLACK);
    demands.record("b", new RateDemands.Demand(0, 60, 0), 0);
    assertEquals(9, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), SLACK);
  }

  @Property(seed = "3", tries = 300)
  void anInvalidDemandIsIgnored(@ForAll @IntRange(min = 0, max = 3) int kind) {
    double bad =
        new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY}[kind];
    RateDemands demands = new RateDemands(List.of("a"));
    demands.record("a", new RateDemands.Demand(bad, 0, 0), 0);
    demands.record("a", new RateDemands.Demand(0, bad, 0), 0);
    demands.record("a", new RateDemands.Demand(0, 0, bad), 0);
    assertEquals(0, demands.freshPeerCount(0));
  }
}
