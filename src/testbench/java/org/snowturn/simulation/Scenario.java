package org.snowturn.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.wire.MalformedException;

/**
 * A scenario: settings, events at their times and what must hold in the end. See the README of the
 * scenario files.
 */
final class Scenario {
  private static final Path FIXTURES = Path.of("src", "test", "resources", "fixtures");
  private static final int MAX_START_DELAY_MS = 300;

  private final ScenarioSettings settings = new ScenarioSettings();
  private final List<ScenarioLine> events = new ArrayList<>();
  private final List<ScenarioLine> expectations = new ArrayList<>();

  /** The cluster of the last run, for whoever wants to look closer. */
  SimulatedCluster lastCluster;

  /** Is told of everything that the controllers of a run send. */
  EffectObserver observer = EffectObserver.NONE;

  static Scenario read(Path file) throws IOException {
    return of(file.getFileName().toString(), Files.readAllLines(file));
  }

  /** A scenario that stands in no file. */
  static Scenario of(List<String> text) {
    return of("scenario", text);
  }

  private static Scenario of(String file, List<String> text) {
    Scenario scenario = new Scenario();
    for (int i = 0; i < text.size(); i++) {
      String content = text.get(i).replaceFirst("#.*", "").trim();
      if (!content.isEmpty()) {
        scenario.add(new ScenarioLine(file, i + 1, content));
      }
    }
    return scenario;
  }

  private void add(ScenarioLine line) {
    switch (line.word(0)) {
      case "at" -> events.add(line);
      case "expect" -> expectations.add(line);
      default -> settings.add(line);
    }
  }

  long[] seeds() {
    return settings.seeds();
  }

  /** The settings of the controllers. */
  Settings[] settings() {
    return settings.controllers();
  }

  /** Runs it once; returns what went wrong, empty if nothing did. */
  List<String> run(long seed) throws IOException, MalformedException {
    SimulatedCluster cluster = prepare(seed);
    cluster.runUntil(settings.integer("until", 120) * 1000L);
    if (settings.has("serve")) {
      ScenarioLine serve = settings.line("serve");
      cluster.invariants.checkServed(serve.number(1), serve.millis(2));
    }
    return ScenarioExpectations.check(cluster, expectations);
  }

  private SimulatedCluster prepare(long seed) throws IOException, MalformedException {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings(), settings.tunables());
    lastCluster = cluster;
    cluster.observer = observer;
    if (settings.has("boot")) {
      cluster.cloud.bootMs = settings.line("boot").millis(1);
    }
    cluster.cloud.perZone = settings.integer("capacity", 2);
    cluster.seededBugs.addAll(settings.words("seeded-bugs", ""));
    List<String> zones = cluster.settings[0].zones();
    int machines = settings.integer("machines", 3);
    for (int i = 0; i < machines; i++) {
      cluster.cloud.rent(zones.get(i % zones.size()), false);
    }
    if (settings.has("fixture")) {
      cluster.state.load(FIXTURES.resolve(settings.line("fixture").word(1)));
    }
    List<String> down = settings.words("down", "");
    cluster.nodes.stream()
        .filter(node -> !down.contains(node.name))
        .forEach(node -> cluster.after(cluster.random.nextInt(MAX_START_DELAY_MS), node::start));
    events.forEach(line -> ScenarioEvents.schedule(cluster, line));
    if (settings.has("random-faults")) {
      new RandomFaults(cluster).start(settings.line("random-faults").integer(1) * 1000L);
    }
    cluster.faultsEndMs = faultsEndMs();
    return cluster;
  }

  /**
   * When the last fault is over: the last event that is no client's, and the longest of the times
   * that such an event names.
   */
  private long faultsEndMs() {
    double endS = settings.number("random-faults", 0);
    for (ScenarioLine line : events) {
      endS = Math.max(endS, ScenarioEvents.faultEndsS(line));
    }
    return (long) (endS * 1000);
  }
}
