package org.snowturn.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.snowturn.config.Settings;

/**
 * How much headroom to hold, as a share of what is needed. The settings give no weight to cost, but
 * they have two service-level objectives that cannot be met without machines that are up
 * beforehand: hardly an array late, or arrays that start sooner than a machine boots. Both count as
 * far as they are asked for, so that a small change of one setting does not turn a fleet that
 * follows demand into one that holds everything.
 */
public final class ScalingPolicy {
  /** Headroom for services, and for arrays without demanding objectives. */
  private static final double BASE_HEADROOM = 0.15;

  /** Such a share of late arrays can be kept by following demand; half of it cannot. */
  private static final double ACHIEVABLE_LATE_SHARE = 0.05;

  /** Where a fleet is kept up anyway, headroom grows with this power of the strictness. */
  private static final double STRICTNESS_EXPONENT = 5;

  private static final double MAX_STRICTNESS = 10;

  /** At so many times what is needed, the fleet holds nearly all that a cloud gives. */
  private static final double MAX_HEADROOM = 3;

  private static final double MIN_SHARE = 1e-3;

  private final double strictness;
  private final Map<String, Settings.Objective> startObjectives = new HashMap<>();
  private final DoubleSupplier quickestBootS;
  private final BooleanSupplier externallyManaged;

  private ScalingPolicy(
      Settings settings, DoubleSupplier quickestBootS, BooleanSupplier externallyManaged) {
    this.quickestBootS = quickestBootS;
    this.externallyManaged = externallyManaged;
    this.strictness = ACHIEVABLE_LATE_SHARE / Math.max(MIN_SHARE, allowedLateShare(settings));
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

  /** Only arrays have deadlines. */
  private static boolean isArrayClass(Settings settings, String jobClass) {
    return settings.objectives().stream()
        .anyMatch(
            objective ->
                objective.kind().equals("deadline") && objective.jobClass().equals(jobClass));
  }

  /**
   * The policy that these settings ask for.
   *
   * @param quickestBootS the boot time of the machine type that boots fastest, in seconds
   * @param externallyManaged whether the operators keep machines up themselves
   */
  public static ScalingPolicy of(
      Settings settings, DoubleSupplier quickestBootS, BooleanSupplier externallyManaged) {
    return new ScalingPolicy(settings, quickestBootS, externallyManaged);
  }

  /**
   * Where all machines are rented for the work, headroom grows only in proportion to the
   * strictness: what is late there is late by bursts that no affordable headroom covers.
   */
  private double deadlineHeadroom() {
    return BASE_HEADROOM
        * (externallyManaged.getAsBoolean()
            ? Math.pow(strictness, STRICTNESS_EXPONENT)
            : Math.min(strictness, MAX_STRICTNESS));
  }

  /** Headroom for arrays, as a share of what they need. */
  public double arrayHeadroom() {
    double startHeadroom = 0;
    for (Settings.Objective objective : startObjectives.values()) {
      double bootS = Math.max(1, quickestBootS.getAsDouble());
      double beforeBoot = Math.max(0, 1 - objective.withinS() / bootS);
      double odds = objective.share() / Math.max(MIN_SHARE, 1 - objective.share());
      startHeadroom = Math.max(startHeadroom, beforeBoot * odds);
    }
    return BASE_HEADROOM + deadlineHeadroom() + startHeadroom;
  }

  /** Headroom for services, as a share of what they need. */
  public double serviceHeadroom() {
    return BASE_HEADROOM;
  }

  /** From 0, where capacity follows demand closely, to 1, where all that can be had is held. */
  public double overprovisioning() {
    return Math.min(1, (arrayHeadroom() - BASE_HEADROOM) / (MAX_HEADROOM - BASE_HEADROOM));
  }
}
