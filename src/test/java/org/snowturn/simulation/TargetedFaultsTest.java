package org.snowturn.simulation;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards, like {@link OverlappingFaultsTest}, against violated invariants, with faults that each
 * target one check in the controller. {@code -Dtargeted=FROM-TO} runs other seeds than the build
 * does.
 */
@Execution(ExecutionMode.CONCURRENT)
class TargetedFaultsTest {
  private static final String SEEDS = "1-112";

  @TestFactory
  Stream<DynamicTest> invariantsHold() {
    return RandomScenarios.runSeeds("targeted", SEEDS, seed -> new TargetedFaults(seed).generate());
  }
}
