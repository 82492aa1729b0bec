package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.snowturn.core.Input;
import org.snowturn.wire.JobSpec;

/**
 * Simulated users, who submit, poll, cancel and resubmit jobs. Every answer is checked against the
 * answers received before.
 */
final class SimulatedClients {
  /** A job that a user has submitted, and the answers received about it. */
  static final class SubmittedJob {
    JobSpec spec;

    /** Run time of each task that is not listed in {@link #stragglerRunMs}. */
    long runMs;

    /** Run times of the tasks that differ from {@link #runMs}, by task index. */
    Map<Integer, Long> stragglerRunMs = new HashMap<>();

    /** Whether a node has accepted the submission. */
    boolean accepted;

    long acceptedAt;
    boolean cancelRequested;

    /** Time of the first answer that called the job cancelled; null before that. */
    Long cancelConfirmedAt;

    /** Whether every task of the job fails on every machine. */
    boolean alwaysFails;

    long submittedAt;

    /** Time of the last poll that ended with a status below 500, a refused connection included. */
    long answeredAt;

    /** Time of the first start of a task; -1 before that. */
    long firstStartAt = -1;

    final JobHistory history = new JobHistory();

    /** {@code done} or {@code aborted} once an answer said so; null before that. */
    String terminalPhase;

    /** Time of the answer that set {@link #terminalPhase}; -1 before that. */
    long finishedAt = -1;

    /** HTTP status with which the submission was rejected; null if it was not. */
    String refusalStatus;
  }

  /** Number of requests that follow one change of a job, spread over all nodes. */
  private static final int READS_AFTER_WRITE = 9;

  /** Time within which the requests after a change are sent. */
  private static final long READS_WITHIN_MS = 30;

  /** Index of the request that cancels the job, if one of the requests after a change does. */
  private static final int CANCEL_INDEX = 4;

  /** Average number of live batch jobs for each one that is cancelled after a change. */
  private static final int JOBS_PER_CANCEL = 8;

  /** Maximum time from the end of a job's last task to the cancellation. */
  private static final int CANCEL_ON_COMPLETION_WITHIN_MS = 20;

  /** Time within which running jobs are cancelled together. */
  private static final int CANCEL_RUNNING_WITHIN_MS = 200;

  /** Maximum number of machines that hang when running jobs are cancelled. */
  private static final int MAX_HUNG_WORKERS = 8;

  private static final long INVALID_REQUEST_INTERVAL_MS = 150;
  private static final long DEPENDENCY_CHECK_INTERVAL_MS = 100;
  private static final long REQUEST_TIMEOUT_MS = 3_000;
  private static final long RETRY_DELAY_MS = 1_000;

  /** Run time of each task of a job that was accepted before the simulation. */
  private static final long EXISTING_JOB_RUN_MS = 10_000;

  /** Observes the starts of tasks. */
  interface StartListener {
    /**
     * Handles the start of a task.
     *
     * @param delayMs time since the submission of the job
     */
    void onStart(JobSpec spec, long delayMs);
  }

  StartListener startListener = (spec, delayMs) -> {};

  /** Takes the time from the submission of a job to its acceptance, in milliseconds. */
  java.util.function.LongConsumer acceptedListener = delayMs -> {};

  private final SimulatedCluster cluster;

  /** End of the period in which reads after writes are sent. */
  private long readAfterWriteUntil;

  /** End of the period in which invalid requests are sent. */
  private long invalidRequestsUntil;

  /** Number in the id of the last job that could never run. */
  private int lastInvalidJobNumber = 900_000;

  private double cancelOnCompletionProbability;
  private boolean hasConfirmedCancel;
  private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();

  /** Tasks, as {@code job/index}, that have run to their end. */
  private final Set<String> completedTasks = new HashSet<>();

  SimulatedClients(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns the specification of a job, or null if no user submitted it. */
  JobSpec spec(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted == null ? null : submitted.spec;
  }

  /**
   * Adds a job that controllers of another version accepted before this simulation, and polls it.
   *
   * @param phase the job's phase in the stored record
   */
  void addAcceptedJob(JobSpec spec, String phase) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.runMs = EXISTING_JOB_RUN_MS;
    submitted.accepted = true;
    if (phase.equals("aborted")) {
      submitted.cancelRequested = true;
      submitted.cancelConfirmedAt = cluster.now;
      submitted.terminalPhase = phase;
      submitted.finishedAt = cluster.now;
      hasConfirmedCancel = true;
    }
    jobs.put(spec.id(), submitted);
    poll(submitted);
  }

