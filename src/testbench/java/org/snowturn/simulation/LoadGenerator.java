package org.snowturn.simulation;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.snowturn.wire.JobSpec;

/**
 * Open-loop load of a scale run: jobs arrive at the planned rate, independent of the controllers'
 * responses. Standing arrays last until the end of the run; short arrays and small urgent jobs
 * together start tasks at the planned rate.
 */
final class LoadGenerator {
  /** Maximum number of tasks of a job. */
  static final int MAX_TASKS_PER_JOB = 400;

  private static final int TASKS_PER_SHORT_JOB = 100;
  private static final int TASKS_PER_URGENT_JOB = 4;
  private static final double MAX_URGENT_JOBS_PER_S = 2;
  private static final long SHORT_RUN_MS = 10_000;
  private static final long STANDING_RUN_MS = 86_400_000;
  private static final long STANDING_SUBMIT_INTERVAL_MS = 500;
  private static final long MAX_RECORDED_DELAY_MS = 3_600_000;
  private static final long MAX_ESTIMATE_MS = 600_000;
  private static final int HISTOGRAM_DIGITS = 2;
  private static final String URGENT = "urgent";

  private final SimulatedCluster cluster;
  private final LoopbackPlan plan;
  private final Histogram urgentDelays = new Histogram(MAX_RECORDED_DELAY_MS, HISTOGRAM_DIGITS);
  private final Histogram acceptDelays = new Histogram(MAX_RECORDED_DELAY_MS, HISTOGRAM_DIGITS);
  private int nextJobNumber = 1;

  /** Creates a load generator that records start and acceptance delays but submits no jobs yet. */
  LoadGenerator(SimulatedCluster cluster, LoopbackPlan plan) {
    this.cluster = cluster;
    this.plan = plan;
    cluster.clients.startListener =
        (spec, delayMs) -> {
          if (spec.jobClass().equals(URGENT)) {
            urgentDelays.recordValue(Math.min(delayMs, MAX_RECORDED_DELAY_MS));
          }
        };
    cluster.clients.acceptedListener =
        delayMs -> acceptDelays.recordValue(Math.min(delayMs, MAX_RECORDED_DELAY_MS));
  }

  /** Returns the name of the team with a number. */
  static String teamName(int number) {
    return "team-" + number;
  }

  /** Returns the delays from submission to task start of urgent jobs, in milliseconds. */
  Histogram urgentDelays() {
    return urgentDelays;
  }

  /** Returns the delays from submission to acceptance since the arrivals began, in milliseconds. */
  Histogram acceptDelays() {
    return acceptDelays;
  }

  /** Returns the number of jobs that users have seen in a terminal phase. */
  long finishedJobs() {
    long finished = 0;
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.allJobs()) {
      finished += submitted.terminalPhase != null ? 1 : 0;
    }
    return finished;
  }

  /**
   * Returns the number of tasks of standing arrays: the planned concurrent tasks less those that
   * short and urgent jobs occupy once they arrive.
   */
  int standingTasks() {
    return (int) Math.max(0, plan.concurrentTasks() - plan.startsPerSecond() * SHORT_RUN_MS / 1000);
  }

  /** Submits the standing arrays one by one, at intervals. */
  void submitStandingJobs() {
    submitStandingJobs(standingTasks());
  }

  private void submitStandingJobs(int remainingTasks) {
    if (remainingTasks > 0) {
      int tasks = Math.min(remainingTasks, MAX_TASKS_PER_JOB);
      submit("standing", "high", tasks, STANDING_RUN_MS);
      cluster.after(STANDING_SUBMIT_INTERVAL_MS, () -> submitStandingJobs(remainingTasks - tasks));
    }
  }

  /**
   * Starts the arrivals of short arrays and urgent jobs. Discards the acceptance delays recorded
   * before, which belong to the standing arrays.
   */
  void startArrivals() {
    acceptDelays.reset();
    double urgentStarts =
        Math.min(plan.startsPerSecond(), MAX_URGENT_JOBS_PER_S * TASKS_PER_URGENT_JOB);
    scheduleArrivals(
        urgentStarts / TASKS_PER_URGENT_JOB,
        () -> submit(URGENT, "production", TASKS_PER_URGENT_JOB, SHORT_RUN_MS));
    double shortStarts = plan.startsPerSecond() - urgentStarts;
    scheduleArrivals(
        shortStarts / TASKS_PER_SHORT_JOB,
        () -> submit("short", "high", TASKS_PER_SHORT_JOB, SHORT_RUN_MS));
  }

  /**
   * Submits jobs as a Poisson process, the arrival pattern of many independent users.
   *
   * @param perSecond the mean number of jobs per second; 0 or less submits none
   * @param submitJob submits one job
   */
  private void scheduleArrivals(double perSecond, Runnable submitJob) {
    if (perSecond > 0) {
      double delayS = -Math.log(1 - cluster.random.nextDouble()) / perSecond;
      cluster.after(
          Math.round(delayS * 1000),
          () -> {
            submitJob.run();
            scheduleArrivals(perSecond, submitJob);
          });
    }
  }

  private void submit(String jobClass, String rank, int tasks, long runMs) {
    Map<String, String> options = new HashMap<>();
    options.put("class", jobClass);
    options.put("rank", rank);
    options.put("team", teamName(nextJobNumber % plan.teams()));
    options.put("tasks", "" + tasks);
    options.put("cpus", "1");
    options.put("estimate", "" + Math.min(runMs, MAX_ESTIMATE_MS) / 1000);
    JobSpec spec =
        SimulatedJobs.spec(
            String.format("wk-%d%07d", 1 + plan.regionNumber(), nextJobNumber++), "batch", options);
    cluster.clients.submit(spec, runMs, Map.of());
  }
}
