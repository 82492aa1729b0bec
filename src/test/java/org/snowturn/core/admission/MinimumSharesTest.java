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
    MinimumShares f = new MinimumShares();
    double[] got = new double[groups];
    for (int g = 0; g < groups; g++) {
      f.group("class" + g, "team");
    }
    for (long now = 0; now < 300_000; now += 100) {
      f.begin(now);
      for (int g = 0; g < groups; g++) {
        f.waits(g, waitS, 10);
      }
      int served = 0;
      for (int g = groups - 1; g > 0; g--) {
        served = f.first(g) ? g : served;
      }
      f.given(served, 10, now);
      got[served] += now >= 100_000 ? 10 : 0;
    }
    return got;
  }

  @Property(seed = "5", tries = 60)
  void everyGroupGetsItsFloorAndAllTogetherNoMoreThanTheirPart(
      @ForAll @IntRange(min = 2, max = 30) int groups,
      @ForAll @IntRange(min = 16, max = 600) int waitS) {
    double[] got = serve(groups, waitS);
    double all = 20_000;
    double floor = Math.min(0.15, 0.03 * waitS / 15);
    floor = Math.min(floor, MinimumShares.TOGETHER / groups);
    double others = 0;
    for (int g = 1; g < groups; g++) {
      assertTrue(got[g] >= 0.85 * floor * all - 10, "group " + g + " of " + groups + ": " + got[g]);
      others += got[g];
    }
    assertTrue(others <= (MinimumShares.TOGETHER + 0.05) * all, "floors took " + others);
  }

  @Test
  void nothingChangesWhileNobodyWaitsForLong() {
    assertEquals(20_000, serve(5, 14)[0]);
  }

  @Test
  void aGroupAloneHasNoFloor() {
    MinimumShares f = new MinimumShares();
    f.group("a", "t");
    f.begin(0);
    f.waits(0, 100, 1);
    assertFalse(f.first(0));
  }

  @Test
  void operatorsSeeWhoWaits() {
    MinimumShares f = new MinimumShares();
    int a = f.group("a", "t");
    f.arrived(a, 40);
    f.begin(0);
    f.waits(a, 12, 10);
    assertEquals(12.0, f.gauges().get("snowturn.wait.longest.seconds{group=\"a/t\"}"));
    assertEquals(0.75, f.gauges().get("snowturn.served.share{group=\"a/t\"}"));
  }
}
