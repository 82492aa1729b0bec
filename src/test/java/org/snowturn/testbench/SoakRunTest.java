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
 * Short soak runs with real controllers in processes of their own. They guard against rules broken
 * under random faults, and against processes left running after a run. They mostly wait and do not
 * depend on speed, so that they run concurrently with other tests.
 */
@Execution(ExecutionMode.CONCURRENT)
class SoakRunTest {
  private static final int WORKERS = 20;
  private static final int DURATION_S = 10;

  @TempDir private Path dir;

  private static List<String> controllerCommand(String mainClass) {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classPath = System.getProperty("java.class.path");
    return List.of(
        java,
        "-Xmx80m",
        "-XX:+UseSerialGC",
        "-XX:+ExitOnOutOfMemoryError",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        classPath,
        mainClass,
        "--config");
  }

  private SoakRun run(SoakPlan plan, String mainClass) {
    return new SoakRun(plan, controllerCommand(mainClass), dir, dir, false, line -> {});
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 11, 17})
  void noRuleIsBrokenUnderRandomFaultsAndNothingIsLeftRunning(long seed) throws Exception {
    SoakPlan plan = SoakPlan.generate(seed, WORKERS, DURATION_S);
    SoakVerdict verdict = run(plan, "org.snowturn.daemon.Main").play();
    assertEquals(List.of(), verdict.details());
    assertEquals(Result.PASSED, verdict.result());
    assertTrue(verdict.starts() > 0);
    assertEquals(List.of(), controllerProcesses());
    assertTrue(Files.exists(dir.resolve("plan.txt")));
    assertFalse(
        Files.exists(dir.resolve("messages.log")), "messages.log was kept although the run passed");
  }

  /**
   * The plan of docs/incidents/ran-twice-at-size.md: start commands wait in a queue behind delayed
   * commands. Without the fix of that incident, invariants are violated.
   */
  @Test
  void queuedStartsBehindDelayedCommandsDoNotOutliveTheirAttempts() throws Exception {
    SoakPlan plan = SoakPlan.read(Path.of("src/test/resources/soak/queued-start.txt"));
    assertEquals(List.of(), run(plan, "org.snowturn.daemon.Main").play().details());
  }

  /** Guards against answered starts that arrive once more and run an ended attempt again. */
  @Test
  void copiesOfAnsweredStartsRunNoEndedAttempt() throws Exception {
    SoakPlan plan = SoakPlan.read(Path.of("src/test/resources/soak/copied-commands.txt"));
    assertEquals(List.of(), run(plan, "org.snowturn.daemon.Main").play().details());
  }

  /**
   * Guards against controllers that end for memory, one leader after the other, when many arrays of
   * the largest size are accepted (docs/incidents/arrays-fill-the-heap.md).
   */
  @Test
  void acceptedArraysOfTheLargestSizeEndNoController() throws Exception {
    SoakPlan plan = SoakPlan.read(Path.of("src/test/resources/soak/large-arrays.txt"));
    assertEquals(List.of(), run(plan, "org.snowturn.daemon.Main").play().details());
  }

  @Test
  void aControllerThatDoesNotStartIsNamedAndNothingIsLeftRunning() {
    SoakRun run = run(SoakPlan.generate(1, WORKERS, DURATION_S), "org.snowturn.daemon.NoSuchMain");
    String message = assertThrows(InvalidInputException.class, run::play).getMessage();
    assertTrue(message.contains("does not start"), message);
    assertEquals(List.of(), controllerProcesses());
  }

  /** Returns the command lines of this run's processes, whose settings are in its directory. */
  private List<String> controllerProcesses() {
    return ProcessHandle.current()
        .children()
        .filter(ProcessHandle::isAlive)
        .map(process -> process.info().commandLine().orElse(""))
        .filter(line -> line.contains(dir.toString()))
        .toList();
  }
}
