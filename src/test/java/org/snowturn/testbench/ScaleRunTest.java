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
 * A small scale run, with real controllers as processes of the classes under test. It mostly waits,
 * so other tests run beside it; nothing in it depends on how fast anything is.
 */
@Execution(ExecutionMode.CONCURRENT)
class ScaleRunTest {
  private static final long PLENTY_MB = 1_000_000;

  @TempDir private Path dir;

  static ScalePlan plan(int workers, int tasks, int regions, int durationS, Failure failure) {
    return new ScalePlan(
        workers, tasks, 6, regions, 3, 4, durationS, 0, failure, 1, 4_096, 600, 250);
  }

  private static List<String> command() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    return List.of(
        java,
        "-Xmx80m",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        classes,
        "org.snowturn.daemon.Main",
        "--config");
  }

  @Test
  void noRuleIsBrokenWhenTheLeaderEndsAndNothingIsLeftRunning() throws Exception {
    ScalePlan plan = plan(24, 96, 2, 9, new Failure(Failure.Kind.LEADER, 0));
    plan.check(PLENTY_MB);
    List<String> progress = new ArrayList<>();
    ScaleResult result;
    try (ScaleRun run = new ScaleRun(plan, command(), dir, dir, progress::add)) {
      result = run.run();
    }
    assertEquals(List.of(), result.brokenRules());
    assertTrue(progress.stream().anyMatch(l -> l.contains("fails now: leader")), "" + progress);
    for (String region : List.of("region 0", "region 1")) {
      assertTrue(figures(result, region).get("starts_in_all") > 0, region);
    }
    assertEquals(
        6, result.rows().stream().filter(r -> r.scope().matches("(leader|standby) .*")).count());
    assertEquals(
        List.of(), ProcessHandle.current().children().filter(ScaleRunTest::isController).toList());
    ScaleResultWriter.write(result, dir);
    List<String> lines = Files.readAllLines(dir.resolve("scale.csv"));
    assertEquals(ScaleResultWriter.HEADER, lines.get(0));
    assertFalse(lines.size() < 20);
  }

  private static boolean isController(ProcessHandle p) {
    return p.isAlive()
        && p.info().commandLine().orElse("").contains("org.snowturn.daemon.Main --config");
  }

  private static Map<String, Double> figures(ScaleResult r, String scope) {
    return r.rows().stream()
        .filter(x -> x.scope().equals(scope))
        .findFirst()
        .orElseThrow()
        .figures();
  }
}
