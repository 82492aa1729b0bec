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

/** Plans of soak runs: drawn from a seed, written down, read again. */
class SoakPlanTest {
  private static final int DURATION_S = 30;

  @TempDir private Path dir;

  @Test
  void oneSeedGivesOnePlanAndAWrittenPlanIsReadAsItWas() throws Exception {
    for (long seed = 1; seed <= 50; seed++) {
      SoakPlan plan = SoakPlan.generate(seed, 0, DURATION_S);
      assertEquals(plan, SoakPlan.generate(seed, 0, DURATION_S));
      Path file = Files.write(dir.resolve("plan-" + seed), plan.toLines());
      assertEquals(plan.toLines(), SoakPlan.read(file).toLines());
    }
    assertNotEquals(SoakPlan.generate(1, 0, DURATION_S), SoakPlan.generate(2, 0, DURATION_S));
  }

  @Test
  void fiftySeedsHaveEveryKindOfFaultAndSomeLargeFleets() {
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    LongStream.rangeClosed(1, 50)
        .mapToObj(seed -> SoakPlan.generate(seed, 0, DURATION_S))
        .forEach(plan -> plan.faults().forEach(fault -> kinds.add(fault.kind())));
    assertEquals(EnumSet.allOf(Kind.class), kinds);
    long large =
        LongStream.rangeClosed(1, 50)
            .filter(seed -> SoakPlan.generate(seed, 0, DURATION_S).workers() >= 200)
            .count();
    assertTrue(large > 2, "of 50 seeds only " + large + " have a few hundred workers");
  }

  @Test
  void aPlanBeyondHalfOfTheMemoryIsRefused() {
    SoakPlan plan = SoakPlan.generate(1, 2_000, DURATION_S);
    String message =
        assertThrows(InvalidInputException.class, () -> plan.check(3_000)).getMessage();
    assertTrue(message.contains("more than half"), message);
  }
}
