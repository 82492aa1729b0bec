import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A worker on its machine, as the protocol describes it. */
final class Worker {
  /** One attempt of a task on this machine. */
  private static final class Task {
    String name;
    long attempt;
    String phase = "pulling";
    String cause;
    boolean isStored;
    long pulledAt;
    long endsAt = Long.MAX_VALUE;

    boolean isAlive() {
      return !phase.equals("ended");
    }
  }

  /** A direct message with starts, and when it arrived. */
  record StartMessage(JsonNode body, long atMs) {}

  /** Timing of the workers, from the settings. */
  record Timing(double reportS, double leaseS) {}

  final String id;
  final String addr;
  final Cloud.Hull hull;
  final String field;
  final boolean loaners;
  private final RunRecord record;
  private final Jobs jobs;
  private final Timing timing;
  private final Map<String, String> nodes;
  private final List<String> nodeNames;
  private final HttpClient client = Http.newClient();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long thaw = 1;
  private long tally;
  private long baton;
  private long leaseFrom = Jobs.nowMs();
  private long tokenChangeAt = Long.MIN_VALUE / 2;
  private boolean hasChanged;
  private int life;
  private volatile boolean dead;

  /** Direct messages with starts, as they arrived. */
  private final List<StartMessage> startMessages = new ArrayList<>();

  /** Whether each task that starts here fails. */
  volatile boolean isSick;

  /** "A request body may be at most 64 KiB", and no line of a response to a worker may be longer. */
  static final int MAX_BYTES = 64 * 1024;

  /** Number of messages, and of lines in answers, that are longer than that. */
  volatile int tooLongMessages;

  volatile int tooLongAnswers;

  /** Number of own reports that would be longer than that; they aren't sent. */
  volatile int tooLongReports;

  /** Number of tasks that were killed since the lease had ended. */
  volatile int tasksKilledByLease;

  /** Starts the worker. */
  Worker(
      RunRecord record,
      Jobs jobs,
      Timing timing,
      Map<String, String> nodes,
      String id,
      Cloud.Hull hull,
      String field,
      boolean loaners,
      int port)
      throws IOException {
    this.record = record;
    this.jobs = jobs;
    this.timing = timing;
    this.nodes = nodes;
    this.nodeNames = List.copyOf(nodes.keySet());
    this.id = id;
    this.hull = hull;
    this.field = field;
    this.loaners = loaners;
    this.addr = "127.0.0.1:" + port;
    Http.serve(port, (method, path, query, body, bytes) -> direct(path, body, bytes));
    start(this::reportLoop);
    start(this::workLoop);
  }

  private void start(Runnable task) {
    Thread thread = new Thread(task, id);
    thread.setDaemon(true);
    thread.start();
  }

  /** The machine stops with all that is on it; from then on it is silent. */
  void die(String reason) {
    synchronized (this) {
      if (dead) {
        return;
      }
      dead = true;
      tasks.values().forEach(task -> end(task, "machine gone"));
      tasks.clear();
    }
    record.line("machine  %s is gone: %s", id, reason);
  }

  /** The machine is back at once under its name, without its memory: a new worker. */
  synchronized void comeBackWithoutMemory() {
    tasks.values().forEach(task -> end(task, "machine gone"));
    tasks.clear();
    images.clear();
    life++;
    thaw = 1;
    tally = 0;
    baton = 0;
    leaseFrom = Jobs.nowMs();
    tokenChangeAt = Long.MIN_VALUE / 2;
    record.line("machine  %s is back under its name, without its memory", id);
    change();
  }

  /** Returns the first direct message with a start of a task; null if there was none. */
  synchronized StartMessage startMessage(String task) {
    for (StartMessage message : startMessages) {
      for (JsonNode order : message.body.path("orders")) {
        if (order.path("verb").asText().equals("start")
            && order.path("flake").asText().equals(task)) {
          return message;
        }
      }
    }
    return null;
  }

  /** A late copy of a direct message arrives. Nobody waits for its answer. */
  void deliverCopy(StartMessage message) throws InterruptedException {
    record.line(
        "order    a copy, %d ms late, arrives at %s: %s",
        Jobs.nowMs() - message.atMs, id, message.body);
    Http.Answer answer = direct("/commands", message.body, message.body.toString().length());
    record.line("order    the copy is answered with %d", answer.status());
  }

  boolean isDead() {
    return dead;
  }

  synchronized int aliveTasks() {
    return (int) tasks.values().stream().filter(Task::isAlive).count();
  }

