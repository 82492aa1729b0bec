package org.snowturn.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.snowturn.config.Settings;

/** Settings of one node, for tests that use only a few of them. */
public final class TestSettings {
  private TestSettings() {}

  /** Returns settings with one zone, small limits, and the given objectives. */
  public static Settings with(Settings.Objective... objectives) {
    return of("a", List.of(), objectives);
  }

  /** Returns settings with one zone, small limits, and one peer. */
  public static Settings withPeer(String name) {
    return of(
        "a",
        List.of(
            new Settings.Peer(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1))));
  }

  /**
   * Returns the settings of one of three nodes.
   *
   * @param node n0, n1 or n2
   */
  public static Settings of(String node) {
    List<Settings.Peer> peers =
        Stream.of("n0", "n1", "n2")
            .filter(name -> !name.equals(node))
            .map(
                name ->
                    new Settings.Peer(
                        name, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)))
            .toList();
    return of(node, peers);
  }

  private static Settings of(
      String node, List<Settings.Peer> peers, Settings.Objective... objectives) {
    Settings.StateLimits limits = new Settings.StateLimits(100, 100, 2, 4);
    return new Settings(
        node,
        "z",
        null,
        null,
        peers,
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
