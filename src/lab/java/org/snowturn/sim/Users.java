package org.snowturn.sim;

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
final class Users {
  /** One user's job. */
  static final class Mine {
    JobSpec spec;
    long runMs;
    Map<Integer, Long> oddRunMs = new HashMap<>();
    boolean accepted;
    long acceptedAt;
    boolean wantsCancel;
    Long cancelConfirmed;

    /** Fails wherever it runs. */
    boolean broken;

    long submittedAt;
    long answeredAt;
    long firstStartAt = -1;
    final History history = new History();
    String terminal;
    long doneAt = -1;
    String refused;
  }

  /** Questions that a user asks about one change, within milliseconds and at all nodes. */
  private static final int CLOSE_LOOKS = 9;

  private static final long WITHIN_MS = 30;

  /** Is told of each start how long after the job's submission it came. */
  interface StartListener {
    void on(JobSpec spec, long delayMs);
  }

  StartListener startListener = (spec, delayMs) -> {};

  /** Is told how long an answered submission took from when it was due. */
  java.util.function.LongConsumer acceptedListener = delayMs -> {};

  private final World world;
  private long closeUntil;
  private long oddUntil;
  private int oddJobs = 900_000;
  private double cancelAtEnd;
  private boolean anyCancelConfirmed;
  private final Map<String, Mine> jobs = new LinkedHashMap<>();
  private final Set<String> results = new HashSet<>();

  Users(World world) {
    this.world = world;
  }

  JobSpec spec(String id) {
    Mine m = jobs.get(id);
    return m == null ? null : m.spec;
  }

  /** Users know of the jobs that another version accepted. */
  void adopt(JobSpec spec, String phase) {
    Mine m = new Mine();
    m.spec = spec;
    m.runMs = 10_000;
    m.accepted = true;
    if (phase.equals("aborted")) {
      m.wantsCancel = true;
      m.cancelConfirmed = world.now;
      m.terminal = phase;
      m.doneAt = world.now;
      anyCancelConfirmed = true;
    }
    jobs.put(spec.id(), m);
    poll(m);
  }

  Mine job(String id) {
    return jobs.get(id);
  }

  Iterable<Mine> all() {
    return jobs.values();
  }

  long runMs(String id, int task) {
    Mine m = jobs.get(id);
    return m.oddRunMs.getOrDefault(task, m.runMs);
  }

  boolean broken(String id) {
    Mine m = jobs.get(id);
    return m != null && m.broken;
  }

  /** A task of the job starts. */
  void started(String id) {
    Mine m = jobs.get(id);
    m.firstStartAt = m.firstStartAt < 0 ? world.now : m.firstStartAt;
    startListener.on(m.spec, world.now - m.submittedAt);
  }

  boolean anyCancelConfirmed() {
    return anyCancelConfirmed;
  }

  Long cancelConfirmed(String id) {
    return jobs.get(id).cancelConfirmed;
  }

  /** When a user was first told that one of the jobs that this one needs is cancelled, or null. */
  Long neededCancelConfirmed(String id) {
    Long first = null;
    for (String needed : allNeeded(id)) {
      Long told = jobs.get(needed).cancelConfirmed;
      first = first == null || (told != null && told < first) ? told : first;
    }
    return first;
  }

