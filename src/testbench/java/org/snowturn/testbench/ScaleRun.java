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
 * Plays a plan on a deployment of its own: fills it, loads it, lets something fail, and measures.
 */
final class ScaleRun implements AutoCloseable {
  private static final long STEP_MS = 1_000;
  private static final int PROGRESS_EVERY_S = 10;

  /** Machines are up and listed by the cloud before the first controller starts. */
  private static final int WORKERS_FIRST_S = 9;

  private static final int LONGEST_FILL_S = 240;
  private static final double FILLED = 0.97;
  private static final long RESTART_MS = 3_000;
  private static final long REGION_OUT_MS = 20_000;

  private final ScalePlan plan;
  private final Consumer<String> progress;
  private final Deployment deployment;
  private final Map<Part, LoopbackStatus> atMark = new HashMap<>();
  private ScaleResult.Builder result;
  private double fillS;

  ScaleRun(ScalePlan plan, List<String> command, Path root, Path dir, Consumer<String> progress) {
    this.plan = plan;
    this.progress = progress;
    this.deployment = new Deployment(command, root, dir, Map.of());
  }

  ScaleResult run() throws IOException, InterruptedException, TimeoutException {
    deployment.open(plan.regionPlans());
    sleep(WORKERS_FIRST_S, "workers come up");
    deployment.startControllers();
    fill();
    mark();
    load();
    return collect();
  }

  /** Until the standing tasks run, or for as long as that may take. */
  private void fill() throws InterruptedException, TimeoutException {
    deployment.parts().forEach(p -> p.region.fill());
    long began = System.nanoTime();
    int seconds = 0;
    while (seconds < LONGEST_FILL_S && !filled()) {
      sleep(1, null);
      seconds++;
      if (seconds % PROGRESS_EVERY_S == 0) {
        tell("filling");
      }
    }
    fillS = (System.nanoTime() - began) / 1e9;
  }

  private boolean filled() throws TimeoutException {
    for (Part p : deployment.parts()) {
      if (p.region.status().running() < p.region.standing() * FILLED) {
        return false;
      }
    }
    return true;
  }

  private void mark() throws IOException, TimeoutException {
    result = new ScaleResult.Builder(plan, ProcessUsage.ownThreads(), fillS);
    for (Part p : deployment.parts()) {
      atMark.put(p, p.region.status());
      p.controllers.forEach(ControllerProcess::mark);
    }
  }

  private void load() throws IOException, InterruptedException, TimeoutException {
    deployment.parts().forEach(p -> p.region.arrive());
    int failsAt = plan.durationS() / 3;
    long began = System.nanoTime();
    boolean failed = plan.failure().kind() == Failure.Kind.NONE;
    for (int s = 0; s < plan.durationS(); s++) {
      if (!failed && s >= failsAt) {
        failed = true;
        fail();
      }
      sleep(1, null);
      deployment.parts().forEach(p -> p.controllers.forEach(ControllerProcess::sample));
      if ((s + 1) % PROGRESS_EVERY_S == 0) {
        tell("load");
      }
    }
    result.setLoadDurationS((System.nanoTime() - began) / 1e9);
  }

  private void fail() throws IOException, InterruptedException, TimeoutException {
    Part first = deployment.parts().get(0);
    progress.accept("fails now: " + plan.failure());
    switch (plan.failure().kind()) {
      case LEADER -> {
        ControllerProcess leader = first.named(first.region.status().leader());
        if (leader != null) {
          leader.kill();
          Thread.sleep(RESTART_MS);
          deployment.start(leader);
        }
      }
      case ZONE -> {
        String zone = first.plan.zones().get(0);
        first.region.failZone(zone);
        first.controllers.stream()
            .filter(controller -> controller.zone.equals(zone))
            .forEach(ControllerProcess::kill);
      }
      case REGION -> {
        first.region.stateOutage(REGION_OUT_MS);
        first.controllers.forEach(ControllerProcess::kill);
        Thread.sleep(RESTART_MS);
        for (ControllerProcess controller : first.controllers) {
          deployment.start(controller);
        }
      }
      case WORKERS -> first.region.failWorkers(plan.failure().workers());
      default -> throw new IllegalStateException(plan.failure().toString());
    }
  }

  private ScaleResult collect() throws IOException, TimeoutException {
    for (Part p : deployment.parts()) {
      LoopbackStatus now = p.region.status();
      Histogram urgent = p.region.urgentDelays();
      Histogram accepted = p.region.acceptDelays();
      result.addRegion(p.plan, atMark.get(p), now, urgent, accepted);
      for (ControllerProcess controller : p.controllers) {
        controller.sample();
        result.addController(
            p.plan.number(),
            controller.name,
            controller.name.equals(now.leader()),
            controller.used());
      }
    }
    return result.addThreads(ProcessUsage.ownThreads()).build();
  }

  private void sleep(int seconds, String why) throws InterruptedException {
    if (why != null) {
      progress.accept(why);
    }
    Thread.sleep(seconds * STEP_MS);
  }

  private void tell(String phase) throws TimeoutException {
    StringBuilder line = new StringBuilder(phase);
    for (Part p : deployment.parts()) {
      LoopbackStatus s = p.region.status();
      line.append(
          String.format(
              java.util.Locale.ROOT,
              "  region %d: leader %s, workers %d, running %d, starts %d, jobs over %d%s",
              p.plan.number(),
              s.leader(),
              s.workersUp(),
              s.running(),
              s.starts(),
              s.jobsDone(),
              s.broken().isEmpty() ? "" : ", BROKEN " + s.broken()));
    }
    progress.accept(line.toString());
  }

  @Override
  public void close() {
    deployment.close();
  }
}
