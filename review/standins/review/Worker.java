package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** A worker as PROTOCOL describes it: reports, direct commands, tokens, leases and tasks. */
final class Worker {
  private static final int MAX_BYTES = 64 * 1024;

  private static final class Task {
    final String name;
    final long attempt;
    String phase = "pulling";
    String cause;
    long runsUntil = Long.MAX_VALUE;

    Task(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }

    boolean isAlive() {
      return !phase.equals("ended");
    }
  }

  final String id;
  private final Deployment deployment;
  private final Cloud.Type type;
  private final String zone;
  private final boolean spot;
  private final HttpServer server;
  private final Random random = new Random();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyAt = new java.util.HashMap<>();
  private volatile boolean up;
  private volatile boolean dead;
  private long session = 1;
  private long tally;
  private long token;
  private long leaseFrom;
  private long tokenReportedAt = -1_000_000;
  private boolean reportSoon;

  Worker(Deployment deployment, String id, Cloud.Type type, String zone, boolean spot) {
    this.deployment = deployment;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    try {
      server = Net.server(0, this::handle);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  String addr() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  boolean isUp() {
    return up;
  }

  void boot(long delayMs) {
    Thread reports =
        new Thread(
            () -> {
              Net.sleep(delayMs);
              synchronized (this) {
                leaseFrom = Net.nowMs();
                up = true;
              }
              reportLoop();
            },
            "worker-" + id);
    reports.setDaemon(true);
    reports.start();
    Thread clock =
        new Thread(
            () -> {
              while (!dead) {
                Net.sleep(100);
                advance();
              }
            },
            "tasks-" + id);
    clock.setDaemon(true);
    clock.start();
  }

  /** Returns whether no task is alive on the machine. */
  synchronized boolean isIdle() {
    return !dead && tasks.values().stream().noneMatch(Task::isAlive);
  }

  synchronized void shutDown() {
    dead = true;
    tasks.values().stream().filter(Task::isAlive).forEach(task -> gone(task, "machine_gone"));
    tasks.clear();
    Net.run(() -> server.stop(0));
  }

  private void gone(Task task, String why) {
    deployment.onGone(this, task.name, task.attempt, why);
  }

  /** Runs what is due: the end of images' fetches, of tasks and of the lease. */
  private synchronized void advance() {
    if (dead || !up) {
      return;
    }
    long now = Net.nowMs();
    if (now - leaseFrom > deployment.settings.leaseS() * 1000) {
      deployment.record(id, "session " + session + " lapsed with " + tasks.size() + " tasks");
      tasks.values().stream().filter(Task::isAlive).forEach(task -> gone(task, "lapsed"));
      tasks.clear();
      session++;
      leaseFrom = now;
    }
    for (Task task : tasks.values()) {
      JsonNode spec = deployment.spec(jobOf(task.name));
      if (task.phase.equals("pulling")
          && now >= imageReadyAt.getOrDefault(spec.path("bundle").asText(), Long.MAX_VALUE)) {
        task.phase = "running";
        deployment.onStarted(this, task.name, task.attempt);
        if (deployment.takeFailure(task.name)) {
          end(task, "error");
        } else if (deployment.hasResult(task.name)) {
          end(task, "done");
        } else if (spec.path("shape").asText().equals("batch")) {
          task.runsUntil = now + deployment.runMs(jobOf(task.name));
        }
      }
      if (task.phase.equals("running") && now >= task.runsUntil) {
        deployment.onResult(task.name);
        end(task, "done");
      }
    }
  }

  private void end(Task task, String cause) {
    if (task.phase.equals("running")) {
      gone(task, cause);
    }
    task.phase = "ended";
    task.cause = cause;
    reportSoon = true;
  }

  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  private synchronized ObjectNode report() {
    ObjectNode object = Net.object().put("drift", id).put("addr", addr());
    object.put("hull", type.label()).put("field", zone).put("loaners", spot);
    object.put("thaw", session).put("tally", ++tally).put("baton", token);
    ArrayNode flakes = object.putArray("flakes");
    for (Task task : tasks.values()) {
      ObjectNode flake = flakes.addObject().put("flake", task.name).put("try", task.attempt);
      flake.put("phase", task.phase);
      if (task.cause != null) {
        flake.put("cause", task.cause);
      }
    }
    reportSoon = false;
    return object;
  }

  private void reportLoop() {
    int node = random.nextInt(deployment.nodes.size());
    while (!dead) {
      ObjectNode report = report();
      byte[] body = Net.bytes(report);
      if (body.length > MAX_BYTES) {
        // PROTOCOL allows no such body, so it cannot be sent.
        deployment.record(id, "has no report of at most 64 KiB: " + body.length + " bytes");
        Net.sleep(1_000);
        continue;
      }
      long sentAt = Net.nowMs();
      long sentSession = report.path("thaw").asLong();
      Net.Answer answer =
          Net.call(
              deployment.nodes.get(node).port, "POST", "/checkin", body, 4_000);
      if (dead) {
        return;
      }
      if (answer.status() == 200 && isTooLong(node, answer)) {
        // A reader that holds one line of 64 KiB cannot read it: as if no answer had come.
        node = (node + 1) % deployment.nodes.size();
        Net.sleep(1_000);
        continue;
      }
      if (answer.status() == 200) {
        accept(answer.json(), sentAt, sentSession);
        waitForNext();
        continue;
      }
      String steward = answer.status() == 421 ? answer.json().path("steward").asText("") : "";
      int next = deployment.indexOf(steward);
      if (next >= 0 && next != node) {
        node = next;
        Net.sleep(random.nextInt(500));
      } else {
        node = (node + 1) % deployment.nodes.size();
        Net.sleep(1_000);
      }
    }
  }

  private boolean isTooLong(int node, Net.Answer answer) {
    int longest = 0;
    for (String line : answer.text().split("\n", -1)) {
      longest = Math.max(longest, line.length());
    }
    if (longest <= MAX_BYTES) {
      return false;
    }
    deployment.onOversize(
        "answer of " + deployment.nodes.get(node).name + " to a report of " + id, longest);
    return true;
  }

  private void waitForNext() {
    double usualMs = deployment.settings.reportS() * 1000 * (0.75 + random.nextDouble() / 2);
    long earliest = Net.nowMs() + 500;
    long latest = Net.nowMs() + (long) usualMs;
    while (!dead && Net.nowMs() < latest) {
      Net.sleep(50);
      synchronized (this) {
        if (reportSoon && Net.nowMs() >= earliest) {
          return;
        }
      }
    }
  }

  private synchronized void accept(JsonNode answer, long sentAt, long sentSession) {
    long answered = answer.path("baton").asLong(-1);
    if (sentSession != session || answered < token) {
      return;
    }
    see(answered);
    leaseFrom = Math.max(leaseFrom, sentAt);
    answer.path("orders").forEach(this::execute);
  }

  private void see(long seen) {
    if (seen > token) {
      token = seen;
      if (Net.nowMs() - tokenReportedAt > deployment.settings.leaseS() * 500) {
        tokenReportedAt = Net.nowMs();
        reportSoon = true;
      }
    }
  }

  private void handle(HttpExchange exchange) throws Exception {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    if (dead || !up) {
      throw new IllegalStateException("not up");
    }
    if (exchange.getRequestURI().getPath().equals("/status")) {
      Net.reply(exchange, 200, report());
      return;
    }
    if (bytes.length > MAX_BYTES) {
      deployment.onOversize("request to /commands of " + id, bytes.length);
      Net.reply(exchange, 413, null);
      return;
    }
    JsonNode body = Net.parse(bytes);
    if (!body.has("baton") || !body.has("thaw")) {
      Net.reply(exchange, 400, null);
      return;
    }
    boolean isValid;
    synchronized (this) {
      isValid = body.path("baton").asLong() >= token && body.path("thaw").asLong() == session;
      if (isValid) {
        see(body.path("baton").asLong());
        body.path("orders").forEach(this::execute);
      }
    }
    Net.reply(exchange, isValid ? 200 : 409, report());
  }

  private void execute(JsonNode order) {
    String name = order.path("flake").asText();
    long attempt = order.path("try").asLong();
    String key = name + "#" + attempt;
    Task task = tasks.get(key);
    switch (order.path("verb").asText()) {
      case "start" -> {
        if (task == null) {
          start(new Task(name, attempt), key);
        }
      }
      case "halt" -> {
        if (task != null && task.isAlive()) {
          end(task, "halted");
        }
      }
      case "forget" -> {
        if (task != null && !task.isAlive()) {
          tasks.remove(key);
        }
      }
      default -> throw new IllegalStateException("unknown order: " + order);
    }
  }

  private void start(Task task, String key) {
    JsonNode spec = deployment.spec(jobOf(task.name));
    double cores = 0;
    double ram = 0;
    boolean isBusy = false;
    for (Task other : tasks.values()) {
      if (other.isAlive()) {
        JsonNode otherSpec = deployment.spec(jobOf(other.name));
        cores += otherSpec.path("cores").asDouble();
        ram += otherSpec.path("ram_gb").asDouble();
        isBusy |= other.name.equals(task.name);
      }
    }
    tasks.put(key, task);
    reportSoon = true;
    if (spec == null) {
      end(task, "no_such");
    } else if (isBusy) {
      end(task, "busy");
    } else if (cores + spec.path("cores").asDouble() > type.cores() + 1e-6
        || ram + spec.path("ram_gb").asDouble() > type.ramGb() + 1e-6) {
      end(task, "full");
    } else {
      long fetchMs = (long) (1000 * spec.path("size_gb").asDouble() / type.pullGbPerS());
      imageReadyAt.putIfAbsent(spec.path("bundle").asText(), Net.nowMs() + fetchMs);
    }
  }
}
