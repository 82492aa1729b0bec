package org.snowturn.simulation;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against invariants violated, or jobs not finished, when random faults overlap.
 *
 * <p>A failing seed prints its scenario, which can then be reduced to a scenario file. {@code
 * -Doverlapping=FROM-TO} runs other seeds than the build does.
 */
@Execution(ExecutionMode.CONCURRENT)
class OverlappingFaultsTest {
  private static final String SEEDS = "1-80";

  @TestFactory
  Stream<DynamicTest> invariantsHold() {
    return RandomScenarios.runSeeds(
        "overlapping", SEEDS, seed -> new OverlappingFaults(seed).generate());
  }
}
