package org.snowturn.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.snowturn.config.Settings;

/**
 * The headroom to hold, as a share of the CPUs needed. The settings give no weight to cost, but
 * they have two service-level objectives that can only be met by machines that are up beforehand: a
 * very low share of late arrays, and arrays that start sooner than a machine boots. The headroom
 * grows continuously as either objective gets stricter, so that a small change of one setting does
 * not turn a fleet that follows demand into one that holds all available capacity.
 */
public final class ScalingPolicy {
  /** Headroom for services, and for arrays without demanding objectives. */
  private static final double BASE_HEADROOM = 0.15;

  /** Share of late arrays that is achievable by following demand; half this share is not. */
  private static final double ACHIEVABLE_LATE_SHARE = 0.05;

  /**
   * Power of the deadline strictness with which headroom grows if operators run machines
   * themselves.
   */
  private static final double DEADLINE_STRICTNESS_EXPONENT = 5;

  /** Limit of the deadline strictness if all machines are rented by this service. */
  private static final double MAX_DEADLINE_STRICTNESS = 10;

  /** Headroom at which the fleet holds nearly all capacity that a cloud provides. */
  private static final double MAX_HEADROOM = 3;

  /** Lower bound of shares that are used as divisors. */
  private static final double MIN_SHARE = 1e-3;

  /** Ratio of {@link #ACHIEVABLE_LATE_SHARE} to the share of arrays that may be late. */
  private final double deadlineStrictness;

  /** The earliest start objective of each class of arrays. */
  private final Map<String, Settings.Objective> startObjectives = new HashMap<>();

  private final DoubleSupplier quickestBootS;
  private final BooleanSupplier hasExternallyManagedMachines;

  private ScalingPolicy(
      Settings settings,
      DoubleSupplier quickestBootS,
      BooleanSupplier hasExternallyManagedMachines) {
    this.quickestBootS = quickestBootS;
    this.hasExternallyManagedMachines = hasExternallyManagedMachines;
    this.deadlineStrictness =
        ACHIEVABLE_LATE_SHARE / Math.max(MIN_SHARE, allowedLateShare(settings));
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait") && isArrayClass(settings, objective.jobClass())) {
        startObjectives.merge(objective.jobClass(), objective, ScalingPolicy::earlier);
      }
    }
  }

  private static Settings.Objective earlier(Settings.Objective first, Settings.Objective second) {
    return first.withinS() <= second.withinS() ? first : second;
  }

  private static double allowedLateShare(Settings settings) {
    double lateShare = 1;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("deadline") && objective.deadlineFactor() <= 1) {
        lateShare = Math.min(lateShare, 1 - objective.share());
      }
    }
    return lateShare;
  }

  /** Returns whether jobs of the class are arrays: only arrays have deadline objectives. */
  private static boolean isArrayClass(Settings settings, String jobClass) {
    return settings.objectives().stream()
        .anyMatch(
            objective ->
                objective.kind().equals("deadline") && objective.jobClass().equals(jobClass));
  }

  /**
   * Returns the policy for these settings.
   *
   * @param quickestBootS supplies the boot time of the fastest booting machine type, in seconds
   * @param hasExternallyManagedMachines supplies whether the operators run machines themselves
   */
  public static ScalingPolicy of(
      Settings settings,
      DoubleSupplier quickestBootS,
      BooleanSupplier hasExternallyManagedMachines) {
    return new ScalingPolicy(settings, quickestBootS, hasExternallyManagedMachines);
  }

  /**
   * Returns the headroom for the deadline objectives, as a share of the CPUs needed. If this
   * service rents all machines, the headroom grows only in proportion to the deadline strictness,
   * because arrays are then late in bursts that no affordable headroom covers.
   */
  private double deadlineHeadroom() {
    return BASE_HEADROOM
        * (hasExternallyManagedMachines.getAsBoolean()
            ? Math.pow(deadlineStrictness, DEADLINE_STRICTNESS_EXPONENT)
            : Math.min(deadlineStrictness, MAX_DEADLINE_STRICTNESS));
  }

  /** Returns the headroom for arrays, as a share of the CPUs that they need. */
  public double arrayHeadroom() {
    double startHeadroom = 0;
    for (Settings.Objective objective : startObjectives.values()) {
      double bootS = Math.max(1, quickestBootS.getAsDouble());
      double shareBeforeBoot = Math.max(0, 1 - objective.withinS() / bootS);
      double odds = objective.share() / Math.max(MIN_SHARE, 1 - objective.share());
      startHeadroom = Math.max(startHeadroom, shareBeforeBoot * odds);
    }
    return BASE_HEADROOM + deadlineHeadroom() + startHeadroom;
  }

  /** Returns the headroom for services, as a share of the CPUs that they need. */
  public double serviceHeadroom() {
    return BASE_HEADROOM;
  }

  /**
   * Returns the degree of overprovisioning, from 0 (capacity follows demand closely) to 1 (the
   * fleet holds all capacity that can be rented).
   */
  public double overprovisioning() {
    return Math.min(1, (arrayHeadroom() - BASE_HEADROOM) / (MAX_HEADROOM - BASE_HEADROOM));
  }
}
