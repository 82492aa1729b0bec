package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Checks that groups that wait long receive their minimum share, and that the minimum shares leave
 * the rest to the group that is first in the regular order and would otherwise starve the others.
 */
class MinimumSharesTest {
  /**
   * Simulates 300 s of a cluster that places 100 CPUs a second, with demand from all groups in the
   * order of their indices. In each round, groups below their minimum share go first.
   *
   * @return the CPUs that each group received in the last 200 s
   */
  private static double[] placeCpus(int groups, double waitS) {
    MinimumShares minimumShares = new MinimumShares();
    double[] cpusByGroup = new double[groups];
    for (int g = 0; g < groups; g++) {
      minimumShares.groupIndex("class" + g, "team");
    }
    for (long now = 0; now < 300_000; now += 100) {
      minimumShares.beginRound(now);
      for (int g = 0; g < groups; g++) {
        minimumShares.recordWaiting(g, waitS, 10);
      }
      int selected = 0;
      for (int g = groups - 1; g > 0; g--) {
        selected = minimumShares.isBelowMinimum(g) ? g : selected;
      }
      minimumShares.recordPlacement(selected, 10, now);
      cpusByGroup[selected] += now >= 100_000 ? 10 : 0;
    }
    return cpusByGroup;
  }

  @Property(seed = "5", tries = 60)
  void everyGroupGetsItsMinimumShareWithinTheTotalLimit(
      @ForAll @IntRange(min = 2, max = 30) int groups,
      @ForAll @IntRange(min = 16, max = 600) int waitS) {
    double[] cpusByGroup = placeCpus(groups, waitS);
    double totalCpus = 20_000;
    double minimumShare = Math.min(0.15, 0.03 * waitS / 15);
    minimumShare = Math.min(minimumShare, MinimumShares.MAX_TOTAL_SHARE / groups);
    double otherCpus = 0;
    for (int g = 1; g < groups; g++) {
      assertTrue(
          cpusByGroup[g] >= 0.85 * minimumShare * totalCpus - 10,
          "group " + g + " of " + groups + ": " + cpusByGroup[g]);
      otherCpus += cpusByGroup[g];
    }
    assertTrue(
        otherCpus <= (MinimumShares.MAX_TOTAL_SHARE + 0.05) * totalCpus,
        "CPUs of all minimum shares: " + otherCpus);
  }

  @Test
  void groupsWithShortWaitsGetNoMinimumShare() {
    assertEquals(20_000, placeCpus(5, 14)[0]);
  }

  @Test
  void aSingleGroupHasNoMinimumShare() {
    MinimumShares minimumShares = new MinimumShares();
    minimumShares.groupIndex("a", "t");
    minimumShares.beginRound(0);
    minimumShares.recordWaiting(0, 100, 1);
    assertFalse(minimumShares.isBelowMinimum(0));
  }

  @Test
  void gaugesShowTheLongestWaitAndTheServedShare() {
    MinimumShares minimumShares = new MinimumShares();
    int index = minimumShares.groupIndex("a", "t");
    minimumShares.recordArrivals(index, 40);
    minimumShares.beginRound(0);
    minimumShares.recordWaiting(index, 12, 10);
    assertEquals(12.0, minimumShares.gauges().get("snowturn.wait.longest.seconds{group=\"a/t\"}"));
    assertEquals(0.75, minimumShares.gauges().get("snowturn.served.share{group=\"a/t\"}"));
  }
}
