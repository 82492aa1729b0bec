package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Runs all scenario files; {@code -Dscenario=PREFIX} selects files by the start of their names. */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
  @TestFactory
  Stream<DynamicTest> scenarios() throws Exception {
    List<DynamicTest> tests = new ArrayList<>();
    String prefix = System.getProperty("scenario", "");
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".txt")).sorted().toList()) {
        if (!file.getFileName().toString().startsWith(prefix)) {
          continue;
        }
        for (long seed : Scenario.read(file).seeds()) {
          Scenario scenario = Scenario.read(file); // not shared, since runs are concurrent
          String name = file.getFileName() + " seed " + seed;
          tests.add(
              DynamicTest.dynamicTest(
                  name, () -> assertEquals("", String.join("\n", scenario.run(seed)), name)));
        }
      }
    }
    return tests.stream();
  }
}
