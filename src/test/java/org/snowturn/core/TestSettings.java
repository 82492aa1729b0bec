package org.snowturn.core;

import java.util.List;
import org.snowturn.config.Settings;

/** Settings of a node of its own, for tests that need only some of them. */
final class TestSettings {
  private TestSettings() {}

  /** One zone and small limits, with these aims. */
  static Settings with(Settings.Objective... objectives) {
    Settings.StateLimits limits = new Settings.StateLimits(100, 100, 2, 4);
    return new Settings(
        "a",
        "z",
        null,
        null,
        List.of(),
        null,
        null,
        List.of("z"),
        List.of(),
        List.of(objectives),
        new Settings.Workers(2, 10, 30),
        limits,
        limits,
        new Settings.CloudLimits(1, 1),
        100);
  }
}