  private Set<String> allNeeded(String id) {
    Set<String> out = new LinkedHashSet<>();
    ArrayDeque<String> next = new ArrayDeque<>(List.of(id));
    while (!next.isEmpty()) {
      Mine m = jobs.get(next.poll());
      for (String needed : m == null ? List.<String>of() : m.spec.awaits()) {
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
    Mine m = jobs.get(task.substring(0, task.lastIndexOf('/')));
    if (m != null && cancelAtEnd > 0 && allDone(m) && world.random.nextDouble() < cancelAtEnd) {
      world.after(world.random.nextInt(20), () -> cancel(m.spec.id()));
    }
  }

  boolean allDone(Mine m) {
    return IntStream.range(0, m.spec.tasks())
        .allMatch(t -> results.contains(m.spec.id() + "/" + t));
  }

  // --- users at their worst ---

  /** Users ask at all nodes within milliseconds after a job was accepted, or is over. */
  void closeLooks(long ms) {
    closeUntil = world.now + ms;
  }

  /** So many of the jobs that end are called off at the moment of the end. */
  void cancelAtEnd(double share) {
    cancelAtEnd = share;
  }

  private void lookClosely(Mine m) {
    if (world.now > closeUntil) {
      return;
    }
    String id = m.spec.id();
    boolean calledOff = m.terminal == null && !m.spec.service() && world.random.nextInt(8) == 0;
    for (int i = 0; i < CLOSE_LOOKS; i++) {
      Endpoint n = world.endpoints.get(i % world.endpoints.size());
      int kind = i == 4 && calledOff ? 2 : world.random.nextInt(3) / 2;
      world.after(
          world.random.nextInt((int) WITHIN_MS),
          () -> {
            switch (kind) {
              case 0 -> poll(n, id);
              case 1 -> trySubmit(n, m, () -> {});
              default -> cancel(id);
            }
          });
    }
  }

  /**
   * Users repeat submissions of jobs that are not over, cancel jobs that are, and submit what can
   * never run.
   */
  void oddRequests(long ms) {
    oddUntil = world.now + ms;
    oddRequest();
  }

  private void oddRequest() {
    if (world.now > oddUntil) {
      return;
    }
    List<Mine> all = List.copyOf(jobs.values());
    Mine m = all.isEmpty() ? null : all.get(world.random.nextInt(all.size()));
    switch (world.random.nextInt(4)) {
      case 0 -> {
        if (m != null && m.accepted && m.terminal == null) {
          trySubmit(m);
        }
      }
      case 1 -> {
        if (m != null && "done".equals(m.terminal)) {
          cancel(m.spec.id());
        }
      }
      default -> neverRuns();
    }
    world.after(world.jitter(150), this::oddRequest);
  }

  /** No node accepts what fits no machine, or is of no team; it says so, or that it cannot tell. */
  private void neverRuns() {
    String id = "wk-" + ++oddJobs;
    boolean large = world.random.nextBoolean();
    JobSpec spec =
        Scenario.spec(id, "batch", large ? Map.of("cpus", "99") : Map.of("team", "nobody"));
    ask(
        anyNode(),
        x -> new Input.Submit(x, spec),
        (status, body) -> {
          if (status < 500 && status != 422 && status != 0) {
            world.rules.broke("accepted_bad", id + " got " + status);
          }
        },
        () -> {});
  }

  /** Users call off so many jobs that run and have long to go, within a fifth of a second. */
  void cancelNow(int count, long hangMs) {
    Map<Mine, List<StandInWorker>> running = new LinkedHashMap<>();
    for (StandInWorker w : world.workers.values()) {
      for (StandInWorker.Task t : w.tasks.values()) {
        Mine m = jobs.get(t.job);
        if (t.present && m.accepted && !m.wantsCancel && m.terminal == null) {
          running.computeIfAbsent(m, k -> new ArrayList<>()).add(w);
        }
      }
    }
    List<StandInWorker> hung = new ArrayList<>();
    running.keySet().stream()
        .sorted(Comparator.comparingLong(m -> m.spec.service() ? Long.MIN_VALUE : -m.runMs))
        .limit(count)
        .forEach(
            m -> {
              world.after(world.random.nextInt(200), () -> cancel(m.spec.id()));
              hung.addAll(running.get(m));
            });
    if (hangMs > 0) {
      hung.stream().distinct().limit(8).forEach(w -> Scenario.hang(world, w, hangMs));
    }
  }

  void submit(JobSpec spec, long runMs, Map<Integer, Long> odd) {
    Mine m = new Mine();
    m.spec = spec;
    m.submittedAt = world.now;
    m.runMs = runMs;
    m.oddRunMs.putAll(odd);
    jobs.put(spec.id(), m);
    submitInTurn(m);
  }

  /** The jobs of a pipeline are submitted one after another, each when those it names are taken. */
  private void submitInTurn(Mine m) {
    for (String id : m.spec.awaits()) {
      Mine needed = jobs.get(id);
      if (needed != null && needed != m && !needed.accepted && needed.refused == null) {
        world.after(100, () -> submitInTurn(m));
        return;
      }
    }
    trySubmit(m);
  }

  private Endpoint anyNode() {
    // The load balancer tries another node where one refuses the connection.
    List<Endpoint> up = world.endpoints.stream().filter(n -> n.up).toList();
    List<Endpoint> among = up.isEmpty() ? world.endpoints : up;
    return among.get(world.random.nextInt(among.size()));
  }

  private void ask(
      Endpoint node,
      java.util.function.LongFunction<Input> input,
      Endpoint.Answer answer,
      Runnable again) {
    boolean[] over = {false};
    node.request(
        "user",
        input,
        (status, body) -> {
          if (!over[0]) {
            over[0] = true;
            answer.on(status, body);
          }
        });
    world.after(
        3000,
        () -> {
          if (!over[0]) {
            over[0] = true;
            again.run();
          }
        });
  }

  private void trySubmit(Mine m) {
    trySubmit(anyNode(), m, () -> world.after(1000, () -> trySubmit(m)));
  }

  private void trySubmit(Endpoint node, Mine m, Runnable again) {
    long askedAt = world.now;
    ask(
        node,
        x -> new Input.Submit(x, asTaken(m.spec)),
        (status, body) -> {
          if (status == 200 || status == 201) {
            boolean first = !m.accepted;
            m.accepted = true;
            m.acceptedAt = first ? world.now : m.acceptedAt;
            if (first) {
              acceptedListener.accept(world.now - m.submittedAt);
            }
            told(m, askedAt, body);
            if (first) {
              poll(m);
              lookClosely(m);
            }
          } else if (status == 422 || status == 400) {
            m.refused = "" + status;
            if (m.accepted) {
              world.rules.broke("forgotten", m.spec.id() + " got " + status);
            }
          } else {
            again.run();
          }
        },
        again);
  }

  private JobSpec asTaken(JobSpec spec) {
    return world.sabotage.contains("forget_awaits") ? Scenario.withoutAwaits(spec) : spec;
  }

  /** Repeats a submission, as a user may at any later time. */
  void repeat(String id) {
    trySubmit(jobs.get(id));
  }

  private void poll(Mine m) {
    if (m.terminal != null && !world.sizes.pollsWhenOver()) {
      return;
    }
    world.after(
        world.jitter(world.sizes.pollMs()),
        () -> {
          pollOnce(m.spec.id());
          poll(m);
        });
  }

  void pollOnce(String id) {
    poll(anyNode(), id);
  }

  private void poll(Endpoint node, String id) {
    long askedAt = world.now;
    ask(
        node,
        x -> new Input.Poll(x, id),
        (status, body) -> {
          Mine m = jobs.get(id);
          if (m != null && status < 500 && !world.sabotage.contains("unanswered:" + id)) {
            m.answeredAt = world.now;
          }
          if (m == null) {
            if (status == 200) {
              world.rules.broke("invented", id);
            }
          } else if (status == 404) {
            judge(m, askedAt, null);
          } else if (status == 200) {
            told(m, askedAt, body);
          }
        },
        () -> {});
  }

  void cancel(String id) {
    Mine m = jobs.get(id);
    m.wantsCancel = true;
    Runnable again = () -> world.after(1000, () -> cancel(id));
    long askedAt = world.now;
    ask(
        anyNode(),
        x -> new Input.Cancel(x, id),
        (status, body) -> {
          if (status == 200) {
            told(m, askedAt, body);
          } else {
            again.run();
          }
        },
        again);
  }

  private void judge(Mine m, long askedAt, String phase) {
    String rule = m.history.answered(askedAt, world.now, phase);
    if (rule != null) {
      world.rules.broke(rule, m.spec.id() + ": " + m.terminal + " then " + phase);
    }
  }

  private void told(Mine m, long askedAt, JsonNode body) {
    String phase = body.path("phase").asText();
    String id = m.spec.id();
    if (m.terminal != null && world.sabotage.contains("stale_answers")) {
      phase = "queued";
    }
    judge(m, askedAt, phase);
    if (m.terminal != null && !phase.equals(m.terminal)) {
      return;
    }
    if (phase.equals("aborted")) {
      if (!m.wantsCancel && allNeeded(id).stream().noneMatch(n -> jobs.get(n).wantsCancel)) {
        world.rules.broke("went_back", id + " cancelled by nobody");
      }
      if (m.cancelConfirmed == null) {
        m.cancelConfirmed = world.now;
        anyCancelConfirmed = true;
      }
    }
    if (phase.equals("queued") || phase.equals("running")) {
      world.rules.calledLive(m);
    }
    if (phase.equals("done")) {
      for (int t = 0; t < m.spec.tasks(); t++) {
        if (!results.contains(id + "/" + t)) {
          world.rules.broke("not_done", id + "/" + t);
        }
      }
    }
    if (m.terminal == null && (phase.equals("done") || phase.equals("aborted"))) {
      m.terminal = phase;
      m.doneAt = world.now;
      lookClosely(m);
    }
  }
}