  /** Returns a submitted job, or null if no user submitted it. */
  SubmittedJob job(String id) {
    return jobs.get(id);
  }

  /** Returns all submitted jobs in the order of submission. */
  Iterable<SubmittedJob> allJobs() {
    return jobs.values();
  }

  /** Returns the run time of a task in milliseconds. */
  long runMs(String id, int task) {
    SubmittedJob submitted = jobs.get(id);
    return submitted.stragglerRunMs.getOrDefault(task, submitted.runMs);
  }

  /** Returns whether every task of a job fails on every machine. */
  boolean alwaysFails(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted != null && submitted.alwaysFails;
  }

  /** Records the start of a task of a job and notifies {@link #startListener}. */
  void recordStart(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.firstStartAt = submitted.firstStartAt < 0 ? cluster.now : submitted.firstStartAt;
    startListener.onStart(submitted.spec, cluster.now - submitted.submittedAt);
  }

  /** Returns whether any user has received an answer that calls a job cancelled. */
  boolean hasConfirmedCancel() {
    return hasConfirmedCancel;
  }

  /** Returns the time of the first answer that called a job cancelled, or null. */
  Long cancelConfirmedAt(String id) {
    return jobs.get(id).cancelConfirmedAt;
  }

  /**
   * Returns the time of the first answer that called a direct or indirect dependency of a job
   * cancelled, or null.
   */
  Long dependencyCancelConfirmedAt(String id) {
    Long earliestAt = null;
    for (String dependency : allDependencies(id)) {
      Long confirmedAt = jobs.get(dependency).cancelConfirmedAt;
      earliestAt =
          earliestAt == null || (confirmedAt != null && confirmedAt < earliestAt)
              ? confirmedAt
              : earliestAt;
    }
    return earliestAt;
  }

  /** Returns the ids of the direct and indirect dependencies of a job. */
  private Set<String> allDependencies(String id) {
    Set<String> dependencies = new LinkedHashSet<>();
    ArrayDeque<String> queue = new ArrayDeque<>(List.of(id));
    while (!queue.isEmpty()) {
      SubmittedJob submitted = jobs.get(queue.poll());
      for (String dependency :
          submitted == null ? List.<String>of() : submitted.spec.dependencies()) {
        if (jobs.containsKey(dependency) && dependencies.add(dependency)) {
          queue.add(dependency);
        }
      }
    }
    return dependencies;
  }

  /** Returns whether a task, as {@code job/index}, has run to its end. */
  boolean hasResult(String task) {
    return completedTasks.contains(task);
  }

  /**
   * Records that a task, as {@code job/index}, has run to its end. With the probability set by
   * {@link #cancelOnCompletion}, the user cancels a job whose last task has ended.
   */
  void recordResult(String task) {
    completedTasks.add(task);
    SubmittedJob submitted = jobs.get(task.substring(0, task.lastIndexOf('/')));
    if (submitted != null
        && cancelOnCompletionProbability > 0
        && areAllTasksDone(submitted)
        && cluster.random.nextDouble() < cancelOnCompletionProbability) {
      cluster.after(
          cluster.random.nextInt(CANCEL_ON_COMPLETION_WITHIN_MS),
          () -> cancel(submitted.spec.id()));
    }
  }

  /** Returns whether all tasks of a job have run to their end. */
  boolean areAllTasksDone(SubmittedJob submitted) {
    return IntStream.range(0, submitted.spec.tasks())
        .allMatch(t -> completedTasks.contains(submitted.spec.id() + "/" + t));
  }

  // --- concurrent and invalid requests ---

  /**
   * Makes users send several requests to all nodes within milliseconds after a job was accepted or
   * has ended.
   *
   * @param durationMs how long users do so from now on
   */
  void enableReadsAfterWrite(long durationMs) {
    readAfterWriteUntil = cluster.now + durationMs;
  }

  /**
   * Makes users cancel jobs at the moment when their last task ends.
   *
   * @param probability share of the jobs that are cancelled, from 0 to 1
   */
  void cancelOnCompletion(double probability) {
    cancelOnCompletionProbability = probability;
  }

