package org.snowturn.testbench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowturn.testbench.Measurements.Factor;
import org.snowturn.workload.WorkloadCommand;
import picocli.CommandLine;

/**
 * Guards against commands that accept invalid input or report it in more than one line, and against
 * capacity predictions that do not follow from the measurements.
 */
class TestbenchCommandsTest {
  private static final int EXIT_INVALID_INPUT = 2;

  @TempDir private Path dir;

  private final StringWriter errors = new StringWriter();

  private int run(String... args) {
    CommandLine commandLine = WorkloadCommand.withErrorHandlers(new CommandLine(new Testbench()));
    commandLine.setErr(new PrintWriter(errors));
    return commandLine.execute(args);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "--workers -1",
        "--workers 0",
        "--workers 20001",
        "--workers 10 --tasks 0",
        "--workers 10 --starts -5",
        "--workers 10 --regions 8",
        "--workers 2 --regions 3",
        "--workers 10 --duration 0",
        "--workers 10 --fail cloud",
        "--workers 10 --fail workers=11",
        "--workers 10 --fail workers=-1",
        "--workers 10 --state-changes 0",
        "--workers 10 --connections 1",
        "--workers 10 --nothing 1",
        "--workers ten"
      })
  void invalidScalePlansAreRejectedBeforeTheRunStarts(String options) {
    assertRejectedInOneLine("scale", options);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "--jobs 0",
        "--every 0",
        "--only nothing-begins-so",
        "--scenarios not-there",
        "--compare not-there.txt",
        "--nothing"
      })
  void invalidDigestOptionsAreRejectedBeforeTheRunStarts(String options) {
    assertRejectedInOneLine("digest", options);
  }

  private void assertRejectedInOneLine(String command, String options) {
    String commandLine = command + " --out " + dir.resolve("out") + " " + options;
    assertEquals(EXIT_INVALID_INPUT, run(commandLine.trim().split(" ")), errors.toString());
    assertEquals(1, errors.toString().lines().count(), errors.toString());
    assertTrue(Files.notExists(dir.resolve("out")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "--seeds a-b",
        "--seeds 5-4",
        "--seeds -3",
        "--seeds 1-100000",
        "--seeds 1 --workers -1",
        "--seeds 1 --workers 2001",
        "--seeds 1 --duration 0",
        "--seeds 1 --nothing",
        "--seeds 1 --plan there.txt",
        "--plan not-there.txt"
      })
  void invalidSoakOptionsAreRejectedBeforeTheRunStarts(String options) {
    assertRejectedInOneLine("soak", options);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "at 1.0 kill leader for 0.2",
        "at x kill leader for 0.2 amount 0",
        "at 1.0 explode leader for 0.2 amount 0",
        "at 1.0 kill - for 0.2 amount 0",
        "at 1.0 outage leader for 0.2 amount 0"
      })
  void malformedSoakPlanIsReportedWithItsLine(String line) throws Exception {
    Path file = dir.resolve("plan.txt");
    Files.write(file, List.of("soak seed 1 workers 20 duration 5", "", line));
    assertEquals(EXIT_INVALID_INPUT, run("soak", "--plan", file.toString()));
    assertTrue(errors.toString().startsWith("soak: " + file + ":3: "), errors.toString());
    assertEquals(1, errors.toString().lines().count(), errors.toString());
  }

  @Test
  void planOfMoreThanHalfOfTheMemoryIsRejected() {
    ScalePlan large = ScaleRunTest.plan(11_000, 300_000, 3, 60, Failure.NONE);
    String message =
        assertThrows(InvalidInputException.class, () -> large.check(4_000)).getMessage();
    assertTrue(message.contains("more than half"), message);
  }

  @Test
  void missingJarIsNamed() throws Exception {
    Path deploy = Files.writeString(dir.resolve("service.toml"), "run = \"java -jar no.jar --c\"");
    InvalidInputException thrown =
        assertThrows(InvalidInputException.class, () -> LaunchCommand.read(deploy, dir, 0));
    assertTrue(thrown.getMessage().startsWith("no.jar"), thrown.getMessage());
  }

  @Test
  void heapOptionReplacesTheHeapOfTheLaunchCommand() throws Exception {
    Path deploy = Files.writeString(dir.resolve("service.toml"), "run = \"java -Xms8m -Xmx80m X\"");
    assertEquals(List.of("java", "-Xms8m", "-Xmx256m", "X"), LaunchCommand.read(deploy, dir, 256));
  }

  private Path measurements(String... lines) throws Exception {
    StringBuilder text = new StringBuilder(Measurements.HEADER).append('\n');
    for (String line : lines) {
      text.append(line).append('\n');
    }
    return Files.writeString(dir.resolve("scale-runs.csv"), text);
  }

  private static String row(String series, int workers, int tasks, double cores) {
    return row(series, workers, tasks, 50, 3, 190, cores);
  }

  private static String row(
      String series, int workers, int tasks, int starts, int controllers, int teams, double cores) {
    return series
        + ","
        + workers
        + ","
        + tasks
        + ","
        + starts
        + ",1,"
        + controllers
        + ","
        + teams
        + ",30,0,8192,250,none,leader r0-n0,cores,"
        + cores;
  }

  @ParameterizedTest
  @ValueSource(strings = {"workers,1,2", "a,b,c,d,e,f,g,h,i,j,k,l,m,n,o"})
  void malformedMeasurementsAreReportedWithTheirLine(String line) throws Exception {
    Path file = measurements(row("workers", 500, 8_000, 0.1), line);
    String message =
        assertThrows(InvalidInputException.class, () -> Measurements.read(file)).getMessage();
    assertTrue(message.contains(":3:"), message);
    assertEquals(EXIT_INVALID_INPUT, run("capacity", "--in", dir.toString()));
  }

  @Test
  void predictionAddsTheSlopesToTheLineOfTheWorkers() throws Exception {
    Measurements measured =
        Measurements.read(
            measurements(
                row("workers", 500, 8_000, 0.15),
                row("workers", 1_000, 8_000, 0.20),
                row("workers", 2_000, 8_000, 0.30),
                row("tasks", 1_000, 8_000, 0.20),
                row("tasks", 1_000, 13_000, 0.25),
                row("tasks", 1_000, 18_000, 0.30),
                row("starts", 1_000, 8_000, 50, 3, 190, 0.2),
                row("starts", 1_000, 8_000, 100, 3, 190, 0.225),
                row("starts", 1_000, 8_000, 150, 3, 190, 0.25),
                row("teams", 1_000, 8_000, 50, 3, 1, 0.201),
                row("teams", 1_000, 8_000, 50, 3, 190, 0.199),
                row("teams", 1_000, 8_000, 50, 3, 401, 0.2),
                row("controllers", 1_000, 8_000, 50, 3, 190, 0.2),
                row("controllers", 1_000, 8_000, 50, 5, 190, 0.22)));
    CapacityModel model = new CapacityModel(measured);
    LinearFit workers = model.fit(Factor.WORKERS, "leader", "cores");
    assertEquals(1e-4, workers.perUnit(), 1e-9);
    assertEquals(0.10, workers.intercept(), 1e-9);
    assertTrue(workers.isLinear());
    Map<Factor, Double> size =
        Map.of(
            Factor.WORKERS, 3_000.0,
            Factor.TASKS, 28_000.0,
            Factor.STARTS, 250.0,
            Factor.TEAMS, 290.0,
            Factor.CONTROLLERS, 5.0);
    // 0.1 at zero workers, then 3,000 workers, and 20,000 tasks and 200 starts more than in the
    // workers' series. The teams' slope falls within its spread, and two points of controllers are
    // too few for a slope: both add nothing.
    double expected = 0.10 + 0.30 + 0.20 + 0.10;
    assertEquals(expected, model.predict(size, "leader", "cores"), 1e-9);
  }
}
