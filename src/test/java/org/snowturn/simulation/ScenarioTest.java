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

/** The one runner of all scenario files; {@code -Dscenario=gap} runs those whose name begins so. */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
  @TestFactory
  Stream<DynamicTest> scenarios() throws Exception {
    List<DynamicTest> tests = new ArrayList<>();
    String begins = System.getProperty("scenario", "");
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
      for (Path f : files.filter(p -> p.toString().endsWith(".txt")).sorted().toList()) {
        if (!f.getFileName().toString().startsWith(begins)) {
          continue;
        }
        for (long seed : Scenario.read(f).seeds()) {
          Scenario s = Scenario.read(f); // one for each, since they are played side by side
          String name = f.getFileName() + " seed " + seed;
          tests.add(
              DynamicTest.dynamicTest(
                  name, () -> assertEquals("", String.join("\n", s.run(seed)), name)));
        }
      }
    }
    return tests.stream();
  }
}
