package org.snowturn.testbench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * A small scale run with real controllers in processes of their own. It guards against rules broken
 * after the death of a leader, and against processes left running after the run. It mostly waits
 * and does not depend on speed, so that it runs concurrently with other tests.
 */
@Execution(ExecutionMode.CONCURRENT)
class ScaleRunTest {
  private static final long AMPLE_MEMORY_MB = 1_000_000;

  @TempDir private Path dir;

  /** Returns a plan whose other values suit a short test. */
  static ScalePlan plan(int workers, int tasks, int regions, int durationS, Failure failure) {
    return new ScalePlan(
        workers, tasks, 6, regions, 3, 4, durationS, 0, failure, 1, 4_096, 600, 250);
  }

  private static List<String> controllerCommand() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classPath = System.getProperty("java.class.path");
    return List.of(
        java,
        "-Xmx80m",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        classPath,
        "org.snowturn.daemon.Main",
        "--config");
  }

  @Test
  void noRuleIsBrokenWhenTheLeaderEndsAndNothingIsLeftRunning() throws Exception {
    ScalePlan plan = plan(24, 96, 2, 9, new Failure(Failure.Kind.LEADER, 0));
    plan.check(AMPLE_MEMORY_MB);
    List<String> progress = new ArrayList<>();
    ScaleResult result;
    try (ScaleRun run = new ScaleRun(plan, controllerCommand(), dir, dir, progress::add)) {
      result = run.run();
    }
    assertEquals(List.of(), result.brokenRules());
    assertTrue(
        progress.stream().anyMatch(line -> line.contains("fails now: leader")), "" + progress);
    for (String region : List.of("region 0", "region 1")) {
      assertTrue(figures(result, region).get("starts_in_all") > 0, region);
    }
    assertEquals(
        6,
        result.rows().stream().filter(row -> row.scope().matches("(leader|standby) .*")).count());
    assertEquals(
        List.of(), ProcessHandle.current().children().filter(ScaleRunTest::isController).toList());
    ScaleResultWriter.write(result, dir);
    List<String> lines = Files.readAllLines(dir.resolve("scale.csv"));
    assertEquals(ScaleResultWriter.HEADER, lines.get(0));
    assertFalse(lines.size() < 20);
  }

  private static boolean isController(ProcessHandle process) {
    return process.isAlive()
        && process.info().commandLine().orElse("").contains("org.snowturn.daemon.Main --config");
  }

  private static Map<String, Double> figures(ScaleResult result, String scope) {
    return result.rows().stream()
        .filter(row -> row.scope().equals(scope))
        .findFirst()
        .orElseThrow()
        .figures();
  }
}
