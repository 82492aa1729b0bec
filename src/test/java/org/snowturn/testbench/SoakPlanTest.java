package org.snowturn.testbench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowturn.testbench.SoakFault.Kind;

/**
 * Plans of soak runs. A failure could not be reproduced if a seed gave different plans or a plan
 * changed when it is written and read; a kind of fault that no seed gives would never be tested.
 */
class SoakPlanTest {
  private static final int DURATION_S = 30;
  private static final int SEEDS = 50;

  @TempDir private Path dir;

  @Test
  void aSeedGivesOnePlanAndAWrittenPlanIsReadUnchanged() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SoakPlan plan = SoakPlan.generate(seed, 0, DURATION_S);
      assertEquals(plan, SoakPlan.generate(seed, 0, DURATION_S));
      Path file = Files.write(dir.resolve("plan-" + seed), plan.toLines());
      assertEquals(plan.toLines(), SoakPlan.read(file).toLines());
    }
    assertNotEquals(SoakPlan.generate(1, 0, DURATION_S), SoakPlan.generate(2, 0, DURATION_S));
  }

  @Test
  void fiftySeedsGiveEveryKindOfFaultAndSomeLargeFleets() {
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    LongStream.rangeClosed(1, SEEDS)
        .mapToObj(seed -> SoakPlan.generate(seed, 0, DURATION_S))
        .forEach(plan -> plan.faults().forEach(fault -> kinds.add(fault.kind())));
    assertEquals(EnumSet.allOf(Kind.class), kinds);
    long largeFleets =
        LongStream.rangeClosed(1, SEEDS)
            .filter(seed -> SoakPlan.generate(seed, 0, DURATION_S).workers() >= 200)
            .count();
    assertTrue(
        largeFleets > 2,
        "only " + largeFleets + " of " + SEEDS + " seeds have 200 or more workers");
  }

  @Test
  void aPlanBeyondHalfOfTheMemoryIsRefused() {
    SoakPlan plan = SoakPlan.generate(1, 2_000, DURATION_S);
    String message =
        assertThrows(InvalidInputException.class, () -> plan.check(3_000)).getMessage();
    assertTrue(message.contains("more than half"), message);
  }
}
