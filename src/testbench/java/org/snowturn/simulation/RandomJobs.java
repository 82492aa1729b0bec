package org.snowturn.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.snowturn.wire.JobSpec;

/** Submits random arrays and services, cancels some and repeats the submission of others. */
final class RandomJobs {
  private static final int MOST_SERVICE_TASKS = 3;
  private static final int MOST_ARRAY_TASKS = 9;
  private static final int MOST_CPUS = 3;
  private static final int IMAGES = 3;
  private static final int SHORTEST_RUN_MS = 2_000;
  private static final int RUN_SPREAD_MS = 12_000;
  private static final int LATEST_CANCEL_MS = 40_000;
  private static final int LATEST_REPEAT_MS = 60_000;

  private final SimulatedCluster cluster;
  private final Random random;
  private final List<String> teams;
  private final int leastPauseMs;
  private final int morePauseMs;
  private long end;
  private int jobs;

  /**
   * Has submitted nothing yet.
   *
   * @param teams who submit
   * @param leastPauseMs the least time between two jobs
   * @param morePauseMs what a pause may be longer than that
   */
  RandomJobs(SimulatedCluster cluster, List<String> teams, int leastPauseMs, int morePauseMs) {
    this.cluster = cluster;
    this.random = cluster.random;
    this.teams = List.copyOf(teams);
    this.leastPauseMs = leastPauseMs;
    this.morePauseMs = morePauseMs;
  }

  /** Submits until then. */
  void submitUntil(long endMs) {
    end = endMs;
    next();
  }

  private void next() {
    if (cluster.now > end) {
      return;
    }
    submit(String.format("wk-%06d", ++jobs));
    cluster.after(leastPauseMs + random.nextInt(morePauseMs), this::next);
  }

  private void submit(String id) {
    boolean service = random.nextInt(5) == 0;
    JobSpec spec = SimulatedJobs.spec(id, service ? "service" : "batch", options(service));
    cluster.clients.submit(spec, SHORTEST_RUN_MS + random.nextInt(RUN_SPREAD_MS), Map.of());
    if (service || random.nextInt(5) == 0) {
      cluster.after(500 + random.nextInt(LATEST_CANCEL_MS), () -> cancel(id));
    }
    if (random.nextInt(4) == 0) {
      cluster.after(random.nextInt(LATEST_REPEAT_MS), () -> cluster.clients.resubmit(id));
    }
  }

  private Map<String, String> options(boolean service) {
    Map<String, String> options = new HashMap<>();
    int tasks = 1 + random.nextInt(service ? MOST_SERVICE_TASKS : MOST_ARRAY_TASKS);
    options.put("tasks", "" + tasks);
    options.put("cpus", "" + (1 + random.nextInt(MOST_CPUS)));
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
    return options;
  }

  private void cancel(String id) {
    if (cluster.clients.job(id).refused == null) {
      cluster.clients.cancel(id);
    }
  }
}
