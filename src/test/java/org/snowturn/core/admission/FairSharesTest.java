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

/**
 * Checks the division of the state service's rates. A wrong share, or nodes with different reports
 * of each other's demands, could let the nodes together exceed the rates.
 */
class FairSharesTest {
  private static final double TOLERANCE = 1e-6;

  @Property(seed = "1", tries = 500)
  void noShareExceedsItsDemandAndNoRateIsLeftOverWhileDemandIsUnmet(
      @ForAll @Size(min = 1, max = 6) List<@DoubleRange(min = 0, max = 500) Double> demandList,
      @ForAll @DoubleRange(min = 0, max = 600) double rate) {
    double[] demands = demandList.stream().mapToDouble(d -> d).toArray();
    double[] shares = FairShares.of(demands, rate);
    double totalShare = Arrays.stream(shares).sum();
    double totalDemand = Arrays.stream(demands).sum();
    assertEquals(Math.min(totalDemand, rate), totalShare, TOLERANCE);
    for (int i = 0; i < demands.length; i++) {
      assertTrue(shares[i] <= demands[i] + TOLERANCE, "share exceeds the demand");
      assertTrue(
          shares[i] >= Math.min(demands[i], rate / demands.length) - TOLERANCE,
          "share is below the fair share");
    }
  }

  /** Three nodes, each of which has received any subset of the other nodes' reports. */
  @Property(seed = "2", tries = 500)
  void nodesWithPartialReportsTogetherStayWithinTheRate(
      @ForAll @Size(3) List<@DoubleRange(min = 0, max = 400) Double> nodeDemands,
      @ForAll @Size(6) List<Boolean> isReportReceived) {
    List<String> names = List.of("n0", "n1", "n2");
    double rate = 150;
    double requests = 0;
    double submissions = 0;
    int link = 0;
    for (int node = 0; node < 3; node++) {
      List<String> peers = new ArrayList<>(names);
      peers.remove(node);
      RateDemands demands = new RateDemands(peers);
      for (int peer = 0; peer < 3; peer++) {
        if (peer != node && isReportReceived.get(link++ % 6)) {
          demands.record(
              names.get(peer),
              new RateDemands.Demand(nodeDemands.get(peer), nodeDemands.get(peer) / 10, 0),
              1000);
        }
      }
      RateDemands.Demand ownDemand =
          new RateDemands.Demand(nodeDemands.get(node), nodeDemands.get(node) / 10, 0);
      // A node uses at most its demand and its share.
      requests += Math.min(nodeDemands.get(node), demands.requestRate(rate, 1500));
      submissions +=
          Math.min(nodeDemands.get(node) / 10, demands.submissionRate(ownDemand, 20, 1500));
    }
    assertTrue(requests <= rate + TOLERANCE, "requests a second: " + requests);
    assertTrue(submissions <= 20 + TOLERANCE, "changes a second: " + submissions);
  }

  @Test
  void aNodeWithoutFreshReportsTakesTheEqualShare() {
    RateDemands demands = new RateDemands(List.of("a", "b"));
    double equalShare = demands.requestRate(300, 0);
    assertEquals(95, equalShare, TOLERANCE);
    demands.record("a", RateDemands.Demand.NONE, 0);
    demands.record("b", new RateDemands.Demand(10, 0, 0), 0);
    demands.record("unknown-node", new RateDemands.Demand(900, 900, 900), 0);
    double largerShare = demands.requestRate(300, 1000);
    assertTrue(largerShare > 220 && largerShare < 285, "requests a second: " + largerShare);
    // A peer that is partitioned or paused is granted its equal share again once its report is
    // stale.
    assertEquals(95, demands.requestRate(300, 1000 + RateDemands.STALE_MS), TOLERANCE);
  }

  @Test
  void aLeaderYieldsToUserDemandDownToItsMinimumShare() {
    RateDemands demands = new RateDemands(List.of("a", "b"));
    demands.record("a", new RateDemands.Demand(0, 0, 0), 0);
    demands.record("b", new RateDemands.Demand(0, 1, 0), 0);
    assertEquals(15, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), TOLERANCE);
    demands.record("b", new RateDemands.Demand(0, 6, 0), 0);
    assertEquals(13, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), TOLERANCE);
    demands.record("b", new RateDemands.Demand(0, 60, 0), 0);
    assertEquals(9, demands.leaderRate(RateDemands.Demand.NONE, 20, 0), TOLERANCE);
  }

  @Property(seed = "3", tries = 300)
  void anInvalidDemandIsIgnored(@ForAll @IntRange(min = 0, max = 3) int index) {
    double invalid =
        new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY}[index];
    RateDemands demands = new RateDemands(List.of("a"));
    demands.record("a", new RateDemands.Demand(invalid, 0, 0), 0);
    demands.record("a", new RateDemands.Demand(0, invalid, 0), 0);
    demands.record("a", new RateDemands.Demand(0, 0, invalid), 0);
    assertEquals(0, demands.freshPeerCount(0));
  }
}
