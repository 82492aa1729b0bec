package org.snowturn.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.snowturn.config.Settings;

/**
 * How much spare capacity to hold, as a share of what is needed. The settings tell no prices' aims,
 * but two things that the users cannot have without machines that are up beforehand: hardly an
 * array late, or arrays that start sooner than a machine boots. Both count as far as they are asked
 * for, so that no small change of one figure turns a fleet that follows demand into one that holds
 * everything.
 */
public final class ScalingPolicy {
  /** Above what is needed where the users ask for nothing special. */
  private static final double LEAST = 0.15;

  /** Such a share of late arrays can be kept by following demand; half of it cannot. */
  private static final double LATE_BEARABLE = 0.05;

  /** How steeply the spare capacity grows as fewer may be late, where a fleet is kept up anyway. */
  private static final double STEEPNESS = 5;

  private static final double MOST_STRICT = 10;

  /** So many times what is needed is all that a cloud gives, or nearly. */
  private static final double ALL = 3;

  private final double strictness;
  private final Map<String, Settings.Objective> starts = new HashMap<>();

  private final DoubleSupplier bootS;
  private final BooleanSupplier standing;

  private ScalingPolicy(Settings settings, DoubleSupplier bootS, BooleanSupplier standing) {
    this.bootS = bootS;
    this.standing = standing;
    double late = 1;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("deadline") && objective.times() <= 1) {
        late = Math.min(late, 1 - objective.share());
      }
    }
    this.strictness = LATE_BEARABLE / Math.max(1e-3, late);
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait") && array(settings, objective.jobClass())) {
        starts.merge(objective.jobClass(), objective, (a, b) -> a.withinS() <= b.withinS() ? a : b);
      }
    }
  }

  /** Only arrays have deadlines. */
  private static boolean array(Settings settings, String jobClass) {
    return settings.objectives().stream()
        .anyMatch(
            objective ->
                objective.kind().equals("deadline") && objective.jobClass().equals(jobClass));
  }

  /**
   * The policy that these settings ask for.
   *
   * @param bootS how long the quickest boot takes
   * @param standing whether the operators keep machines up themselves
   */
  public static ScalingPolicy of(
      Settings settings, DoubleSupplier bootS, BooleanSupplier standing) {
    return new ScalingPolicy(settings, bootS, standing);
  }

  /**
   * For deadlines. Where machines are only ever hired for the work, the spare ones grow in
   * proportion to what may not be late: what is late there is late by bursts that no bearable spare
   * capacity holds, and all that a cloud gives cost twice the price for a hundredth of the arrays.
   */
  private double forDeadlines() {
    return LEAST
        * (standing.getAsBoolean()
            ? Math.pow(strictness, STEEPNESS)
            : Math.min(strictness, MOST_STRICT));
  }

  /** Spare capacity for arrays, as a share of what they need. */
  public double arrayHeadroom() {
    double forStarts = 0;
    for (Settings.Objective objective : starts.values()) {
      double sooner = Math.max(0, 1 - objective.withinS() / Math.max(1, bootS.getAsDouble()));
      forStarts =
          Math.max(forStarts, sooner * objective.share() / Math.max(1e-3, 1 - objective.share()));
    }
    return LEAST + forDeadlines() + forStarts;
  }

  /** Spare capacity for services, as a share of what they need. */
  public double serviceHeadroom() {
    return LEAST;
  }

  /** From 0, where capacity follows demand closely, to 1, where all that there is is held. */
  public double plenty() {
    return Math.min(1, (arrayHeadroom() - LEAST) / (ALL - LEAST));
  }
}
