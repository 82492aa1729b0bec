package org.snowturn.simulation;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.snowturn.wire.JobSpec;

/**
 * The users' load of a scale run, by the clock and not by the answers: standing arrays that run to
 * the end, short arrays at the rate of starts that is asked for, and small urgent jobs among them.
 */
final class LoadGenerator {
  /** No job has more tasks. */
  static final int MAX_TASKS_PER_JOB = 400;

  private static final int SHORT_JOB = 100;
  private static final int URGENT_JOB = 4;
  private static final double URGENT_PER_SECOND = 2;
  private static final long SHORT_RUN_MS = 10_000;
  private static final long STANDING_RUN_MS = 86_400_000;
  private static final long FILL_EVERY_MS = 500;
  private static final long LONGEST_DELAY_MS = 3_600_000;
  private static final String URGENT = "urgent";

  private final SimulatedCluster cluster;
  private final LoopbackPlan plan;
  private final Histogram urgent = new Histogram(LONGEST_DELAY_MS, 2);
  private final Histogram accepted = new Histogram(LONGEST_DELAY_MS, 2);
  private int nextJob = 1;

  LoadGenerator(SimulatedCluster cluster, LoopbackPlan plan) {
    this.cluster = cluster;
    this.plan = plan;
    cluster.clients.startListener =
        (spec, delayMs) -> {
          if (spec.jobClass().equals(URGENT)) {
            urgent.recordValue(Math.min(delayMs, LONGEST_DELAY_MS));
          }
        };
    cluster.clients.acceptedListener =
        delayMs -> accepted.recordValue(Math.min(delayMs, LONGEST_DELAY_MS));
  }

  static String teamName(int number) {
    return "team-" + number;
  }

  Histogram urgentDelays() {
    return urgent;
  }

  Histogram acceptDelays() {
    return accepted;
  }

  long finishedJobs() {
    long n = 0;
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      n += submitted.terminal != null ? 1 : 0;
    }
    return n;
  }

  /** What stands, less what the short arrays take once they come. */
  int standingTasks() {
    return (int) Math.max(0, plan.concurrentTasks() - plan.startsPerSecond() * SHORT_RUN_MS / 1000);
  }

  void submitStandingJobs() {
    submitStandingJobs(standingTasks());
  }

  private void submitStandingJobs(int left) {
    if (left > 0) {
      int tasks = Math.min(left, MAX_TASKS_PER_JOB);
      submit("standing", "high", tasks, STANDING_RUN_MS);
      cluster.after(FILL_EVERY_MS, () -> submitStandingJobs(left - tasks));
    }
  }

  void startArrivals() {
    accepted.reset();
    double urgentStarts = Math.min(plan.startsPerSecond(), URGENT_PER_SECOND * URGENT_JOB);
    every(urgentStarts / URGENT_JOB, () -> submit(URGENT, "production", URGENT_JOB, SHORT_RUN_MS));
    double shortStarts = plan.startsPerSecond() - urgentStarts;
    every(shortStarts / SHORT_JOB, () -> submit("short", "high", SHORT_JOB, SHORT_RUN_MS));
  }

  /** Arrivals are drawn as they come from many users, whatever becomes of those before. */
  private void every(double perSecond, Runnable what) {
    if (perSecond > 0) {
      double seconds = -Math.log(1 - cluster.random.nextDouble()) / perSecond;
      cluster.after(
          Math.round(seconds * 1000),
          () -> {
            what.run();
            every(perSecond, what);
          });
    }
  }

  private void submit(String jobClass, String rank, int tasks, long runMs) {
    Map<String, String> o = new HashMap<>();
    o.put("class", jobClass);
    o.put("rank", rank);
    o.put("team", teamName(nextJob % plan.teams()));
    o.put("tasks", "" + tasks);
    o.put("cpus", "1");
    o.put("estimate", "" + Math.min(runMs, 600_000) / 1000);
    JobSpec spec =
        SimulatedJobs.spec(
            String.format("wk-%d%07d", 1 + plan.regionNumber(), nextJob++), "batch", o);
    cluster.clients.submit(spec, runMs, Map.of());
  }
}
