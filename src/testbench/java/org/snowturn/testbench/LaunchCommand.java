package org.snowturn.testbench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** How controllers are started: the run line of a deploy file, with another heap if asked for. */
final class LaunchCommand {
  private LaunchCommand() {}

  /** Reads {@code run} of the deploy file and checks that the jar it names is there. */
  static List<String> read(Path deployFile, Path root, int heapMb) throws InvalidInputException {
    String line;
    try {
      JsonNode node = new TomlMapper().readTree(deployFile.toFile());
      line = node.path("run").asText();
    } catch (IOException e) {
      throw new InvalidInputException(deployFile + ": cannot be read");
    }
    if (line.isBlank()) {
      throw new InvalidInputException(deployFile + ": no run line in it");
    }
    List<String> words = new ArrayList<>(List.of(line.trim().split("\\s+")));
    int jar = words.indexOf("-jar");
    if (jar >= 0 && !Files.exists(root.resolve(words.get(jar + 1)))) {
      throw new InvalidInputException(words.get(jar + 1) + ": not there; build the service first");
    }
    if (heapMb > 0) {
      words.replaceAll(w -> w.startsWith("-Xmx") ? "-Xmx" + heapMb + "m" : w);
    }
    return words;
  }
}
