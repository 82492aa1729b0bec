package org.snowturn.simulation;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Under overlapping faults no rule is broken, and in the end all that was not cancelled is done.
 *
 * <p>A seed that fails prints its scenario, to be shrunk to one of its own. {@code
 * -Doverlapping=FROM-TO} plays other seeds than the build does.
 */
@Execution(ExecutionMode.CONCURRENT)
class OverlappingFaultsTest {
  private static final String SEEDS = "1-80";

  @TestFactory
  Stream<DynamicTest> noRuleIsBroken() {
    return RandomScenarios.runSeeds(
        "overlapping", SEEDS, seed -> new OverlappingFaults(seed).generate());
  }
}
