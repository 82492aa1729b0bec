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

/** Users who submit, poll, cancel and repeat, and remember all that they were told. */
final class SimulatedClients {
  /** One user's job. */
  static final class SubmittedJob {
    JobSpec spec;
    long runMs;
    Map<Integer, Long> stragglerRunMs = new HashMap<>();
    boolean accepted;
    long acceptedAt;
    boolean cancelRequested;
    Long cancelConfirmedAt;

    /** Fails wherever it runs. */
    boolean alwaysFails;

    long submittedAt;
    long answeredAt;
    long firstStartAt = -1;
    final JobHistory history = new JobHistory();
    String terminalPhase;
    long finishedAt = -1;
    String refusalStatus;
  }

  /** Questions that a user asks about one change, within milliseconds and at all nodes. */
  private static final int READS_AFTER_WRITE = 9;

  private static final long READS_WITHIN_MS = 30;

  /** Is told of each start how long after the job's submission it came. */
  interface StartListener {
    void onStart(JobSpec spec, long delayMs);
  }

  StartListener startListener = (spec, delayMs) -> {};

  /** Is told how long an answered submission took from when it was due. */
  java.util.function.LongConsumer acceptedListener = delayMs -> {};

  private final SimulatedCluster cluster;
  private long readAfterWriteUntil;
  private long invalidRequestsUntil;
  private int lastInvalidJobNumber = 900_000;
  private double cancelOnCompletionProbability;
  private boolean hasConfirmedCancel;
  private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();
  private final Set<String> completedTasks = new HashSet<>();

