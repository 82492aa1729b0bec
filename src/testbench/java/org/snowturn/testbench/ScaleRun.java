package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.snowturn.simulation.LoopbackStatus;
import org.snowturn.testbench.Deployment.Region;

/**
 * One scale run on a deployment of its own. It starts the long-running tasks, applies the load,
 * injects the failure of the plan and measures.
 */
final class ScaleRun implements AutoCloseable {
  private static final long MS_PER_SECOND = 1_000;
  private static final double NS_PER_SECOND = 1e9;
  private static final int PROGRESS_INTERVAL_S = 10;

  /** Wait before the controllers start, in which the machines start and the cloud lists them. */
  private static final int WORKER_STARTUP_S = 9;

  private static final int MAX_FILL_S = 240;

  /** Fraction of the long-running tasks that must run before the load begins. */
  private static final double FILLED_FRACTION = 0.97;

  private static final long RESTART_DELAY_MS = 3_000;
  private static final long STATE_OUTAGE_MS = 20_000;

  private final ScalePlan plan;
  private final Consumer<String> progress;
  private final Deployment deployment;
  private final Map<Region, LoopbackStatus> statusBefore = new HashMap<>();
  private ScaleResult.Builder resultBuilder;
  private double fillS;

  /**
   * Creates a run; {@link #run} starts it.
   *
   * @param command launch command of a controller
   * @param root working directory of the controllers
   * @param dir folder for settings and logs
   * @param progress handler of progress lines
   */
  ScaleRun(ScalePlan plan, List<String> command, Path root, Path dir, Consumer<String> progress) {
    this.plan = plan;
    this.progress = progress;
    this.deployment = new Deployment(command, root, dir, Map.of());
  }

  /** Runs the plan and returns its figures. */
  ScaleResult run() throws IOException, InterruptedException, TimeoutException {
    deployment.open(plan.regionPlans());
    sleep(WORKER_STARTUP_S, "waiting for workers to start");
    deployment.startControllers();
    fill();
    startMeasuring();
    applyLoad();
    return collect();
  }

  /**
   * Submits the long-running tasks and waits until nearly all of them run, but at most {@link
   * #MAX_FILL_S}.
   */
  private void fill() throws InterruptedException, TimeoutException {
    deployment.regions().forEach(part -> part.cluster.submitStandingJobs());
    long startedNs = System.nanoTime();
    int seconds = 0;
    while (seconds < MAX_FILL_S && !isFilled()) {
      sleep(1, null);
      seconds++;
      if (seconds % PROGRESS_INTERVAL_S == 0) {
        reportProgress("filling");
      }
    }
    fillS = (System.nanoTime() - startedNs) / NS_PER_SECOND;
  }

  private boolean isFilled() throws TimeoutException {
    for (Region part : deployment.regions()) {
      if (part.cluster.status().runningTasks() < part.cluster.standingTasks() * FILLED_FRACTION) {
        return false;
      }
    }
    return true;
  }

  private void startMeasuring() throws IOException, TimeoutException {
    resultBuilder = new ScaleResult.Builder(plan, ProcessUsage.ofOwnThreads(), fillS);
    for (Region part : deployment.regions()) {
      statusBefore.put(part, part.cluster.status());
      part.controllers.forEach(ControllerProcess::resetUsage);
    }
  }

  private void applyLoad() throws IOException, InterruptedException, TimeoutException {
    deployment.regions().forEach(part -> part.cluster.startArrivals());
    int failureAtS = plan.durationS() / 3;
    long startedNs = System.nanoTime();
    boolean isFailureInjected = plan.failure().kind() == Failure.Kind.NONE;
    for (int second = 0; second < plan.durationS(); second++) {
      if (!isFailureInjected && second >= failureAtS) {
        isFailureInjected = true;
        injectFailure();
      }
      sleep(1, null);
      deployment
          .regions()
          .forEach(part -> part.controllers.forEach(ControllerProcess::sampleUsage));
      if ((second + 1) % PROGRESS_INTERVAL_S == 0) {
        reportProgress("load");
      }
    }
    resultBuilder.setLoadDurationS((System.nanoTime() - startedNs) / NS_PER_SECOND);
  }

  private void injectFailure() throws IOException, InterruptedException, TimeoutException {
    Region firstRegion = deployment.regions().get(0);
    progress.accept("fails now: " + plan.failure());
    switch (plan.failure().kind()) {
      case LEADER -> {
        ControllerProcess leader =
            firstRegion.findController(firstRegion.cluster.status().leader());
        if (leader != null) {
          leader.kill();
          Thread.sleep(RESTART_DELAY_MS);
          deployment.start(leader);
        }
      }
      case ZONE -> {
        String zone = firstRegion.plan.zones().get(0);
        firstRegion.cluster.failZone(zone);
        firstRegion.controllers.stream()
            .filter(controller -> controller.zone.equals(zone))
            .forEach(ControllerProcess::kill);
      }
      case REGION -> {
        firstRegion.cluster.startStateOutage(STATE_OUTAGE_MS);
        firstRegion.controllers.forEach(ControllerProcess::kill);
        Thread.sleep(RESTART_DELAY_MS);
        for (ControllerProcess controller : firstRegion.controllers) {
          deployment.start(controller);
        }
      }
      case WORKERS -> firstRegion.cluster.failWorkers(plan.failure().workers());
      default -> throw new IllegalStateException(plan.failure().toString());
    }
  }

  private ScaleResult collect() throws IOException, TimeoutException {
    for (Region part : deployment.regions()) {
      LoopbackStatus now = part.cluster.status();
      Histogram urgent = part.cluster.urgentDelays();
      Histogram accepted = part.cluster.acceptDelays();
      resultBuilder.addRegion(part.plan, statusBefore.get(part), now, urgent, accepted);
      for (ControllerProcess controller : part.controllers) {
        controller.sampleUsage();
        resultBuilder.addController(
            part.plan.regionNumber(),
            controller.name,
            controller.name.equals(now.leader()),
            controller.usage());
      }
    }
    return resultBuilder.addThreads(ProcessUsage.ofOwnThreads()).build();
  }

  private void sleep(int seconds, String reason) throws InterruptedException {
    if (reason != null) {
      progress.accept(reason);
    }
    Thread.sleep(seconds * MS_PER_SECOND);
  }

  private void reportProgress(String phase) throws TimeoutException {
    StringBuilder line = new StringBuilder(phase);
    for (Region part : deployment.regions()) {
      LoopbackStatus status = part.cluster.status();
      line.append(
          String.format(
              java.util.Locale.ROOT,
              "  region %d: leader %s, workers %d, running %d, starts %d, jobs finished %d%s",
              part.plan.regionNumber(),
              status.leader(),
              status.workersUp(),
              status.runningTasks(),
              status.startedTasks(),
              status.finishedJobs(),
              status.violations().isEmpty() ? "" : ", BROKEN " + status.violations()));
    }
    progress.accept(line.toString());
  }

  @Override
  public void close() {
    deployment.close();
  }
}
