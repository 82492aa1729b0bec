package org.snowturn.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.wire.MalformedException;

/**
 * Scenario of settings, timed events and expectations that must hold at the end. The README beside
 * the scenario files describes the format.
 */
final class Scenario {
  private static final long BYTES_PER_MB = 1 << 20;
  private static final Path FIXTURES = Path.of("src", "test", "resources", "fixtures");
  private static final int MAX_START_DELAY_MS = 300;

  private final ScenarioSettings settings = new ScenarioSettings();
  private final List<ScenarioLine> events = new ArrayList<>();
  private final List<ScenarioLine> expectations = new ArrayList<>();

  /** Cluster of the last run, for inspection after the run. */
  SimulatedCluster lastCluster;

  /** Observer of the effects that the controllers produce in a run. */
  EffectObserver observer = EffectObserver.NONE;

  /** Reads a scenario from a file. */
  static Scenario read(Path file) throws IOException {
    return of(file.getFileName().toString(), Files.readAllLines(file));
  }

  /** Creates a scenario from lines of text that are in no file. */
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

  /** Returns the seeds to run the scenario with. */
  long[] seeds() {
    return settings.seeds();
  }

  /** Returns the settings of each controller. */
  Settings[] settings() {
    return settings.controllers();
  }

  /** Runs the scenario once and returns the failures, empty if all expectations are met. */
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
    cluster.cloud.capacityPerZone = settings.integer("capacity", 2);
    if (settings.has("heap")) {
      cluster.heapBytes = settings.line("heap").integer(1) * BYTES_PER_MB;
    }
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
   * Returns the time in milliseconds at which the last fault ends. The largest number in the line
   * of a fault is taken as its duration.
   */
  private long faultsEndMs() {
    double endS = settings.number("random-faults", 0);
    for (ScenarioLine line : events) {
      endS = Math.max(endS, ScenarioEvents.faultEndsS(line));
    }
    return (long) (endS * 1000);
  }
}
