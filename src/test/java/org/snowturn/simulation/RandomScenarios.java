package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Plays scenarios that are drawn from seeds; one that fails prints itself. */
final class RandomScenarios {
  private RandomScenarios() {}

  /**
   * One test a seed.
   *
   * @param property names the system property that gives other seeds than the build's, FROM-TO
   */
  static Stream<DynamicTest> runSeeds(
      String property, String seeds, IntFunction<List<String>> draw) {
    String[] ends = System.getProperty(property, seeds).split("-", -1);
    return IntStream.rangeClosed(Integer.parseInt(ends[0]), Integer.parseInt(ends[1]))
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest("seed " + seed, () -> runSeeds(seed, draw.apply(seed))));
  }

  private static void runSeeds(int seed, List<String> text) throws Exception {
    List<String> wrong = Scenario.of(text).run(seed);
    assertEquals("", String.join("\n", wrong), () -> String.join("\n", text) + "\n");
  }
}
