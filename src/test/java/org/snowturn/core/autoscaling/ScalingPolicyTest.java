package org.snowturn.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowturn.config.Settings;
import org.snowturn.core.TestSettings;

/**
 * Guards against a policy that follows demand although an objective requires machines beforehand,
 * or the reverse, and against jumps of the headroom on small changes of an objective.
 */
class ScalingPolicyTest {
  private static final double BOOT_S = 20;

  private static ScalingPolicy policy(double onTimeShare, double startWithinS, double startShare) {
    return policy(onTimeShare, startWithinS, startShare, true);
  }

  private static ScalingPolicy policy(
      double onTimeShare,
      double startWithinS,
      double startShare,
      boolean hasExternallyManagedMachines) {
    Settings settings =
        TestSettings.with(
            new Settings.Objective("wait", "service", 0.999, 1, 1),
            new Settings.Objective("wait", "c", startShare, 1, startWithinS),
            new Settings.Objective("deadline", "c", onTimeShare, 1, 0),
            new Settings.Objective("deadline", "c", 0.999, 1.5, 0));
    return ScalingPolicy.of(settings, () -> BOOT_S, () -> hasExternallyManagedMachines);
  }

  /**
   * Full overprovisioning is needed for a very low share of late arrays, or for starts sooner than
   * a boot. The start objective of a service has no effect.
   */
  @ParameterizedTest
  @CsvSource({
    "0.98, 60, 0.9, 1.0, 1.0",
    "0.95, 1, 0.85, 1.0, 1.0",
    "0.95, 60, 0.999, 0.0, 0.1",
    "0.85, 60, 0.999, 0.0, 0.01",
    "0.85, 19, 0.5, 0.0, 0.05",
  })
  void overprovisioningFollowsTheObjectives(
      double onTimeShare, double startWithinS, double share, double min, double max) {
    double overprovisioning = policy(onTimeShare, startWithinS, share).overprovisioning();
    assertTrue(
        overprovisioning >= min && overprovisioning <= max, "overprovisioning " + overprovisioning);
  }

  /**
   * Without externally managed machines, strict deadlines alone do not cause full overprovisioning.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.95, 0.98, 0.985, 0.99, 0.995})
  void deadlinesAloneDoNotCauseFullOverprovisioningWithoutExternallyManagedMachines(
      double onTimeShare) {
    double overprovisioning = policy(onTimeShare, 60, 0.9, false).overprovisioning();
    assertTrue(
        overprovisioning > 0 && overprovisioning <= 0.6, "overprovisioning " + overprovisioning);
    assertEquals(1.0, policy(onTimeShare, 1, 0.9, false).overprovisioning(), 1e-9);
  }

  /** Lowering the share of late arrays by a twentieth adds less than 30 % to the fleet. */
  @ParameterizedTest
  @ValueSource(doubles = {0.7, 0.8, 0.9, 0.94, 0.949, 0.95, 0.951, 0.96, 0.965})
  void headroomIsContinuousInTheDeadlineShare(double onTimeShare) {
    double before = policy(onTimeShare, 60, 0.9).arrayHeadroom();
    double after = policy(1 - (1 - onTimeShare) * 0.95, 60, 0.9).arrayHeadroom();
    assertTrue(after >= before && after - before < 0.3 * (1 + before), before + " to " + after);
  }

  @ParameterizedTest
  @ValueSource(doubles = {2, 5, 10, 15, 19, 19.9, 20, 20.1, 30})
  void headroomIsContinuousInTheStartObjective(double startWithinS) {
    double before = policy(0.9, startWithinS, 0.7).arrayHeadroom();
    double after = policy(0.9, startWithinS * 1.05, 0.7).arrayHeadroom();
    assertEquals(before, after, 0.15);
  }
}
