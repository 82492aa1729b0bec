package org.snowturn.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * One run of a scenario in simulated time.
 *
 * @param name tells it from all others
 * @param text the scenario's lines
 */
public record Simulation(String name, List<String> text, long seed) {
  /** Every scenario file of a folder, with each of its seeds, in the order of their names. */
  public static List<Simulation> ofFiles(Path folder) throws IOException {
    List<Simulation> out = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(p -> p.toString().endsWith(".txt")).sorted().toList()) {
        List<String> text = Files.readAllLines(file);
        for (long seed : Scenario.of(text).seeds()) {
          out.add(new Simulation(file.getFileName() + " seed " + seed, text, seed));
        }
      }
    }
    return out;
  }

  /** The scenarios of overlapping faults that these seeds draw. */
  public static List<Simulation> ofOverlappingFaults(int firstSeed, int lastSeed) {
    List<Simulation> out = new ArrayList<>();
    for (int seed = firstSeed; seed <= lastSeed; seed++) {
      List<String> text = new OverlappingFaults(seed).generate();
      out.add(new Simulation("overlapping faults seed " + seed, text, seed));
    }
    return out;
  }

  /** The scenarios of targeted faults that these seeds draw. */
  public static List<Simulation> ofTargetedFaults(int firstSeed, int lastSeed) {
    List<Simulation> out = new ArrayList<>();
    for (int seed = firstSeed; seed <= lastSeed; seed++) {
      List<String> text = new TargetedFaults(seed).generate();
      out.add(new Simulation("targeted faults seed " + seed, text, seed));
    }
    return out;
  }
}
