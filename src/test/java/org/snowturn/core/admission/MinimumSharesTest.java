package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Whoever waits for long gets a share, and the flood keeps the rest. */
class MinimumSharesTest {
  /**
   * A machine room of 100 cpus a second that all groups want, in the order of their indices; in
   * each plan whoever is below its floor goes first.
   *
   * @return what each got of the last 200 s
   */
  private static double[] serve(int groups, double waitS) {
    MinimumShares minimumShares = new MinimumShares();
    double[] got = new double[groups];
    for (int g = 0; g < groups; g++) {
      minimumShares.groupIndex("class" + g, "team");
    }
    for (long now = 0; now < 300_000; now += 100) {
      minimumShares.beginRound(now);
      for (int g = 0; g < groups; g++) {
        minimumShares.recordWaiting(g, waitS, 10);
      }
      int served = 0;
      for (int g = groups - 1; g > 0; g--) {
        served = minimumShares.isBelowMinimum(g) ? g : served;
      }
      minimumShares.recordPlacement(served, 10, now);
      got[served] += now >= 100_000 ? 10 : 0;
    }
    return got;
  }

  @Property(seed = "5", tries = 60)
  void everyGroupGetsItsMinimumShareWithinTheTotalLimit(
      @ForAll @IntRange(min = 2, max = 30) int groups,
      @ForAll @IntRange(min = 16, max = 600) int waitS) {
    double[] got = serve(groups, waitS);
    double all = 20_000;
    double floor = Math.min(0.15, 0.03 * waitS / 15);
    floor = Math.min(floor, MinimumShares.MAX_TOTAL_SHARE / groups);
    double others = 0;
    for (int g = 1; g < groups; g++) {
      assertTrue(got[g] >= 0.85 * floor * all - 10, "group " + g + " of " + groups + ": " + got[g]);
      others += got[g];
    }
    assertTrue(others <= (MinimumShares.MAX_TOTAL_SHARE + 0.05) * all, "floors took " + others);
  }

  @Test
  void groupsWithShortWaitsGetNoMinimumShare() {
    assertEquals(20_000, serve(5, 14)[0]);
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
