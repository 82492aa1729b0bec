package org.snowturn.core;

import org.snowturn.config.Settings;

/**
 * How much spare capacity to hold. The settings tell no prices' aims, but how many late jobs the
 * users can bear: where hardly any may be late, everything the cloud gives is held; where some may,
 * capacity follows demand with some headroom, and idle machines are returned.
 */
record FleetPolicy(boolean generous, double arrayHeadroom, double serviceHeadroom) {
  private static final double TIGHT_SHARE = 0.95;

  static FleetPolicy of(Settings s) {
    double share = 0;
    for (Settings.Objective o : s.objectives()) {
      if (o.kind().equals("deadline") && o.times() <= 1) {
        share = Math.max(share, o.share());
      }
    }
    return new FleetPolicy(share >= TIGHT_SHARE, 0.15, 0.15);
  }
}
