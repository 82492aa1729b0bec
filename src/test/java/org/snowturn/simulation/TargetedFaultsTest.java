package org.snowturn.simulation;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Like {@link OverlappingFaultsTest}, with faults that are aimed at one guard each. {@code
 * -Dtargeted=FROM-TO} plays other seeds than the build does.
 */
@Execution(ExecutionMode.CONCURRENT)
class TargetedFaultsTest {
  private static final String SEEDS = "1-112";

  @TestFactory
  Stream<DynamicTest> noRuleIsBroken() {
    return RandomScenarios.runSeeds("targeted", SEEDS, seed -> new TargetedFaults(seed).generate());
  }
}
