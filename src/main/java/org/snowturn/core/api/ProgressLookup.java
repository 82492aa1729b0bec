package org.snowturn.core.api;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Asks the leader for the progress of jobs before a node calls them queued. The leader publishes a
 * job's progress once, when it changes; a node that was down or cut off then has missed it, and
 * nothing may change for as long as a service runs.
 *
 * <p>The jobs of several users' queries go in one request. Without an answer in time, for instance
 * while no node leads, a query is answered with what the node has heard last.
 */
final class ProgressLookup {
  /** Age up to which the leader's word that no task runs is used without asking again. */
  private static final long MAX_AGE_MS = 2_000;

  private static final long TIMEOUT_MS = 500;

  /** Maximum number of jobs in a request, so that it stays within a frame between controllers. */
  private static final int MAX_JOBS_PER_REQUEST = 150;

  /** Maximum number of jobs that are asked for at a time. */
  private static final int MAX_PENDING_JOBS = 5_000;

  private final CoreRuntime runtime;
  private final Consumer<List<String>> onRequest;
  private final Map<String, Long> heardAt;
  private final Map<String, List<Runnable>> waitingByJob = new HashMap<>();
  private final Map<String, Boolean> unsent = new LinkedHashMap<>();

  /**
   * Creates a lookup that has heard nothing yet.
   *
   * @param heardAt the time of the latest progress heard of each job; kept within bounds
   * @param onRequest asks the leader for the progress of jobs
   */
  ProgressLookup(CoreRuntime runtime, Map<String, Long> heardAt, Consumer<List<String>> onRequest) {
    this.runtime = runtime;
    this.heardAt = heardAt;
    this.onRequest = onRequest;
  }

  /** Runs the action once the job's progress is known, or if the leader does not answer in time. */
  void whenKnown(String job, Runnable action) {
    Long at = heardAt.get(job);
    boolean isRecent = at != null && runtime.now() - at <= MAX_AGE_MS;
    if (isRecent || waitingByJob.size() >= MAX_PENDING_JOBS) {
      action.run();
      return;
    }
    List<Runnable> waiting = waitingByJob.get(job);
    if (waiting != null) {
      waiting.add(action);
      return;
    }
    waitingByJob.put(job, new ArrayList<>(List.of(action)));
    if (unsent.isEmpty()) {
      runtime.schedule(0, this::sendRequests);
    }
    unsent.put(job, true);
    runtime.schedule(TIMEOUT_MS, () -> complete(job));
  }

  private void sendRequests() {
    Collection<String> jobs = List.copyOf(unsent.keySet());
    unsent.clear();
    List<String> request = new ArrayList<>();
    for (String job : jobs) {
      request.add(job);
      if (request.size() == MAX_JOBS_PER_REQUEST) {
        onRequest.accept(List.copyOf(request));
        request.clear();
      }
    }
    if (!request.isEmpty()) {
      onRequest.accept(request);
    }
  }

  /** Handles the progress of a job that the leader has published. */
  void onProgress(String job) {
    heardAt.put(job, runtime.now());
    complete(job);
  }

  private void complete(String job) {
    List<Runnable> waiting = waitingByJob.remove(job);
    if (waiting != null) {
      waiting.forEach(Runnable::run);
    }
  }
}
