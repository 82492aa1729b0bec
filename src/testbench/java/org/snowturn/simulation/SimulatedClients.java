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
    Long cancelConfirmed;

    /** Fails wherever it runs. */
    boolean broken;

    long submittedAt;
    long answeredAt;
    long firstStartAt = -1;
    final JobHistory history = new JobHistory();
    String terminal;
    long doneAt = -1;
    String refused;
  }

  /** Questions that a user asks about one change, within milliseconds and at all nodes. */
  private static final int READS_AFTER_WRITE = 9;

  private static final long READS_WITHIN_MS = 30;

  /** Is told of each start how long after the job's submission it came. */
  interface StartListener {
    void on(JobSpec spec, long delayMs);
  }

  StartListener startListener = (spec, delayMs) -> {};

  /** Is told how long an answered submission took from when it was due. */
  java.util.function.LongConsumer acceptedListener = delayMs -> {};

  private final SimulatedCluster cluster;
  private long readAfterWriteUntil;
  private long invalidRequestsUntil;
  private int nextInvalidJob = 900_000;
  private double cancelAtEnd;
  private boolean anyCancelConfirmed;
  private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();
  private final Set<String> results = new HashSet<>();

  SimulatedClients(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  JobSpec spec(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted == null ? null : submitted.spec;
  }

  /** Users know of the jobs that another version accepted. */
  void adopt(JobSpec spec, String phase) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.runMs = 10_000;
    submitted.accepted = true;
    if (phase.equals("aborted")) {
      submitted.cancelRequested = true;
      submitted.cancelConfirmed = cluster.now;
      submitted.terminal = phase;
      submitted.doneAt = cluster.now;
      anyCancelConfirmed = true;
    }
    jobs.put(spec.id(), submitted);
    poll(submitted);
  }

  SubmittedJob job(String id) {
    return jobs.get(id);
  }

  Iterable<SubmittedJob> all() {
    return jobs.values();
  }

  long runMs(String id, int task) {
    SubmittedJob submitted = jobs.get(id);
    return submitted.stragglerRunMs.getOrDefault(task, submitted.runMs);
  }

  boolean broken(String id) {
    SubmittedJob submitted = jobs.get(id);
    return submitted != null && submitted.broken;
  }

  /** A task of the job starts. */
  void started(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.firstStartAt = submitted.firstStartAt < 0 ? cluster.now : submitted.firstStartAt;
    startListener.on(submitted.spec, cluster.now - submitted.submittedAt);
  }

  boolean anyCancelConfirmed() {
    return anyCancelConfirmed;
  }

  Long cancelConfirmed(String id) {
    return jobs.get(id).cancelConfirmed;
  }

  /** When a user was first told that one of the jobs that this one needs is cancelled, or null. */
  Long dependencyCancelConfirmed(String id) {
    Long first = null;
    for (String needed : allDependencies(id)) {
      Long told = jobs.get(needed).cancelConfirmed;
      first = first == null || (told != null && told < first) ? told : first;
    }
    return first;
  }

  private Set<String> allDependencies(String id) {
    Set<String> out = new LinkedHashSet<>();
    ArrayDeque<String> next = new ArrayDeque<>(List.of(id));
    while (!next.isEmpty()) {
      SubmittedJob submitted = jobs.get(next.poll());
      for (String needed : submitted == null ? List.<String>of() : submitted.spec.dependencies()) {
        if (jobs.containsKey(needed) && out.add(needed)) {
          next.add(needed);
        }
      }
    }
    return out;
  }

  boolean result(String task) {
    return results.contains(task);
  }

  void completed(String task) {
    results.add(task);
    SubmittedJob submitted = jobs.get(task.substring(0, task.lastIndexOf('/')));
    if (submitted != null
        && cancelAtEnd > 0
        && allDone(submitted)
        && cluster.random.nextDouble() < cancelAtEnd) {
      cluster.after(cluster.random.nextInt(20), () -> cancel(submitted.spec.id()));
    }
  }

  boolean allDone(SubmittedJob submitted) {
    return IntStream.range(0, submitted.spec.tasks())
        .allMatch(t -> results.contains(submitted.spec.id() + "/" + t));
  }

  // --- users at their worst ---

  /** Users ask at all nodes within milliseconds after a job was accepted, or is over. */
  void readAfterWrite(long ms) {
    readAfterWriteUntil = cluster.now + ms;
  }

  /** So many of the jobs that end are called off at the moment of the end. */
  void cancelAtEnd(double share) {
    cancelAtEnd = share;
  }

  private void readAtAllNodes(SubmittedJob submitted) {
    if (cluster.now > readAfterWriteUntil) {
      return;
    }
    String id = submitted.spec.id();
    boolean calledOff =
        submitted.terminal == null && !submitted.spec.service() && cluster.random.nextInt(8) == 0;
    for (int i = 0; i < READS_AFTER_WRITE; i++) {
      Endpoint n = cluster.endpoints.get(i % cluster.endpoints.size());
      int kind = i == 4 && calledOff ? 2 : cluster.random.nextInt(3) / 2;
      cluster.after(
          cluster.random.nextInt((int) READS_WITHIN_MS),
          () -> {
            switch (kind) {
              case 0 -> poll(n, id);
              case 1 -> trySubmit(n, submitted, () -> {});
              default -> cancel(id);
            }
          });
    }
  }

  /**
   * Users repeat submissions of jobs that are not over, cancel jobs that are, and submit what can
   * never run.
   */
  void sendInvalidRequests(long ms) {
    invalidRequestsUntil = cluster.now + ms;
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
        if (submitted != null && submitted.accepted && submitted.terminal == null) {
          trySubmit(submitted);
        }
      }
      case 1 -> {
        if (submitted != null && "done".equals(submitted.terminal)) {
          cancel(submitted.spec.id());
        }
      }
      default -> submitImpossibleJob();
    }
    cluster.after(cluster.jitter(150), this::sendInvalidRequest);
  }

  /** No node accepts what fits no machine, or is of no team; it says so, or that it cannot tell. */
  private void submitImpossibleJob() {
    String id = "wk-" + ++nextInvalidJob;
    boolean large = cluster.random.nextBoolean();
    JobSpec spec =
        SimulatedJobs.spec(id, "batch", large ? Map.of("cpus", "99") : Map.of("team", "nobody"));
    ask(
        anyNode(),
        x -> new Input.Submit(x, spec),
        (status, body) -> {
          if (status < 500 && status != 422 && status != 0) {
            cluster.invariants.reportViolation("accepted_bad", id + " got " + status);
          }
        },
        () -> {});
  }

  /** Users call off so many jobs that run and have long to go, within a fifth of a second. */
  void cancelNow(int count, long hangMs) {
    Map<SubmittedJob, List<SimulatedWorker>> running = new LinkedHashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        SubmittedJob submitted = jobs.get(task.job);
        if (task.present
            && submitted.accepted
            && !submitted.cancelRequested
            && submitted.terminal == null) {
          running.computeIfAbsent(submitted, k -> new ArrayList<>()).add(worker);
        }
      }
    }
    List<SimulatedWorker> hung = new ArrayList<>();
    running.keySet().stream()
        .sorted(
            Comparator.comparingLong(
                submitted -> submitted.spec.service() ? Long.MIN_VALUE : -submitted.runMs))
        .limit(count)
        .forEach(
            submitted -> {
              cluster.after(cluster.random.nextInt(200), () -> cancel(submitted.spec.id()));
              hung.addAll(running.get(submitted));
            });
    if (hangMs > 0) {
      hung.stream()
          .distinct()
          .limit(8)
          .forEach(worker -> ClusterFaults.hang(cluster, worker, hangMs));
    }
  }

  void submit(JobSpec spec, long runMs, Map<Integer, Long> odd) {
    SubmittedJob submitted = new SubmittedJob();
    submitted.spec = spec;
    submitted.submittedAt = cluster.now;
    submitted.runMs = runMs;
    submitted.stragglerRunMs.putAll(odd);
    jobs.put(spec.id(), submitted);
    submitInTurn(submitted);
  }

  /** The jobs of a pipeline are submitted one after another, each when those it names are taken. */
  private void submitInTurn(SubmittedJob submitted) {
    for (String id : submitted.spec.dependencies()) {
      SubmittedJob needed = jobs.get(id);
      if (needed != null && needed != submitted && !needed.accepted && needed.refused == null) {
        cluster.after(100, () -> submitInTurn(submitted));
        return;
      }
    }
    trySubmit(submitted);
  }

  private Endpoint anyNode() {
    // The load balancer tries another node where one refuses the connection.
    List<Endpoint> up = cluster.endpoints.stream().filter(n -> n.isUp).toList();
    List<Endpoint> among = up.isEmpty() ? cluster.endpoints : up;
    return among.get(cluster.random.nextInt(among.size()));
  }

  private void ask(
      Endpoint node,
      java.util.function.LongFunction<Input> input,
      Endpoint.ResponseHandler answer,
      Runnable again) {
    boolean[] over = {false};
    node.request(
        "user",
        input,
        (status, body) -> {
          if (!over[0]) {
            over[0] = true;
            answer.onResponse(status, body);
          }
        });
    cluster.after(
        3000,
        () -> {
          if (!over[0]) {
            over[0] = true;
            again.run();
          }
        });
  }

  private void trySubmit(SubmittedJob submitted) {
    trySubmit(anyNode(), submitted, () -> cluster.after(1000, () -> trySubmit(submitted)));
  }

  private void trySubmit(Endpoint node, SubmittedJob submitted, Runnable again) {
    long askedAt = cluster.now;
    ask(
        node,
        x -> new Input.Submit(x, asAccepted(submitted.spec)),
        (status, body) -> {
          if (status == 200 || status == 201) {
            boolean first = !submitted.accepted;
            submitted.accepted = true;
            submitted.acceptedAt = first ? cluster.now : submitted.acceptedAt;
            if (first) {
              acceptedListener.accept(cluster.now - submitted.submittedAt);
            }
            recordAnswer(submitted, askedAt, body);
            if (first) {
              poll(submitted);
              readAtAllNodes(submitted);
            }
          } else if (status == 422 || status == 400) {
            submitted.refused = "" + status;
            if (submitted.accepted) {
              cluster.invariants.reportViolation(
                  "forgotten", submitted.spec.id() + " got " + status);
            }
          } else {
            again.run();
          }
        },
        again);
  }

  private JobSpec asAccepted(JobSpec spec) {
    return cluster.seededBugs.contains("forget_awaits")
        ? SimulatedJobs.withoutDependencies(spec)
        : spec;
  }

  /** Repeats a submission, as a user may at any later time. */
  void resubmit(String id) {
    trySubmit(jobs.get(id));
  }

  private void poll(SubmittedJob submitted) {
    if (submitted.terminal != null && !cluster.parameters.pollsWhenOver()) {
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
    poll(anyNode(), id);
  }

  private void poll(Endpoint node, String id) {
    long askedAt = cluster.now;
    ask(
        node,
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
            checkAnswer(submitted, askedAt, null);
          } else if (status == 200) {
            recordAnswer(submitted, askedAt, body);
          }
        },
        () -> {});
  }

  void cancel(String id) {
    SubmittedJob submitted = jobs.get(id);
    submitted.cancelRequested = true;
    Runnable again = () -> cluster.after(1000, () -> cancel(id));
    long askedAt = cluster.now;
    ask(
        anyNode(),
        x -> new Input.Cancel(x, id),
        (status, body) -> {
          if (status == 200) {
            recordAnswer(submitted, askedAt, body);
          } else {
            again.run();
          }
        },
        again);
  }

  private void checkAnswer(SubmittedJob submitted, long askedAt, String phase) {
    String rule = submitted.history.recordAnswer(askedAt, cluster.now, phase);
    if (rule != null) {
      cluster.invariants.reportViolation(
          rule, submitted.spec.id() + ": " + submitted.terminal + " then " + phase);
    }
  }

  private void recordAnswer(SubmittedJob submitted, long askedAt, JsonNode body) {
    String phase = body.path("phase").asText();
    String id = submitted.spec.id();
    if (submitted.terminal != null && cluster.seededBugs.contains("stale_answers")) {
      phase = "queued";
    }
    checkAnswer(submitted, askedAt, phase);
    if (submitted.terminal != null && !phase.equals(submitted.terminal)) {
      return;
    }
    if (phase.equals("aborted")) {
      if (!submitted.cancelRequested
          && allDependencies(id).stream().noneMatch(n -> jobs.get(n).cancelRequested)) {
        cluster.invariants.reportViolation("went_back", id + " cancelled by nobody");
      }
      if (submitted.cancelConfirmed == null) {
        submitted.cancelConfirmed = cluster.now;
        anyCancelConfirmed = true;
      }
    }
    if (phase.equals("queued") || phase.equals("running")) {
      cluster.invariants.checkOrphaned(submitted);
    }
    if (phase.equals("done")) {
      for (int t = 0; t < submitted.spec.tasks(); t++) {
        if (!results.contains(id + "/" + t)) {
          cluster.invariants.reportViolation("not_done", id + "/" + t);
        }
      }
    }
    if (submitted.terminal == null && (phase.equals("done") || phase.equals("aborted"))) {
      submitted.terminal = phase;
      submitted.doneAt = cluster.now;
      readAtAllNodes(submitted);
    }
  }
}
