package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snowturn.config.Settings;

/** The sign that decides between holding all capacity and following demand. */
class FleetPolicyTest {
  private static Settings settings(double inTime, double lateBearable) {
    InetSocketAddress none = InetSocketAddress.createUnresolved("none", 1);
    return new Settings(
        "n",
        "a",
        none,
        none,
        List.of(),
        none,
        none,
        List.of("a"),
        List.of(),
        List.of(
            new Settings.Objective("wait", "c", 0.999, 1, 1),
            new Settings.Objective("deadline", "c", inTime, 1, 0),
            new Settings.Objective("deadline", "c", lateBearable, 1.5, 0)),
        new Settings.Workers(2, 10, 30),
        new Settings.StateLimits(100, 20, 4, 8),
        new Settings.StateLimits(100, 20, 4, 8),
        new Settings.CloudLimits(2, 1),
        100);
  }

  /** Only the share in time counts: that at 1.5 times is high where price matters, too. */
  @ParameterizedTest
  @CsvSource({"0.99,0.99,true", "0.96,0.97,true", "0.94,0.995,false", "0.85,0.999,false"})
  void theStrictestShareInTimeDecides(double inTime, double lateBearable, boolean generous) {
    assertEquals(generous, FleetPolicy.of(settings(inTime, lateBearable)).generous());
  }
}
