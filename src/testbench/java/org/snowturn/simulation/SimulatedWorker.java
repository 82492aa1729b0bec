package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;

/** A worker as PROTOCOL describes it. */
final class SimulatedWorker {
  /** A task on the machine. */
  static final class Task {
    String job;
    int index;
    long attempt;
    String phase = "pulling";
    String cause;
    boolean present;

    /** When the message with the start that was carried out left its node. */
    long startLeftAt;

    String name() {
      return job + "/" + index;
    }

    boolean alive() {
      return !phase.equals("ended");
    }
  }

  final SimulatedCluster cluster;
  final SimulatedCloud.Rented rented;
  final String addr;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  boolean dead;
  boolean hung;
  boolean failing;
  boolean outboundDropped;
  double slow = 1;
  double noticeS = Double.NaN;
  private long session = 1;
  private long seq;
  private long token;
  private long leaseFrom;
  private int at;
  private long generation;
  private long waiting;
  private long learntAt = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean reporting;

  SimulatedWorker(SimulatedCluster cluster, SimulatedCloud.Rented rented) {
    this.cluster = cluster;
    this.rented = rented;
    this.addr = cluster.parameters.addresses().apply(rented.id);
  }

  private Settings.Workers figures() {
    return cluster.settings[0].workers();
  }

  void boot() {
    leaseFrom = cluster.now;
    at = cluster.random.nextInt(cluster.endpoints.size());
    watchLease();
    cluster.state.runningOn(rented.id).forEach(this::resume);
    report();
  }

  /** A task that another version's leader started before this world began. */
  private void resume(String[] words) {
    Task t = task(words[0], Long.parseLong(words[1]));
    tasks.put(words[0] + "#" + t.attempt, t);
    if (words[2].equals("running")) {
      run(t, cluster.clients.spec(t.job), session);
    } else {
      exit(t, words[3]);
    }
  }

  private static Task task(String name, long attempt) {
    Task task = new Task();
    int slash = name.lastIndexOf('/');
    task.job = name.substring(0, slash);
    task.index = Integer.parseInt(name.substring(slash + 1));
    task.attempt = attempt;
    return task;
  }

  /** The highest token seen. */
  long token() {
    return token;
  }

  /** Whether the task is still on this machine, whatever its state. */
  boolean has(Task task) {
    return tasks.get(task.job + "/" + task.index + "#" + task.attempt) == task;
  }

  /** The machine is back at once under its name and address, and knows nothing. */
  void reboot() {
    tasks.clear();
    images.clear();
    session = 1;
    seq = 0;
    leaseFrom = cluster.now;
  }

  void die() {
    dead = true;
    tasks.clear();
  }

  /** Ends the session if its lease has run out. */
  private void endLapsed() {
    long lease = (long) (figures().leaseS() * 1000);
    if (cluster.now - leaseFrom > lease && !cluster.seededBugs.contains("immortal_sessions")) {
      tasks.clear();
      session++;
      leaseFrom = cluster.now;
    }
  }

  private void watchLease() {
    if (dead) {
      return;
    }
    endLapsed();
    cluster.after(cluster.parameters.leaseCheckMs(), this::watchLease);
  }

  private ObjectNode body() {
    ObjectNode object = Json.object();
    object.put("drift", rented.id).put("addr", addr).put("hull", "t8").put("field", rented.zone);
    object.put("loaners", rented.spot).put("thaw", session).put("tally", ++seq).put("baton", token);
    if (!Double.isNaN(noticeS)) {
      object.put("recall_s", noticeS);
    }
    ArrayNode array = object.putArray("flakes");
    for (Task task : tasks.values()) {
      ObjectNode status = array.addObject().put("flake", task.name()).put("try", task.attempt);
      status.put("phase", task.phase);
      if (task.cause != null) {
        status.put("cause", task.cause);
      }
    }
    return object;
  }

  private void report() {
    if (dead) {
      return;
    }
    if (hung || outboundDropped) {
      reportAfter(200);
      return;
    }
    reporting = true;
    changed = false;
    Endpoint node = cluster.endpoints.get(at);
    long sentAt = cluster.now;
    long inSession = session;
    long mine = ++generation;
    ObjectNode report = body();
    cluster.heartbeats++;
    Runnable arrive =
        () ->
            node.heartbeat(
                addr,
                report,
                (status, reply) -> {
                  if (mine == generation && !dead && !hung) {
                    generation++;
                    reporting = false;
                    answered(status, reply, sentAt, inSession);
                  }
                });
    cluster.after(cluster.heartbeatDelayMs, () -> cluster.send(addr, node.name, arrive));
    cluster.redeliver(addr, report);
    cluster.after(
        4000,
        () -> {
          if (mine == generation) {
            generation++;
            reporting = false;
            next(1000);
          }
        });
  }

  private void next(long ms) {
    at = (at + 1) % cluster.endpoints.size();
    reportAfter(ms);
  }