  /**
   * Polls and resubmits a job at all nodes while reads after writes are enabled. One in eight batch
   * jobs that are still live is cancelled in between.
   */
  private void readAtAllNodes(SubmittedJob submitted) {
    if (cluster.now > readAfterWriteUntil) {
      return;
    }
    String id = submitted.spec.id();
    boolean shouldCancel =
        submitted.terminalPhase == null
            && !submitted.spec.isService()
            && cluster.random.nextInt(JOBS_PER_CANCEL) == 0;
    for (int i = 0; i < READS_AFTER_WRITE; i++) {
      Endpoint endpoint = cluster.endpoints.get(i % cluster.endpoints.size());
      int kind = i == CANCEL_INDEX && shouldCancel ? 2 : cluster.random.nextInt(3) / 2;
      cluster.after(
          cluster.random.nextInt((int) READS_WITHIN_MS),
          () -> {
            switch (kind) {
              case 0 -> poll(endpoint, id);
              case 1 -> trySubmit(endpoint, submitted, () -> {});
              default -> cancel(id);
            }
          });
    }
  }

  /**
   * Makes users resubmit live jobs, cancel jobs that are done, and submit jobs that can never run.
   *
   * @param durationMs how long users do so from now on
   */
  void sendInvalidRequests(long durationMs) {
    invalidRequestsUntil = cluster.now + durationMs;
    sendInvalidRequest();
  }

  private void sendInvalidRequest() {
    if (cluster.now > invalidRequestsUntil) {
      return;
    }
    List<SubmittedJob> all = List.copyOf(jobs.values());
    SubmittedJob submitted = all.isEmpty() ? null : all.get(cluster.random.nextInt(all.size()));
    switch (cluster.random.nextInt(4)) {
      case 0 -> {
        if (submitted != null && submitted.accepted && submitted.terminalPhase == null) {
          trySubmit(submitted);
        }
      }
      case 1 -> {
        if (submitted != null && "done".equals(submitted.terminalPhase)) {
          cancel(submitted.spec.id());
        }
      }
      default -> submitImpossibleJob();
    }
    cluster.after(cluster.jitter(INVALID_REQUEST_INTERVAL_MS), this::sendInvalidRequest);
  }

  /**
   * Submits a job that is larger than any machine or belongs to an unknown team. A node must reject
   * it with 422 or answer with a server error.
   */
  private void submitImpossibleJob() {
    String id = "wk-" + ++lastInvalidJobNumber;
    boolean isTooLarge = cluster.random.nextBoolean();
    JobSpec spec =
        SimulatedJobs.spec(
            id, "batch", isTooLarge ? Map.of("cpus", "99") : Map.of("team", "nobody"));
    sendRequest(
        anyEndpoint(),
        x -> new Input.Submit(x, spec),
        (status, body) -> {
          if (status < 500 && status != 422 && status != 0) {
            cluster.invariants.reportViolation("accepted_bad", id + " got " + status);
          }
        },
        () -> {});
  }