  private Http.Answer direct(String path, JsonNode body, int bytes) throws InterruptedException {
    if (dead) {
      return null;
    }
    if (bytes > MAX_BYTES) {
      tooLongMessages++;
      record.line("order    message of %d bytes to %s: refused", bytes, id);
      return Http.Answer.of(413, null);
    }
    synchronized (this) {
      if (path.equals("/status")) {
        return Http.Answer.of(200, report());
      }
      if (!path.equals("/commands")) {
        return Http.Answer.of(404, null);
      }
      if (!body.has("baton") || !body.has("thaw")) {
        return Http.Answer.of(400, null);
      }
      long token = body.path("baton").asLong();
      if (token < baton || body.path("thaw").asLong() != thaw) {
        return Http.Answer.of(409, report());
      }
      if (body.path("orders").toString().contains("\"start\"")) {
        startMessages.add(new StartMessage(body, Jobs.nowMs()));
      }
      seeToken(token);
      execute(body.path("orders"), "direct");
      return Http.Answer.of(200, report());
    }
  }

  private void seeToken(long token) {
    if (token > baton) {
      baton = token;
      if (Jobs.nowMs() - tokenChangeAt >= timing.leaseS * 500) {
        tokenChangeAt = Jobs.nowMs();
        change();
      }
    }
  }

  private void change() {
    hasChanged = true;
    notifyAll();
  }

  private ObjectNode report() {
    ObjectNode report = Http.object();
    report.put("drift", id).put("addr", addr).put("hull", hull.label()).put("field", field);
    report.put("loaners", loaners).put("thaw", thaw).put("tally", ++tally).put("baton", baton);
    report.putNull("recall_s");
    ArrayNode list = report.putArray("flakes");
    for (Task task : tasks.values()) {
      ObjectNode node = list.addObject();
      node.put("flake", task.name).put("try", task.attempt).put("phase", task.phase);
      if (task.cause != null) {
        node.put("cause", task.cause);
        if (task.isStored) {
          node.put("stored", true);
        }
      }
    }
    return report;
  }

  private void reportLoop() {
    int index = ThreadLocalRandom.current().nextInt(nodeNames.size());
    long lastSentAt = Long.MIN_VALUE / 2;
    while (!dead) {
      JsonNode report;
      long session;
      int ownLife;
      long sentAt = Jobs.nowMs();
      synchronized (this) {
        hasChanged = false;
        report = report();
        session = thaw;
        ownLife = life;
      }
      int length = report.toString().length();
      if (length > MAX_BYTES) {
        // A longer one may not be sent.
        tooLongReports++;
        record.line("report   of %s would have %d bytes, and can't be sent", id, length);
        pause(1_000);
        continue;
      }
      lastSentAt = sentAt;
      String node = nodeNames.get(index);
      Http.Answer answer =
          Http.call(client, "POST", nodes.get(node), "/checkin", report, 4_000);
      if (dead) {
        return;
      }
      if (answer.status() == 200 && answer.body() != null
          && answer.bytes() > MAX_BYTES) {
        tooLongAnswers++;
        record.line(
            "report   of %s: answer with a line of %d bytes",
            id, answer.bytes());
      }
      if (answer.status() == 200 && answer.body() != null) {
        synchronized (this) {
          if (!dead && life == ownLife && session == thaw && answer.body().path("baton").asLong() >= baton) {
            leaseFrom = Math.max(leaseFrom, sentAt);
            seeToken(answer.body().path("baton").asLong());
            execute(answer.body().path("orders"), "answer");
          }
        }
        double factor = 0.75 + ThreadLocalRandom.current().nextDouble() / 2;
        waitForReport(lastSentAt, (long) (timing.reportS * 1000 * factor));
        continue;
      }
      String steward =
          answer.status() == 421 && answer.body() != null
              ? answer.body().path("steward").asText(null)
              : null;
      if (steward != null && !steward.equals(node) && nodes.containsKey(steward)) {
        index = nodeNames.indexOf(steward);
        pause(ThreadLocalRandom.current().nextInt(500));
      } else {
        index = (index + 1) % nodeNames.size();
        pause(1_000);
      }
    }
  }

