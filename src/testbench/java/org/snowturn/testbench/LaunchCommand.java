package org.snowturn.testbench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the command line that starts a controller from a deploy file. */
final class LaunchCommand {
  private static final String JAR_OPTION = "-jar";
  private static final String HEAP_OPTION = "-Xmx";

  private LaunchCommand() {}

  /**
   * Reads the value of {@code run} and checks that the jar file in it exists.
   *
   * @param deployFile TOML file with the key {@code run}
   * @param root directory that the path of the jar file is relative to
   * @param heapMb maximum heap that replaces the one in the file, in MB; 0 keeps the file's
   * @return the command and its arguments
   */
  static List<String> read(Path deployFile, Path root, int heapMb) throws InvalidInputException {
    String runCommand;
    try {
      JsonNode node = new TomlMapper().readTree(deployFile.toFile());
      runCommand = node.path("run").asText();
    } catch (IOException e) {
      throw new InvalidInputException(deployFile + ": cannot be read as TOML");
    }
    if (runCommand.isBlank()) {
      throw new InvalidInputException(deployFile + ": no value for the key \"run\"");
    }
    List<String> words = new ArrayList<>(List.of(runCommand.trim().split("\\s+")));
    int jarOption = words.indexOf(JAR_OPTION);
    if (jarOption >= 0 && !Files.exists(root.resolve(words.get(jarOption + 1)))) {
      throw new InvalidInputException(
          words.get(jarOption + 1) + ": no such file; build the service first");
    }
    if (heapMb > 0) {
      words.replaceAll(word -> word.startsWith(HEAP_OPTION) ? HEAP_OPTION + heapMb + "m" : word);
    }
    return words;
  }
}