  /**
   * Cancels running jobs within 200 ms, services and the longest jobs first.
   *
   * @param count maximum number of jobs to cancel
   * @param hangMs how long up to eight machines of these jobs hang; 0 for no hang
   */
  void cancelRunningJobs(int count, long hangMs) {
    Map<SubmittedJob, List<SimulatedWorker>> workersByJob = new LinkedHashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        SubmittedJob submitted = jobs.get(task.job);
        if (task.isRunning()
            && submitted.accepted
            && !submitted.cancelRequested
            && submitted.terminalPhase == null) {
          workersByJob.computeIfAbsent(submitted, k -> new ArrayList<>()).add(worker);
        }
      }
    }
    List<SimulatedWorker> hangCandidates = new ArrayList<>();
    workersByJob.keySet().stream()
        .sorted(
            Comparator.comparingLong(
                submitted -> submitted.spec.isService() ? Long.MIN_VALUE : -submitted.runMs))
        .limit(count)
        .forEach(
            submitted -> {
              cluster.after(
                  cluster.random.nextInt(CANCEL_RUNNING_WITHIN_MS),
                  () -> cancel(submitted.spec.id()));
              hangCandidates.addAll(workersByJob.get(submitted));
            });
    if (hangMs > 0) {
      hangCandidates.stream()
          .distinct()
          .limit(MAX_HUNG_WORKERS)
          .forEach(worker -> ClusterFaults.hang(cluster, worker, hangMs));
    }
  }

  /**
   * Submits a job now.
   *
   * @param runMs run time of each task
   * @param stragglerRunMs run times of the tasks that differ, by task index
   */
  void submit(JobSpec spec, long runMs, Map<Integer, Long> stragglerRunMs) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.submittedAt = cluster.now;
    submitted.runMs = runMs;
    submitted.stragglerRunMs.putAll(stragglerRunMs);
    jobs.put(spec.id(), submitted);
    submitAfterDependencies(submitted);
  }

  /** Submits a job once each job that it depends on has been accepted or rejected. */
  private void submitAfterDependencies(SubmittedJob submitted) {
    for (String id : submitted.spec.dependencies()) {
      SubmittedJob dependency = jobs.get(id);
      if (dependency != null
          && dependency != submitted
          && !dependency.accepted
          && dependency.refusalStatus == null) {
        cluster.after(DEPENDENCY_CHECK_INTERVAL_MS, () -> submitAfterDependencies(submitted));
        return;
      }
    }
    trySubmit(submitted);
  }

  /** Returns a random endpoint, one that is up if there is any. */
  private Endpoint anyEndpoint() {
    // A load balancer skips nodes that refuse connections.
    List<Endpoint> available = cluster.endpoints.stream().filter(n -> n.isUp).toList();
    List<Endpoint> candidates = available.isEmpty() ? cluster.endpoints : available;
    return candidates.get(cluster.random.nextInt(candidates.size()));
  }

  /**
   * Sends a request to an endpoint.
   *
   * @param input makes the request from the number of its exchange
   * @param answer takes the answer if it arrives in time
   * @param onTimeout runs if no answer arrives in time
   */
  private void sendRequest(
      Endpoint endpoint,
      java.util.function.LongFunction<Input> input,
      Endpoint.ResponseHandler answer,
      Runnable onTimeout) {
    boolean[] isFinished = {false};
    endpoint.request(
        "user",
        input,
        (status, body) -> {
          if (!isFinished[0]) {
            isFinished[0] = true;
            answer.onResponse(status, body);
          }
        });
    cluster.after(
        REQUEST_TIMEOUT_MS,
        () -> {
          if (!isFinished[0]) {
            isFinished[0] = true;
            onTimeout.run();
          }
        });
  }

  /** Submits a job at any endpoint and repeats the request until it is accepted or rejected. */
  private void trySubmit(SubmittedJob submitted) {
    trySubmit(
        anyEndpoint(), submitted, () -> cluster.after(RETRY_DELAY_MS, () -> trySubmit(submitted)));
  }

  /**
   * Submits a job and records the answer.
   *
   * @param retry runs on a timeout and on every answer other than acceptance or rejection
   */
  private void trySubmit(Endpoint endpoint, SubmittedJob submitted, Runnable retry) {
    long requestedAt = cluster.now;
    sendRequest(
        endpoint,
        x -> new Input.Submit(x, specToSubmit(submitted.spec)),
        (status, body) -> {
          if (status == 200 || status == 201) {
            boolean isFirstAcceptance = !submitted.accepted;
            submitted.accepted = true;
            submitted.acceptedAt = isFirstAcceptance ? cluster.now : submitted.acceptedAt;
            if (isFirstAcceptance) {
              acceptedListener.accept(cluster.now - submitted.submittedAt);
            }
            recordAnswer(submitted, requestedAt, body);
            if (isFirstAcceptance) {
              poll(submitted);
              readAtAllNodes(submitted);
            }
          } else if (status == 422 || status == 400) {
            submitted.refusalStatus = "" + status;
            if (submitted.accepted) {
              cluster.invariants.reportViolation(
                  "forgotten", submitted.spec.id() + " got " + status);
            }
          } else {
            retry.run();
          }
        },
        retry);
  }

  /** Returns the specification to submit; a seeded bug drops its dependencies. */
  private JobSpec specToSubmit(JobSpec spec) {
    return cluster.seededBugs.contains("forget_awaits")
        ? SimulatedJobs.withoutDependencies(spec)
        : spec;
  }

  /** Repeats the submission of a job, which a user may do at any later time. */
  void resubmit(String id) {
    trySubmit(jobs.get(id));
  }

  /** Polls a job at regular intervals, with jitter, until its end or beyond it. */
  private void poll(SubmittedJob submitted) {
    if (submitted.terminalPhase != null && !cluster.parameters.shouldPollFinishedJobs()) {
      return;
    }
    cluster.after(
        cluster.jitter(cluster.parameters.minPollIntervalMs()),
        () -> {
          pollOnce(submitted.spec.id());
          poll(submitted);
        });
  }

  /** Polls a job once at any node. */
  void pollOnce(String id) {
    poll(anyEndpoint(), id);
  }

  /** Polls a job once at an endpoint and records the answer. */
  private void poll(Endpoint endpoint, String id) {
    long requestedAt = cluster.now;
    sendRequest(
        endpoint,
        x -> new Input.Poll(x, id),
        (status, body) -> {
          SubmittedJob submitted = jobs.get(id);
          if (submitted != null
              && status < 500
              && !cluster.seededBugs.contains("unanswered:" + id)) {
            submitted.answeredAt = cluster.now;
          }
          if (submitted == null) {
            if (status == 200) {
              cluster.invariants.reportViolation("invented", id);
            }
          } else if (status == 404) {
            checkAnswer(submitted, requestedAt, null);
          } else if (status == 200) {
            recordAnswer(submitted, requestedAt, body);
            if (body.path("phase").asText().equals("queued")) {
              cluster.invariants.checkQueued(id, requestedAt);
            }
          }
        },
        () -> {});
  }

  /** Cancels a job and repeats the request until a node answers it with 200. */
  void cancel(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.cancelRequested = true;
    Runnable retry = () -> cluster.after(RETRY_DELAY_MS, () -> cancel(id));
    long requestedAt = cluster.now;
    sendRequest(
        anyEndpoint(),
        x -> new Input.Cancel(x, id),
        (status, body) -> {
          if (status == 200) {
            recordAnswer(submitted, requestedAt, body);
          } else {
            retry.run();
          }
        },
        retry);
  }

  /**
   * Reports an answer that contradicts an earlier one.
   *
   * @param phase the phase in the answer; null if the node did not know the job
   */
  private void checkAnswer(SubmittedJob submitted, long requestedAt, String phase) {
    String rule = submitted.history.recordAnswer(requestedAt, cluster.now, phase);
    if (rule != null) {
      cluster.invariants.reportViolation(
          rule, submitted.spec.id() + ": " + submitted.terminalPhase + " then " + phase);
    }
  }

  /** Checks an answer about a job and records the phase that it reports. */
  private void recordAnswer(SubmittedJob submitted, long requestedAt, JsonNode body) {
    String phase = body.path("phase").asText();
    String id = submitted.spec.id();
    if (submitted.terminalPhase != null && cluster.seededBugs.contains("stale_answers")) {
      phase = "queued";
    }
    checkAnswer(submitted, requestedAt, phase);
    if (submitted.terminalPhase != null && !phase.equals(submitted.terminalPhase)) {
      return;
    }
    if (phase.equals("aborted")) {
      if (!submitted.cancelRequested
          && allDependencies(id).stream().noneMatch(n -> jobs.get(n).cancelRequested)) {
        cluster.invariants.reportViolation("went_back", id + " cancelled by nobody");
      }
      if (submitted.cancelConfirmedAt == null) {
        submitted.cancelConfirmedAt = cluster.now;
        hasConfirmedCancel = true;
      }
    }
    if (phase.equals("queued") || phase.equals("running")) {
      cluster.invariants.checkOrphaned(submitted);
    }
    if (phase.equals("done")) {
      for (int t = 0; t < submitted.spec.tasks(); t++) {
        if (!completedTasks.contains(id + "/" + t)) {
          cluster.invariants.reportViolation("not_done", id + "/" + t);
        }
      }
    }
    if (submitted.terminalPhase == null && (phase.equals("done") || phase.equals("aborted"))) {
      submitted.terminalPhase = phase;
      submitted.finishedAt = cluster.now;
      readAtAllNodes(submitted);
    }
  }
}
