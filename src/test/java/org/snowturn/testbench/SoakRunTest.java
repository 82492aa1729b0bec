package org.snowturn.testbench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowturn.testbench.SoakVerdict.Result;

/**
 * Short soak runs with real controllers as processes of the classes under test. They mostly wait,
 * so other tests run beside them; nothing in them depends on how fast anything is.
 */
@Execution(ExecutionMode.CONCURRENT)
class SoakRunTest {
  private static final int WORKERS = 20;
  private static final int DURATION_S = 10;

  @TempDir private Path dir;

  private static List<String> command(String mainClass) {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    return List.of(
        java, "-Xmx80m", "-XX:TieredStopAtLevel=1", "-cp", classes, mainClass, "--config");
  }

  private SoakRun run(SoakPlan plan, String mainClass) {
    return new SoakRun(plan, command(mainClass), dir, dir, false, line -> {});
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 11, 17})
  void noRuleIsBrokenUnderDrawnFaultsAndNothingIsLeftRunning(long seed) throws Exception {
    SoakPlan plan = SoakPlan.generate(seed, WORKERS, DURATION_S);
    SoakVerdict verdict = run(plan, "org.snowturn.daemon.Main").play();
    assertEquals(List.of(), verdict.details());
    assertEquals(Result.PASSED, verdict.result());
    assertTrue(verdict.starts() > 0);
    assertEquals(List.of(), children());
    assertTrue(Files.exists(dir.resolve("plan.txt")));
    assertFalse(Files.exists(dir.resolve("messages.log")), "kept though the run passed");
  }

  /** The plan of docs/incidents/ran-twice-at-size.md: without its fix invariants are violated. */
  @Test
  void startsThatWaitBehindLateCommandsDoNotOutliveTheirAttempts() throws Exception {
    SoakPlan plan = SoakPlan.read(Path.of("src/test/resources/soak/queued-start.txt"));
    assertEquals(List.of(), run(plan, "org.snowturn.daemon.Main").play().details());
  }

  @Test
  void aControllerThatDoesNotStartIsNamedAndNothingIsLeftRunning() {
    SoakRun run = run(SoakPlan.generate(1, WORKERS, DURATION_S), "org.snowturn.daemon.NoSuchMain");
    String message = assertThrows(InvalidInputException.class, run::play).getMessage();
    assertTrue(message.contains("does not start"), message);
    assertEquals(List.of(), children());
  }

  /** This run's processes: each has its settings in this run's folder. */
  private List<String> children() {
    return ProcessHandle.current()
        .children()
        .filter(ProcessHandle::isAlive)
        .map(p -> p.info().commandLine().orElse(""))
        .filter(line -> line.contains(dir.toString()))
        .toList();
  }
}