  SimulatedClients(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  JobSpec spec(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted == null ? null : submitted.spec;
  }

  /** Users know of the jobs that another version accepted. */
  void addAcceptedJob(JobSpec spec, String phase) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.runMs = 10_000;
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

  SubmittedJob job(String id) {
    return jobs.get(id);
  }

  Iterable<SubmittedJob> allJobs() {
    return jobs.values();
  }

  long runMs(String id, int task) {
    SubmittedJob submitted = jobs.get(id);
    return submitted.stragglerRunMs.getOrDefault(task, submitted.runMs);
  }

  boolean alwaysFails(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted != null && submitted.alwaysFails;
  }

  /** A task of the job starts. */
  void recordStart(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.firstStartAt = submitted.firstStartAt < 0 ? cluster.now : submitted.firstStartAt;
    startListener.onStart(submitted.spec, cluster.now - submitted.submittedAt);
  }

  boolean hasConfirmedCancel() {
    return hasConfirmedCancel;
  }

  Long cancelConfirmedAt(String id) {
    return jobs.get(id).cancelConfirmedAt;
  }

  /** When a user was first told that one of the jobs that this one needs is cancelled, or null. */
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

  boolean hasResult(String task) {
    return completedTasks.contains(task);
  }

  void recordResult(String task) {
    completedTasks.add(task);
    SubmittedJob submitted = jobs.get(task.substring(0, task.lastIndexOf('/')));
    if (submitted != null
        && cancelOnCompletionProbability > 0
        && areAllTasksDone(submitted)
        && cluster.random.nextDouble() < cancelOnCompletionProbability) {
      cluster.after(cluster.random.nextInt(20), () -> cancel(submitted.spec.id()));
    }
  }

  boolean areAllTasksDone(SubmittedJob submitted) {
    return IntStream.range(0, submitted.spec.tasks())
        .allMatch(t -> completedTasks.contains(submitted.spec.id() + "/" + t));
  }

  // --- users at their worst ---

  /** Users ask at all nodes within milliseconds after a job was accepted, or is over. */
  void enableReadsAfterWrite(long durationMs) {
    readAfterWriteUntil = cluster.now + durationMs;
  }

  /** So many of the jobs that end are called off at the moment of the end. */
  void cancelOnCompletion(double probability) {
    cancelOnCompletionProbability = probability;
  }

  private void readAtAllNodes(SubmittedJob submitted) {
    if (cluster.now > readAfterWriteUntil) {
      return;
    }
    String id = submitted.spec.id();
    boolean shouldCancel =
        submitted.terminalPhase == null
            && !submitted.spec.service()
            && cluster.random.nextInt(8) == 0;
    for (int i = 0; i < READS_AFTER_WRITE; i++) {
      Endpoint endpoint = cluster.endpoints.get(i % cluster.endpoints.size());
      int kind = i == 4 && shouldCancel ? 2 : cluster.random.nextInt(3) / 2;
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
   * Users repeat submissions of jobs that are not over, cancel jobs that are, and submit what can
   * never run.
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
    cluster.after(cluster.jitter(150), this::sendInvalidRequest);
  }

  /** No node accepts what fits no machine, or is of no team; it says so, or that it cannot tell. */
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
            cluster.invariants.report("accepted_bad", id + " got " + status);
          }
        },
        () -> {});
  }

  /** Users call off so many jobs that run and have long to go, within a fifth of a second. */
  void cancelRunningJobs(int count, long hangMs) {
    Map<SubmittedJob, List<SimulatedWorker>> workersByJob = new LinkedHashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        SubmittedJob submitted = jobs.get(task.job);
        if (task.running
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
                submitted -> submitted.spec.service() ? Long.MIN_VALUE : -submitted.runMs))
        .limit(count)
        .forEach(
            submitted -> {
              cluster.after(cluster.random.nextInt(200), () -> cancel(submitted.spec.id()));
              hangCandidates.addAll(workersByJob.get(submitted));
            });
    if (hangMs > 0) {
      hangCandidates.stream()
          .distinct()
          .limit(8)
          .forEach(worker -> ClusterFaults.hang(cluster, worker, hangMs));
    }
  }

  void submit(JobSpec spec, long runMs, Map<Integer, Long> stragglerRunMs) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.submittedAt = cluster.now;
    submitted.runMs = runMs;
    submitted.stragglerRunMs.putAll(stragglerRunMs);
    jobs.put(spec.id(), submitted);
    submitAfterDependencies(submitted);
  }

  /** The jobs of a pipeline are submitted one after another, each when those it names are taken. */
  private void submitAfterDependencies(SubmittedJob submitted) {
    for (String id : submitted.spec.dependencies()) {
      SubmittedJob dependency = jobs.get(id);
      if (dependency != null
          && dependency != submitted
          && !dependency.accepted
          && dependency.refusalStatus == null) {
        cluster.after(100, () -> submitAfterDependencies(submitted));
        return;
      }
    }
    trySubmit(submitted);
  }

  private Endpoint anyEndpoint() {
    // The load balancer tries another node where one refuses the connection.
    List<Endpoint> available = cluster.endpoints.stream().filter(n -> n.up).toList();
    List<Endpoint> candidates = available.isEmpty() ? cluster.endpoints : available;
    return candidates.get(cluster.random.nextInt(candidates.size()));
  }

  private void sendRequest(
      Endpoint endpoint,
      java.util.function.LongFunction<Input> input,
      Endpoint.Answer answer,
      Runnable onTimeout) {
    boolean[] isFinished = {false};
    endpoint.request(
        "user",
        input,
        (status, body) -> {
          if (!isFinished[0]) {
            isFinished[0] = true;
            answer.on(status, body);
          }
        });
    cluster.after(
        3000,
        () -> {
          if (!isFinished[0]) {
            isFinished[0] = true;
            onTimeout.run();
          }
        });
  }

  private void trySubmit(SubmittedJob submitted) {
    trySubmit(anyEndpoint(), submitted, () -> cluster.after(1000, () -> trySubmit(submitted)));
  }

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
              cluster.invariants.report("forgotten", submitted.spec.id() + " got " + status);
            }
          } else {
            retry.run();
          }
        },
        retry);
  }

  private JobSpec specToSubmit(JobSpec spec) {
    return cluster.seededBugs.contains("forget_awaits")
        ? SimulatedJobs.withoutDependencies(spec)
        : spec;
  }

  /** Repeats a submission, as a user may at any later time. */
  void resubmit(String id) {
    trySubmit(jobs.get(id));
  }

  private void poll(SubmittedJob submitted) {
    if (submitted.terminalPhase != null && !cluster.parameters.pollsWhenOver()) {
      return;
    }
    cluster.after(
        cluster.jitter(cluster.parameters.pollMs()),
        () -> {
          pollOnce(submitted.spec.id());
          poll(submitted);
        });
  }

  void pollOnce(String id) {
    poll(anyEndpoint(), id);
  }

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
              cluster.invariants.report("invented", id);
            }
          } else if (status == 404) {
            checkAnswer(submitted, requestedAt, null);
          } else if (status == 200) {
            recordAnswer(submitted, requestedAt, body);
          }
        },
        () -> {});
  }

  void cancel(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.cancelRequested = true;
    Runnable retry = () -> cluster.after(1000, () -> cancel(id));
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

  private void checkAnswer(SubmittedJob submitted, long requestedAt, String phase) {
    String rule = submitted.history.answered(requestedAt, cluster.now, phase);
    if (rule != null) {
      cluster.invariants.report(
          rule, submitted.spec.id() + ": " + submitted.terminalPhase + " then " + phase);
    }
  }

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
        cluster.invariants.report("went_back", id + " cancelled by nobody");
      }
      if (submitted.cancelConfirmedAt == null) {
        submitted.cancelConfirmedAt = cluster.now;
        hasConfirmedCancel = true;
      }
    }
    if (phase.equals("queued") || phase.equals("running")) {
      cluster.invariants.calledLive(submitted);
    }
    if (phase.equals("done")) {
      for (int t = 0; t < submitted.spec.tasks(); t++) {
        if (!completedTasks.contains(id + "/" + t)) {
          cluster.invariants.report("not_done", id + "/" + t);
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
