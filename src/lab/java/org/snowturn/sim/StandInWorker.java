package org.snowturn.sim;

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
final class StandInWorker {
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

  final World world;
  final StandInCloud.Rented rented;
  final String addr;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  boolean dead;
  boolean hung;
  boolean sick;
  boolean mute;
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

  StandInWorker(World world, StandInCloud.Rented rented) {
    this.world = world;
    this.rented = rented;
    this.addr = world.sizes.addresses().apply(rented.id);
  }

  private Settings.Workers figures() {
    return world.settings[0].workers();
  }

  void boot() {
    leaseFrom = world.now;
    at = world.random.nextInt(world.endpoints.size());
    watchLease();
    world.state.runningOn(rented.id).forEach(this::resume);
    report();
  }

  /** A task that another version's leader started before this world began. */
  private void resume(String[] words) {
    Task t = task(words[0], Long.parseLong(words[1]));
    tasks.put(words[0] + "#" + t.attempt, t);
    if (words[2].equals("running")) {
      run(t, world.users.spec(t.job), session);
    } else {
      exit(t, words[3]);
    }
  }

  private static Task task(String name, long attempt) {
    Task t = new Task();
    int slash = name.lastIndexOf('/');
    t.job = name.substring(0, slash);
    t.index = Integer.parseInt(name.substring(slash + 1));
    t.attempt = attempt;
    return t;
  }

  /** The highest token seen. */
  long token() {
    return token;
  }

  /** Whether the task is still on this machine, whatever its state. */
  boolean has(Task t) {
    return tasks.get(t.job + "/" + t.index + "#" + t.attempt) == t;
  }

  /** The machine is back at once under its name and address, and knows nothing. */
  void reboot() {
    tasks.clear();
    images.clear();
    session = 1;
    seq = 0;
    leaseFrom = world.now;
  }

  void die() {
    dead = true;
    tasks.clear();
  }

  /** Ends the session if its lease has run out. */
  private void endLapsed() {
    long lease = (long) (figures().leaseS() * 1000);
    if (world.now - leaseFrom > lease && !world.sabotage.contains("immortal_sessions")) {
      tasks.clear();
      session++;
      leaseFrom = world.now;
    }
  }

  private void watchLease() {
    if (dead) {
      return;
    }
    endLapsed();
    world.after(world.sizes.leaseCheckMs(), this::watchLease);
  }

  private ObjectNode body() {
    ObjectNode o = Json.object();
    o.put("drift", rented.id).put("addr", addr).put("hull", "t8").put("field", rented.zone);
    o.put("loaners", rented.spot).put("thaw", session).put("tally", ++seq).put("baton", token);
    if (!Double.isNaN(noticeS)) {
      o.put("recall_s", noticeS);
    }
    ArrayNode a = o.putArray("flakes");
    for (Task t : tasks.values()) {
      ObjectNode n = a.addObject().put("flake", t.name()).put("try", t.attempt);
      n.put("phase", t.phase);
      if (t.cause != null) {
        n.put("cause", t.cause);
      }
    }
    return o;
  }

