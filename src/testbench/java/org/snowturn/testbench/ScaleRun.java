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
import org.snowturn.testbench.Deployment.Part;

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
  private final Map<Part, LoopbackStatus> statusBefore = new HashMap<>();
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
    deployment.parts().forEach(part -> part.region.fill());
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
    for (Part part : deployment.parts()) {
      if (part.region.status().running() < part.region.standing() * FILLED_FRACTION) {
        return false;
      }
    }
    return true;
  }

  private void startMeasuring() throws IOException, TimeoutException {
    resultBuilder = new ScaleResult.Builder(plan, ProcessUsage.ownThreads(), fillS);
    for (Part part : deployment.parts()) {
      statusBefore.put(part, part.region.status());
      part.controllers.forEach(ControllerProcess::mark);
    }
  }

  private void applyLoad() throws IOException, InterruptedException, TimeoutException {
    deployment.parts().forEach(part -> part.region.arrive());
    int failureAtS = plan.durationS() / 3;
    long startedNs = System.nanoTime();
    boolean isFailureInjected = plan.failure().kind() == Failure.Kind.NONE;
    for (int second = 0; second < plan.durationS(); second++) {
      if (!isFailureInjected && second >= failureAtS) {
        isFailureInjected = true;
        injectFailure();
      }
      sleep(1, null);
      deployment.parts().forEach(part -> part.controllers.forEach(ControllerProcess::sample));
      if ((second + 1) % PROGRESS_INTERVAL_S == 0) {
        reportProgress("load");
      }
    }
    resultBuilder.setLoadDurationS((System.nanoTime() - startedNs) / NS_PER_SECOND);
  }

  private void injectFailure() throws IOException, InterruptedException, TimeoutException {
    Part firstRegion = deployment.parts().get(0);
    progress.accept("fails now: " + plan.failure());
    switch (plan.failure().kind()) {
      case LEADER -> {
        ControllerProcess leader = firstRegion.named(firstRegion.region.status().leader());
        if (leader != null) {
          leader.kill();
          Thread.sleep(RESTART_DELAY_MS);
          deployment.start(leader);
        }
      }
      case ZONE -> {
        String zone = firstRegion.plan.zones().get(0);
        firstRegion.region.failZone(zone);
        firstRegion.controllers.stream()
            .filter(controller -> controller.zone.equals(zone))
            .forEach(ControllerProcess::kill);
      }
      case REGION -> {
        firstRegion.region.stateOutage(STATE_OUTAGE_MS);
        firstRegion.controllers.forEach(ControllerProcess::kill);
        Thread.sleep(RESTART_DELAY_MS);
        for (ControllerProcess controller : firstRegion.controllers) {
          deployment.start(controller);
        }
      }
      case WORKERS -> firstRegion.region.failWorkers(plan.failure().workers());
      default -> throw new IllegalStateException(plan.failure().toString());
    }
  }

  private ScaleResult collect() throws IOException, TimeoutException {
    for (Part part : deployment.parts()) {
      LoopbackStatus now = part.region.status();
      Histogram urgent = part.region.urgentDelays();
      Histogram accepted = part.region.acceptDelays();
      resultBuilder.addRegion(part.plan, statusBefore.get(part), now, urgent, accepted);
      for (ControllerProcess controller : part.controllers) {
        controller.sample();
        resultBuilder.addController(
            part.plan.number(),
            controller.name,
            controller.name.equals(now.leader()),
            controller.used());
      }
    }
    return resultBuilder.addThreads(ProcessUsage.ownThreads()).build();
  }

  private void sleep(int seconds, String reason) throws InterruptedException {
    if (reason != null) {
      progress.accept(reason);
    }
    Thread.sleep(seconds * MS_PER_SECOND);
  }

  private void reportProgress(String phase) throws TimeoutException {
    StringBuilder line = new StringBuilder(phase);
    for (Part part : deployment.parts()) {
      LoopbackStatus status = part.region.status();
      line.append(
          String.format(
              java.util.Locale.ROOT,
              "  region %d: leader %s, workers %d, running %d, starts %d, jobs finished %d%s",
              part.plan.number(),
              status.leader(),
              status.workersUp(),
              status.running(),
              status.starts(),
              status.jobsDone(),
              status.broken().isEmpty() ? "" : ", BROKEN " + status.broken()));
    }
    progress.accept(line.toString());
  }

  @Override
  public void close() {
    deployment.close();
  }
}