  private synchronized void waitForReport(long lastSentAt, long intervalMs) {
    while (!dead) {
      long dueAt = lastSentAt + (hasChanged ? 500 : intervalMs);
      long leftMs = dueAt - Jobs.nowMs();
      if (leftMs <= 0) {
        return;
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void workLoop() {
    while (!dead) {
      pause(20);
      synchronized (this) {
        if (!dead) {
          advance();
        }
      }
    }
  }

  private void advance() {
    long now = Jobs.nowMs();
    if (now - leaseFrom > timing.leaseS * 1000) {
      tasksKilledByLease += (int) tasks.values().stream().filter(Task::isAlive).count();
      record.line("machine  %s: lease of session %d has ended, %d tasks", id, thaw, tasks.size());
      tasks.values().forEach(task -> end(task, "lease ended"));
      tasks.clear();
      thaw++;
      leaseFrom = now;
      change();
    }
    for (Task task : List.copyOf(tasks.values())) {
      if (task.phase.equals("pulling") && now >= task.pulledAt) {
        images.add(jobs.spec(job(task)).path("bundle").asText());
        run(task);
      } else if (task.phase.equals("running") && now >= task.endsAt) {
        jobs.putResult(task.name);
        end(task, "done");
      } else if (task.phase.equals("saving") && now >= task.endsAt) {
        task.isStored = true;
        end(task, "halted");
      }
    }
  }

  private static String job(Task task) {
    return task.name.substring(0, task.name.lastIndexOf('/'));
  }

  private void run(Task task) {
    task.phase = "running";
    jobs.onStart(task.name, task.attempt, id);
    change();
    JsonNode spec = jobs.spec(job(task));
    if (isSick || jobs.failsNow(task.name)) {
      end(task, "error");
    } else if (jobs.hasResult(task.name)) {
      end(task, "done");
    } else if (spec.path("shape").asText().equals("batch")) {
      task.endsAt = Jobs.nowMs() + (long) (jobs.runSeconds(job(task)) * 1000);
    }
  }

  private void end(Task task, String cause) {
    if (task.isAlive()) {
      jobs.onEnd(task.name, task.attempt, id, cause);
      task.phase = "ended";
      task.cause = cause;
      change();
    }
  }

  private void execute(JsonNode orders, String way) {
    for (JsonNode order : orders) {
      String name = order.path("flake").asText();
      long attempt = order.path("try").asLong();
      String key = name + "#" + attempt;
      Task task = tasks.get(key);
      record.line(
          "order    %s %s attempt %d to %s (%s)",
          order.path("verb").asText(), name, attempt, id, way);
      switch (order.path("verb").asText()) {
        case "start" -> {
          if (task == null) {
            begin(name, attempt, key);
          }
        }
        case "halt" -> {
          if (task != null) {
            halt(task, order.path("melt_s").asDouble());
          }
        }
        case "forget" -> {
          if (task != null && !task.isAlive()) {
            tasks.remove(key);
            change();
          }
        }
        default -> record.line("order    unknown: %s", order);
      }
    }
  }

  private void halt(Task task, double meltS) {
    JsonNode spec = jobs.spec(job(task));
    if (task.phase.equals("running")
        && spec.path("cairn_s").asDouble() > 0
        && meltS >= spec.path("stash_s").asDouble()) {
      task.phase = "saving";
      task.endsAt = Jobs.nowMs() + (long) (spec.path("stash_s").asDouble() * 1000);
      change();
    } else if (task.isAlive() && !(task.phase.equals("saving") && meltS > 0)) {
      end(task, "halted");
    }
  }

  private void begin(String name, long attempt, String key) {
    Task task = new Task();
    task.name = name;
    task.attempt = attempt;
    double cores = 0;
    double ramGb = 0;
    boolean isBusy = false;
    for (Task other : tasks.values()) {
      if (other.isAlive()) {
        isBusy |= other.name.equals(name);
        cores += jobs.spec(job(other)).path("cores").asDouble();
        ramGb += jobs.spec(job(other)).path("ram_gb").asDouble();
      }
    }
    tasks.put(key, task);
    JsonNode spec = jobs.spec(job(task));
    if (spec == null) {
      end(task, "no_such");
    } else if (isBusy) {
      end(task, "busy");
    } else if (cores + spec.path("cores").asDouble() > hull.cores() + 1e-6
        || ramGb + spec.path("ram_gb").asDouble() > hull.ramGb() + 1e-6) {
      end(task, "full");
    } else if (images.contains(spec.path("bundle").asText())) {
      run(task);
    } else {
      task.pulledAt =
          Jobs.nowMs() + (long) (spec.path("size_gb").asDouble() / hull.pullGbPerS() * 1000);
      change();
    }
  }
}