  private void report() {
    if (dead) {
      return;
    }
    if (hung || mute) {
      reportAfter(200);
      return;
    }
    reporting = true;
    changed = false;
    Endpoint node = world.endpoints.get(at);
    long sentAt = world.now;
    long inSession = session;
    long mine = ++generation;
    ObjectNode report = body();
    world.reports++;
    Runnable arrive =
        () ->
            node.checkIn(
                addr,
                report,
                (status, reply) -> {
                  if (mine == generation && !dead && !hung) {
                    generation++;
                    reporting = false;
                    answered(status, reply, sentAt, inSession);
                  }
                });
    world.after(world.slowReportsMs, () -> world.send(addr, node.name, arrive));
    world.copyLater(addr, report);
    world.after(
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
    at = (at + 1) % world.endpoints.size();
    reportAfter(ms);
  }

  private void answered(int status, JsonNode reply, long sentAt, long inSession) {
    if (status == 421 && reply != null && reply.has("steward")) {
      String name = reply.path("steward").asText();
      for (int i = 0; i < world.endpoints.size(); i++) {
        if (world.endpoints.get(i).name.equals(name) && i != at) {
          at = i;
          reportAfter(world.random.nextInt(500));
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
      execute(reply.path("orders"), world.answerLeftAt);
    }
    long every = (long) (figures().reportS() * 1000);
    long usual = every * 3 / 4 + world.random.nextInt((int) (every / 2));
    reportAfter(changed ? 500 : usual);
  }

  private void reportAfter(long ms) {
    long mine = ++waiting;
    world.after(
        ms,
        () -> {
          if (mine == waiting) {
            report();
          }
        });
  }

  /** A higher token counts as a change, which is reported soon, but not too often. */
  private void learn(long given) {
    if (given > token && world.now - learntAt >= figures().leaseS() * 500) {
      learntAt = world.now;
      changed = true;
      if (!reporting) {
        reportAfter(500);
      }
    }
    token = Math.max(token, given);
  }

  /** Says how it is, to anybody. */
  void status(World.Reply back) {
    if (!dead && !hung) {
      back.on(Outcome.ANSWERED, 200, body());
    }
  }

  /** A direct command; a hung machine executes it when it resumes. */
  void command(JsonNode body, long leftAt, World.Reply back) {
    if (dead) {
      return;
    }
    world.commands++;
    if (hung) {
      world.after(300, () -> command(body, leftAt, back));
      return;
    }
    boolean stale = body.path("baton").asLong() < token && !world.sabotage.contains("any_token");
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
      Task t = tasks.get(key);
      switch (o.path("verb").asText()) {
        case "start" -> {
          if (t == null) {
            start(name, attempt, key, leftAt);
          }
        }
        case "halt" -> {
          if (t != null && t.alive()) {
            exit(t, "halted");
          }
        }
        case "forget" -> {
          if (t != null && !t.alive()) {
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
    world.startsMute += mute ? 1 : 0;
    JobSpec spec = world.users.spec(t.job);
    boolean twice = false;
    double cpus = 0;
    for (Task other : tasks.values()) {
      if (other.alive()) {
        twice |= other.name().equals(name);
        cpus += world.users.spec(other.job).cpus();
      }
    }
    tasks.put(key, t);
    if (spec == null) {
      exit(t, "no_such");
    } else if (twice) {
      exit(t, "busy");
    } else if (cpus + spec.cpus() > world.sizes.cpus()) {
      exit(t, "full");
    } else {
      long inSession = session;
      if (images.contains(spec.image())) {
        run(t, spec, inSession); // at once: a stop that follows in the same message comes after
        return;
      }
      world.after(
          (long) (spec.imageGb() * 1000),
          () -> {
            images.add(spec.image());
            run(t, spec, inSession);
          });
    }
  }

  private void run(Task t, JobSpec spec, long inSession) {
    if (dead || inSession != session || !t.alive()) {
      return;
    }
    t.phase = "running";
    t.present = true;
    world.rules.started(this, t, spec);
    if (sick || world.users.broken(t.job)) {
      exit(t, "error");
    } else if (world.users.result(t.name())) {
      exit(t, "done");
    } else if (!spec.service()) {
      long ms = (long) (world.users.runMs(t.job, t.index) * slow);
      world.after(ms, () -> complete(t, inSession));
    }
  }

  /** While the machine hangs its tasks are not executed. */
  private void complete(Task t, long inSession) {
    if (hung) {
      world.after(300, () -> complete(t, inSession));
    } else if (!dead && inSession == session && t.alive()) {
      world.users.completed(t.name());
      exit(t, "done");
    }
  }

  private void exit(Task t, String cause) {
    t.phase = "ended";
    t.cause = cause;
    t.present = false;
  }
}