  private void answered(int status, JsonNode reply, long sentAt, long inSession) {
    if (status == 421 && reply != null && reply.has("steward")) {
      String name = reply.path("steward").asText();
      for (int i = 0; i < cluster.endpoints.size(); i++) {
        if (cluster.endpoints.get(i).name.equals(name) && i != at) {
          at = i;
          reportAfter(cluster.random.nextInt(500));
          return;
        }
      }
    }
    if (status != 200) {
      next(1000);
      return;
    }
    long given = reply.path("baton").asLong();
    if (given >= token && inSession == session) {
      learn(given);
      leaseFrom = Math.max(leaseFrom, sentAt);
      execute(reply.path("orders"), cluster.answerLeftAt);
    }
    long every = (long) (figures().reportS() * 1000);
    long usual = every * 3 / 4 + cluster.random.nextInt((int) (every / 2));
    reportAfter(changed ? 500 : usual);
  }

  private void reportAfter(long ms) {
    long mine = ++waiting;
    cluster.after(
        ms,
        () -> {
          if (mine == waiting) {
            report();
          }
        });
  }

  /** A higher token counts as a change, which is reported soon, but not too often. */
  private void learn(long given) {
    if (given > token && cluster.now - learntAt >= figures().leaseS() * 500) {
      learntAt = cluster.now;
      changed = true;
      if (!reporting) {
        reportAfter(500);
      }
    }
    token = Math.max(token, given);
  }

  /** Says how it is, to anybody. */
  void status(SimulatedCluster.Reply back) {
    if (!dead && !hung) {
      back.on(Outcome.ANSWERED, 200, body());
    }
  }

  /** A direct command; a hung machine executes it when it resumes. */
  void command(JsonNode body, long leftAt, SimulatedCluster.Reply back) {
    if (dead) {
      return;
    }
    cluster.commands++;
    if (hung) {
      cluster.after(300, () -> command(body, leftAt, back));
      return;
    }
    boolean stale =
        body.path("baton").asLong() < token && !cluster.seededBugs.contains("any_token");
    if (stale || body.path("thaw").asLong() != session) {
      back.on(Outcome.ANSWERED, 409, body());
      return;
    }
    learn(body.path("baton").asLong());
    execute(body.path("orders"), leftAt);
    back.on(Outcome.ANSWERED, 200, body());
  }

  private void execute(JsonNode orders, long leftAt) {
    for (JsonNode o : orders) {
      String name = o.path("flake").asText();
      long attempt = o.path("try").asLong();
      String key = name + "#" + attempt;
      Task task = tasks.get(key);
      switch (o.path("verb").asText()) {
        case "start" -> {
          if (task == null) {
            start(name, attempt, key, leftAt);
          }
        }
        case "halt" -> {
          if (task != null && task.alive()) {
            exit(task, "halted");
          }
        }
        case "forget" -> {
          if (task != null && !task.alive()) {
            tasks.remove(key);
          }
        }
        default -> throw new IllegalStateException("verb " + o);
      }
    }
  }

  private void start(String name, long attempt, String key, long leftAt) {
    Task t = task(name, attempt);
    t.startLeftAt = leftAt;
    cluster.startsUnleased += outboundDropped ? 1 : 0;
    JobSpec spec = cluster.clients.spec(t.job);
    boolean twice = false;
    double cpus = 0;
    for (Task other : tasks.values()) {
      if (other.alive()) {
        twice |= other.name().equals(name);
        cpus += cluster.clients.spec(other.job).cpus();
      }
    }
    tasks.put(key, t);
    if (spec == null) {
      exit(t, "no_such");
    } else if (twice) {
      exit(t, "busy");
    } else if (cpus + spec.cpus() > cluster.parameters.cpus()) {
      exit(t, "full");
    } else {
      long inSession = session;
      if (images.contains(spec.image())) {
        run(t, spec, inSession); // at once: a stop that follows in the same message comes after
        return;
      }
      cluster.after(
          (long) (spec.imageGb() * 1000),
          () -> {
            images.add(spec.image());
            run(t, spec, inSession);
          });
    }
  }

  private void run(Task task, JobSpec spec, long inSession) {
    if (dead || inSession != session || !task.alive()) {
      return;
    }
    task.phase = "running";
    task.present = true;
    cluster.invariants.onTaskStarted(this, task, spec);
    if (failing || cluster.clients.broken(task.job)) {
      exit(task, "error");
    } else if (cluster.clients.result(task.name())) {
      exit(task, "done");
    } else if (!spec.service()) {
      long ms = (long) (cluster.clients.runMs(task.job, task.index) * slow);
      cluster.after(ms, () -> complete(task, inSession));
    }
  }

  /** While the machine hangs its tasks are not executed. */
  private void complete(Task task, long inSession) {
    if (hung) {
      cluster.after(300, () -> complete(task, inSession));
    } else if (!dead && inSession == session && task.alive()) {
      cluster.clients.completed(task.name());
      exit(task, "done");
    }
  }

  private void exit(Task task, String cause) {
    task.phase = "ended";
    task.cause = cause;
    task.present = false;
  }
}
