package org.snowturn.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Run of a scenario in simulated time.
 *
 * @param name unique name of the run
 * @param text lines of the scenario
 * @param seed seed of the simulation's random numbers
 */
public record Simulation(String name, List<String> text, long seed) {
  /** Returns a run for each seed of every scenario file in a folder, ordered by file name. */
  public static List<Simulation> ofFiles(Path folder) throws IOException {
    List<Simulation> simulations = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(p -> p.toString().endsWith(".txt")).sorted().toList()) {
        List<String> text = Files.readAllLines(file);
        for (long seed : Scenario.of(text).seeds()) {
          simulations.add(new Simulation(file.getFileName() + " seed " + seed, text, seed));
        }
      }
    }
    return simulations;
  }

  /** Returns a run with overlapping faults for each seed from the first to the last. */
  public static List<Simulation> ofOverlappingFaults(int firstSeed, int lastSeed) {
    List<Simulation> simulations = new ArrayList<>();
    for (int seed = firstSeed; seed <= lastSeed; seed++) {
      List<String> text = new OverlappingFaults(seed).generate();
      simulations.add(new Simulation("overlapping faults seed " + seed, text, seed));
    }
    return simulations;
  }

  /** Returns a run with targeted faults for each seed from the first to the last. */
  public static List<Simulation> ofTargetedFaults(int firstSeed, int lastSeed) {
    List<Simulation> simulations = new ArrayList<>();
    for (int seed = firstSeed; seed <= lastSeed; seed++) {
      List<String> text = new TargetedFaults(seed).generate();
      simulations.add(new Simulation("targeted faults seed " + seed, text, seed));
    }
    return simulations;
  }
}
