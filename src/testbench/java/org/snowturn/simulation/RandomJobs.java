package org.snowturn.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.snowturn.wire.JobSpec;

/** Client that submits random arrays and services, cancels some and resubmits others. */
final class RandomJobs {
  private static final int MAX_SERVICE_TASKS = 3;
  private static final int MAX_ARRAY_TASKS = 9;
  private static final int MAX_CPUS = 3;

  /** On average one of this number of seeds has arrays of small tasks, which fill reports. */
  private static final int SMALL_TASK_SEEDS_ONE_IN = 4;

  /** On average one of this number of arrays of such a seed has small tasks. */
  private static final int SMALL_TASKS_ONE_IN = 8;

  private static final int MIN_SMALL_TASKS = 100;
  private static final int SMALL_TASKS_SPREAD = 900;
  private static final int IMAGES = 3;
  private static final int MIN_RUN_MS = 2_000;
  private static final int RUN_SPREAD_MS = 12_000;
  private static final int MAX_CANCEL_DELAY_MS = 40_000;
  private static final int MAX_RESUBMIT_DELAY_MS = 60_000;

  private final SimulatedCluster cluster;
  private final Random random;

  /** Draws the arrays of small tasks, so that all else is as it was drawn without them. */
  private final SplittableRandom smallTasksRandom;

  private final boolean hasSmallTasks;
  private final List<String> teams;
  private final int minPauseMs;
  private final int pauseSpreadMs;
  private long endMs;
  private int submittedJobs;

  /**
   * Creates a client that submits nothing before {@link #submitUntil} is called.
   *
   * @param teams names of the teams to submit for
   * @param minPauseMs minimum time between two submissions
   * @param pauseSpreadMs upper bound (exclusive) of the random time added to {@code minPauseMs}
   */
  RandomJobs(SimulatedCluster cluster, List<String> teams, int minPauseMs, int pauseSpreadMs) {
    this.cluster = cluster;
    this.random = cluster.random;
    this.smallTasksRandom = new SplittableRandom(cluster.seed);
    this.hasSmallTasks = smallTasksRandom.nextInt(SMALL_TASK_SEEDS_ONE_IN) == 0;
    this.teams = List.copyOf(teams);
    this.minPauseMs = minPauseMs;
    this.pauseSpreadMs = pauseSpreadMs;
  }

  /**
   * Submits jobs until {@code endMs} of simulated time. From now on the layout of each worker's
   * reports is drawn from the seed.
   */
  void submitUntil(long endMs) {
    cluster.drawsReportLayouts = true;
    this.endMs = endMs;
    submitNext();
  }

  private void submitNext() {
    if (cluster.now > endMs) {
      return;
    }
    submit(String.format("wk-%06d", ++submittedJobs));
    cluster.after(minPauseMs + random.nextInt(pauseSpreadMs), this::submitNext);
  }

  private void submit(String id) {
    boolean service = random.nextInt(5) == 0;
    JobSpec spec = SimulatedJobs.spec(id, service ? "service" : "batch", options(service));
    cluster.clients.submit(spec, MIN_RUN_MS + random.nextInt(RUN_SPREAD_MS), Map.of());
    if (service || random.nextInt(5) == 0) {
      cluster.after(500 + random.nextInt(MAX_CANCEL_DELAY_MS), () -> cancel(id));
    }
    if (random.nextInt(4) == 0) {
      cluster.after(random.nextInt(MAX_RESUBMIT_DELAY_MS), () -> cluster.clients.resubmit(id));
    }
  }

  private Map<String, String> options(boolean service) {
    Map<String, String> options = new HashMap<>();
    int tasks = 1 + random.nextInt(service ? MAX_SERVICE_TASKS : MAX_ARRAY_TASKS);
    options.put("tasks", "" + tasks);
    options.put("cpus", "" + (1 + random.nextInt(MAX_CPUS)));
    options.put("image", "img-" + random.nextInt(IMAGES));
    options.put("rank", service ? "production" : random.nextBoolean() ? "high" : "normal");
    options.put("team", teams.get(random.nextInt(teams.size())));
    if (random.nextInt(3) == 0) {
      options.put("spread", "1");
    }
    if (random.nextInt(6) == 0) {
      options.put("one-zone", "1");
      options.remove("spread");
    }
    if (service || random.nextInt(4) == 0) {
      options.put("ordinary", "1");
    }
    if (!service) {
      makeSmallTasks(options);
    }
    return options;
  }

  /** Gives some arrays of some seeds many small tasks. */
  private void makeSmallTasks(Map<String, String> options) {
    if (hasSmallTasks && smallTasksRandom.nextInt(SMALL_TASKS_ONE_IN) == 0) {
      options.put("tasks", "" + (MIN_SMALL_TASKS + smallTasksRandom.nextInt(SMALL_TASKS_SPREAD)));
      options.put("cpus", "0.002");
      options.put("memory", "0.008");
      options.remove("spread");
    }
  }

  private void cancel(String id) {
    if (cluster.clients.job(id).refusalStatus == null) {
      cluster.clients.cancel(id);
    }
  }
}
