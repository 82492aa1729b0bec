package org.snowturn.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;

/** Settings of a scenario by their names in its file; missing settings have defaults. */
final class ScenarioSettings {
  private static final int CONTROLLERS = 3;
  private static final Settings.StateLimits STATE_LIMITS = new Settings.StateLimits(150, 40, 4, 12);

  private final Map<String, ScenarioLine> lines = new HashMap<>();

  /** Adds the line of a setting; it replaces an earlier line of the same setting. */
  void add(ScenarioLine line) {
    lines.put(line.word(0), line);
  }

  /** Returns whether the scenario has this setting. */
  boolean has(String name) {
    return lines.containsKey(name);
  }

  /** Returns the line of a setting, or null if the scenario lacks it. */
  ScenarioLine line(String name) {
    return lines.get(name);
  }

  /** Returns the words of a setting, or those of {@code defaultWords} if it has unusedAddress. */
  List<String> words(String name, String defaultWords) {
    ScenarioLine line = lines.get(name);
    if (line == null || !line.hasWord(1)) {
      return List.of(defaultWords.split("\\s+", -1));
    }
    List<String> words = new ArrayList<>();
    for (int i = 1; i < line.size(); i++) {
      words.add(line.word(i));
    }
    return words;
  }

  /** Returns the number of a setting, or the default if the scenario lacks it. */
  double number(String name, double defaultValue) {
    return has(name) ? line(name).number(1) : defaultValue;
  }

  /** Returns the integer of a setting, or the default if the scenario lacks it. */
  int integer(String name, int defaultValue) {
    return has(name) ? line(name).integer(1) : defaultValue;
  }

  /** Returns the seeds of the scenario; the default is the single seed 1. */
  long[] seeds() {
    return words("seeds", "1").stream().mapToLong(Long::parseLong).toArray();
  }

  /** Returns the operators' tunables, with defaults for those that the scenario lacks. */
  Tunables tunables() {
    Tunables defaults = Tunables.defaults();
    return new Tunables(
        defaults.leaderTtlS(),
        !words("speculation", "on").get(0).equals("off"),
        number("cap", defaults.speculativeCap()),
        defaults.slowTaskPercentile(),
        defaults.slowNodePercentile(),
        defaults.judgeAfterS(),
        number("gain", defaults.gainFactor()),
        defaults.idleReturnS(),
        defaults.bootPatience(),
        defaults.sickErrors(),
        defaults.urgentSlackS(),
        number("begin-within", defaults.beginWithinS()));
  }

  /** Returns the settings of each controller. */
  Settings[] controllers() {
    Settings[] settings = new Settings[CONTROLLERS];
    for (int i = 0; i < settings.length; i++) {
      settings[i] = controller(i);
    }
    return settings;
  }

  private Settings controller(int index) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int peer = 0; peer < CONTROLLERS; peer++) {
      if (peer != index) {
        peers.add(
            new Settings.Peer(
                "n" + peer, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + peer)));
      }
    }
    InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Settings.StateLimits limits = limits("state", STATE_LIMITS);
    return new Settings(
        "n" + index,
        "abc".substring(index, index + 1),
        unusedAddress,
        unusedAddress,
        peers,
        unusedAddress,
        unusedAddress,
        List.of("a", "b", "c"),
        teams(),
        objectives(),
        workers(),
        limits,
        limits("next", limits),
        new Settings.CloudLimits(4, 3),
        1000);
  }

  private List<Settings.Team> teams() {
    List<Settings.Team> teams = new ArrayList<>();
    for (String word : words("teams", "t:0")) {
      String[] parts = word.split(":", -1);
      double guarantee = parts.length > 2 ? Double.parseDouble(parts[2]) : 0;
      teams.add(new Settings.Team(parts[0], guarantee, Double.parseDouble(parts[1]), 0, 0));
    }
    return teams;
  }

  private Settings.Workers workers() {
    if (!has("workers")) {
      return new Settings.Workers(2, 10, 30);
    }
    ScenarioLine line = line("workers");
    return new Settings.Workers(line.number(1), line.number(2), line.number(3));
  }

  private List<Settings.Objective> objectives() {
    List<Settings.Objective> objectives = new ArrayList<>();
    objectives.add(new Settings.Objective("deadline", "c", number("on-time", 0.99), 1, 0));
    if (has("start-within")) {
      objectives.add(new Settings.Objective("wait", "c", 0.9, 0, line("start-within").number(1)));
    }
    return objectives;
  }

  private Settings.StateLimits limits(String name, Settings.StateLimits defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    ScenarioLine line = line(name);
    return new Settings.StateLimits(
        line.number(1), line.number(2), line.number(3), line.integer(4));
  }
}
