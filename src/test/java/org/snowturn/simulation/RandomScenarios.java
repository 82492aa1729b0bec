package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Runner of scenarios generated from seeds; a failure message contains the scenario. */
final class RandomScenarios {
  private RandomScenarios() {}

  /**
   * Returns one test per seed.
   *
   * @param property name of the system property that overrides the seeds
   * @param seeds default range of seeds, in the form FROM-TO
   * @param generator function from a seed to the lines of a scenario
   */
  static Stream<DynamicTest> runSeeds(
      String property, String seeds, IntFunction<List<String>> generator) {
    String[] range = System.getProperty(property, seeds).split("-", -1);
    return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]))
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> runSeed(seed, generator.apply(seed))));
  }

  private static void runSeed(int seed, List<String> text) throws Exception {
    List<String> failures = Scenario.of(text).run(seed);
    assertEquals("", String.join("\n", failures), () -> String.join("\n", text) + "\n");
  }
}
