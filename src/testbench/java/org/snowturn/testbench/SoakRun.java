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
 * Plays one plan of faults on real controllers and judges it by what workers, users and the state
 * service saw. Its folder holds the plan, the controllers' settings and logs and the history of all
 * messages; of a run that passes the last two are removed.
 */
final class SoakRun {
  private static final String PLAN = "plan.txt";
  private static final String MESSAGES = "messages.log";
  private static final Map<String, String> LOG_ALL = Map.of("LOG_LEVEL", "debug");
  private static final long LOOK_MS = 200;
  private static final long READY_WITHIN_MS = 60_000;

  /** After the last fault so long is waited for all jobs to be answered for and placed. */
  private static final long SETTLED_WITHIN_MS = 150_000;

  /** A job comes within each so many milliseconds; more often to a large fleet. */
  private static final int JOB_EVERY_MS = 300;

  private static final int LARGE_FLEET = 150;

  private final SoakPlan plan;
  private final List<String> command;
  private final Path root;
  private final Path dir;
  private final boolean keep;
  private final Consumer<String> progress;

  /**
   * Plays nothing yet.
   *
   * @param command how a controller is started; its settings file is added
   * @param dir for the plan, logs and messages
   * @param keep whether logs and messages of a run that passes are kept as well
   */
  SoakRun(
      SoakPlan plan,
      List<String> command,
      Path root,
      Path dir,
      boolean keep,
      Consumer<String> progress) {
    this.plan = plan;
    this.command = command;
    this.root = root;
    this.dir = dir;
    this.keep = keep;
    this.progress = progress;
  }

  SoakVerdict play() throws IOException, InterruptedException, InvalidInputException {
    Files.createDirectories(dir);
    Files.write(dir.resolve(PLAN), plan.toLines());
    SoakVerdict verdict;
    try (BufferedWriter messages = Files.newBufferedWriter(dir.resolve(MESSAGES));
        Deployment deployment = new Deployment(command, root, dir, LOG_ALL)) {
      deployment.openWithRelays(List.of(plan.regionPlan()));
      deployment.regions().get(0).cluster.keepMessages(messages);
      verdict = play(deployment);
    }
    if (verdict.result() != Result.PASSED) {
      Files.write(dir.resolve("verdict.txt"), verdict.details());
    } else if (!keep) {
      removeLogs();
    }
    return verdict;
  }

  private void removeLogs() throws IOException {
    Files.delete(dir.resolve(MESSAGES));
    for (String node : plan.regionPlan().controllers()) {
      Files.deleteIfExists(dir.resolve(node + ".log"));
    }
  }

  private SoakVerdict play(Deployment deployment)
      throws IOException, InterruptedException, InvalidInputException {
    Region part = deployment.regions().get(0);
    try {
      deployment.startControllers();
      awaitReady(part);
      long forMs = plan.durationS() * 1000L;
      part.cluster.randomJobs(
          forMs, plan.workers() < LARGE_FLEET ? JOB_EVERY_MS : JOB_EVERY_MS / 3);
      part.cluster.insistentUsers(forMs);
      new FaultInjector(deployment, part, progress).play(plan.faults());
      List<String> open = awaitSettled(part);
      return judge(part, open);
    } catch (TimeoutException e) {
      return new SoakVerdict(
          plan, Result.NOT_FINISHED, List.of("the stand-ins do not answer"), 0, 0, 0);
    }
  }

  private void awaitReady(Region part)
      throws InterruptedException, TimeoutException, IOException, InvalidInputException {
    long until = System.currentTimeMillis() + READY_WITHIN_MS;
    while (part.cluster.ready().size() < part.controllers.size()) {
      for (ControllerProcess controller : part.controllers) {
        if (controller.hasEndedUnexpectedly()) {
          throw new InvalidInputException(
              controller.name + " does not start: " + lastLine(controller.log()));
        }
      }
      if (System.currentTimeMillis() > until) {
        throw new TimeoutException("controllers are not ready");
      }
      Thread.sleep(LOOK_MS);
    }
  }

  private static String lastLine(Path log) throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "no word of it" : lines.get(lines.size() - 1);
  }

  /** Waits until every accepted job is answered for and running or over; returns what is not. */
  private List<String> awaitSettled(Region part) throws InterruptedException, TimeoutException {
    long calmFrom = part.cluster.status().nowMs();
    long until = System.currentTimeMillis() + SETTLED_WITHIN_MS;
    List<String> open;
    do {
      Thread.sleep(LOOK_MS);
      open = part.cluster.unsettled(calmFrom);
    } while (!open.isEmpty() && System.currentTimeMillis() < until);
    return open;
  }

  private SoakVerdict judge(Region part, List<String> open) throws TimeoutException, IOException {
    LoopbackStatus status = part.cluster.status();
    List<String> broken = new ArrayList<>(status.broken());
    open.forEach(o -> broken.add("unsettled: " + o));
    if (status.starts() == 0) {
      broken.add("nothing_ran");
    }
    for (ControllerProcess controller : part.controllers) {
      if (controller.hasEndedUnexpectedly()) {
        broken.add("controller_ended: " + controller.name);
      }
      try (Stream<String> lines = Files.lines(controller.log())) {
        lines
            .filter(l -> l.contains("invariant_violated") || l.contains("event=input_failed"))
            .limit(5)
            .forEach(l -> broken.add(controller.name + ": " + l));
      }
    }
    return new SoakVerdict(
        plan,
        broken.isEmpty() ? Result.PASSED : Result.FAILED,
        broken,
        status.starts(),
        status.jobsDone(),
        Math.max(0, status.tokens() - 1));
  }
}
