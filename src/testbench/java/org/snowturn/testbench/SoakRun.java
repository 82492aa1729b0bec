package org.snowturn.testbench;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.snowturn.simulation.LoopbackStatus;
import org.snowturn.testbench.Deployment.Region;
import org.snowturn.testbench.SoakVerdict.Result;

/**
 * Runs one plan of faults against real controllers and checks the outcome by what the simulated
 * workers, users and state service have seen. The directory of the run holds the plan, the
 * controllers' settings and logs, and the log of all messages. The logs of a run that passes are
 * removed unless they are to be kept.
 */
final class SoakRun {
  private static final String PLAN_FILE = "plan.txt";
  private static final String MESSAGE_LOG = "messages.log";
  private static final String VERDICT_FILE = "verdict.txt";
  private static final long MS_PER_S = 1_000;
  private static final Map<String, String> DEBUG_LOGGING = Map.of("LOG_LEVEL", "debug");
  private static final long POLL_INTERVAL_MS = 200;
  private static final long READY_TIMEOUT_MS = 60_000;

  /** Maximum time after the last fault until every job is answered and running or over. */
  private static final long SETTLE_TIMEOUT_MS = 150_000;

  /** Maximum time between two random jobs in a small fleet. */
  private static final int MAX_JOB_INTERVAL_MS = 300;

  /** Factor by which jobs arrive more often in a large fleet. */
  private static final int LARGE_FLEET_JOB_FACTOR = 3;

  /** Minimum number of workers of a large fleet. */
  private static final int LARGE_FLEET_WORKERS = 150;

  /** Maximum number of log lines quoted from each controller. */
  private static final int MAX_QUOTED_LINES = 5;

  private final SoakPlan plan;
  private final List<String> command;
  private final Path workingDirectory;
  private final Path dir;
  private final boolean shouldKeepLogs;
  private final Consumer<String> progress;

  /**
   * Creates a run that {@link #play} starts.
   *
   * @param plan size, duration and faults of the run
   * @param command command line that starts a controller; the path of the settings file is appended
   * @param workingDirectory working directory of the controllers
   * @param dir directory for the plan, the settings, the logs and the verdict
   * @param shouldKeepLogs whether the logs of a run that passes are kept
   * @param progress receives a line for each fault when it begins
   */
  SoakRun(
      SoakPlan plan,
      List<String> command,
      Path workingDirectory,
      Path dir,
      boolean shouldKeepLogs,
      Consumer<String> progress) {
    this.plan = plan;
    this.command = command;
    this.workingDirectory = workingDirectory;
    this.dir = dir;
    this.shouldKeepLogs = shouldKeepLogs;
    this.progress = progress;
  }

  /**
   * Starts the controllers, injects the faults, waits until all jobs are settled and checks the
   * run.
   *
   * @throws InvalidInputException if a controller's process ends before it is ready
   */
  SoakVerdict play() throws IOException, InterruptedException, InvalidInputException {
    Files.createDirectories(dir);
    Files.write(dir.resolve(PLAN_FILE), plan.toLines());
    SoakVerdict verdict;
    try (BufferedWriter messages = Files.newBufferedWriter(dir.resolve(MESSAGE_LOG));
        Deployment deployment = new Deployment(command, workingDirectory, dir, DEBUG_LOGGING)) {
      deployment.openWithRelays(List.of(plan.regionPlan()));
      deployment.regions().get(0).cluster.recordMessages(messages);
      verdict = play(deployment);
    }
    if (verdict.result() != Result.PASSED) {
      Files.write(dir.resolve(VERDICT_FILE), verdict.details());
    } else if (!shouldKeepLogs) {
      removeLogs();
    }
    return verdict;
  }

  private void removeLogs() throws IOException {
    Files.delete(dir.resolve(MESSAGE_LOG));
    for (String node : plan.regionPlan().controllers()) {
      Files.deleteIfExists(dir.resolve(node + ".log"));
    }
  }

  private SoakVerdict play(Deployment deployment)
      throws IOException, InterruptedException, InvalidInputException {
    Region region = deployment.regions().get(0);
    try {
      deployment.startControllers();
      awaitReady(region);
      long loadMs = plan.durationS() * MS_PER_S;
      region.cluster.startRandomJobs(
          loadMs,
          plan.workers() < LARGE_FLEET_WORKERS
              ? MAX_JOB_INTERVAL_MS
              : MAX_JOB_INTERVAL_MS / LARGE_FLEET_JOB_FACTOR);
      region.cluster.startStressClients(loadMs);
      new FaultInjector(deployment, region, progress).play(plan.faults());
      List<String> unsettledJobs = awaitSettled(region);
      return judge(region, unsettledJobs);
    } catch (TimeoutException e) {
      return new SoakVerdict(
          plan,
          Result.NOT_FINISHED,
          List.of(
              "the controllers were not ready in time,"
                  + " or the simulated cluster did not answer in time"),
          0,
          0,
          0);
    }
  }

  private void awaitReady(Region region)
      throws InterruptedException, TimeoutException, IOException, InvalidInputException {
    long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
    while (region.cluster.readyControllers().size() < region.controllers.size()) {
      for (ControllerProcess controller : region.controllers) {
        if (controller.hasEndedUnexpectedly()) {
          throw new InvalidInputException(
              controller.name
                  + " does not start; last line of "
                  + controller.log()
                  + ": "
                  + lastLine(controller.log()));
        }
      }
      if (System.currentTimeMillis() > deadlineMs) {
        throw new TimeoutException(
            "some controllers are not ready after " + READY_TIMEOUT_MS + " ms");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private static String lastLine(Path log) throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "(the file is empty)" : lines.get(lines.size() - 1);
  }

  /**
   * Waits until every accepted job is answered and running or over.
   *
   * @return the jobs that are not after {@link #SETTLE_TIMEOUT_MS}
   */
  private List<String> awaitSettled(Region region) throws InterruptedException, TimeoutException {
    long answeredSinceMs = region.cluster.status().nowMs();
    long deadlineMs = System.currentTimeMillis() + SETTLE_TIMEOUT_MS;
    List<String> unsettledJobs;
    do {
      Thread.sleep(POLL_INTERVAL_MS);
      unsettledJobs = region.cluster.unsettledJobs(answeredSinceMs);
    } while (!unsettledJobs.isEmpty() && System.currentTimeMillis() < deadlineMs);
    return unsettledJobs;
  }

  private SoakVerdict judge(Region region, List<String> unsettledJobs)
      throws TimeoutException, IOException {
    LoopbackStatus status = region.cluster.status();
    List<String> violations = new ArrayList<>(status.violations());
    unsettledJobs.forEach(job -> violations.add("unsettled: " + job));
    if (status.startedTasks() == 0) {
      violations.add("nothing_ran");
    }
    for (ControllerProcess controller : region.controllers) {
      if (controller.hasEndedUnexpectedly()) {
        violations.add("controller_ended: " + controller.name);
      }
      try (Stream<String> lines = Files.lines(controller.log())) {
        lines
            .filter(
                line -> line.contains("invariant_violated") || line.contains("event=input_failed"))
            .limit(MAX_QUOTED_LINES)
            .forEach(line -> violations.add(controller.name + ": " + line));
      }
    }
    return new SoakVerdict(
        plan,
        violations.isEmpty() ? Result.PASSED : Result.FAILED,
        violations,
        status.startedTasks(),
        status.finishedJobs(),
        Math.max(0, status.termsSeen() - 1));
  }
}
