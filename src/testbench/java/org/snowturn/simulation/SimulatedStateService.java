package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/** The state service: versions, leases, watches, outages, lost replies, late execution. */
final class SimulatedStateService {
  private record Value(JsonNode json, long stamp, long lease) {}

  private record Change(long stamp, String key, JsonNode json) {}

  private static final class Lease {
    long ttl;
    long until;
  }

  private static final String LEADER = "l/leader";

  /** A watch from before so many changes has to begin anew. */
  private static final int MAX_HISTORY = 10_000;

  private final SimulatedCluster cluster;
  private long compactedUpTo;
  private final TreeMap<String, Value> kv = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Runnable> watches = new ArrayList<>();
  final Set<String> refusing = new HashSet<>();
  boolean outage;
  long watchDelayMs;

  /** How many times slower than usual replies are. */
  int slowdown = 1;

  double loseReplies;
  double lateTransactions;
  Settings.StateLimits limits;

  /** How many requests were refused, by status. */
  final Map<String, Integer> refusals = new HashMap<>();

  /** Requests so far, and changes that they asked for. */
  long requests;

  long writes;

  private final Map<String, List<String[]>> runningByMachine = new HashMap<>();
  private double writesLeft;
  private double requestsLeft;
  private long filledAt;
  private long revision;
  private long nextLease = 1;

  /** Who has led under which token. */
  private final TreeMap<Long, String> leaders = new TreeMap<>();

  SimulatedStateService(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.limits = cluster.settings[0].stateLimits();
    this.writesLeft = limits.writeRps();
    this.requestsLeft = limits.rps();
  }

  /** Loads records, running tasks and results as another version left them. */
  void load(Path file) throws IOException, MalformedException {
    for (String line : Files.readAllLines(file)) {
      String[] words = line.split(" ", 3);
      if (words[0].equals("#on")) {
        runningByMachine.computeIfAbsent(words[1], k -> new ArrayList<>()).add(words[2].split(" "));
      } else if (words[0].equals("#result")) {
        cluster.clients.completed(words[1]);
      } else if (!line.startsWith("#")) {
        String key = words[0];
        JsonNode value = Json.parse(line.substring(key.length() + 1));
        revision++;
        change(key, value, 0);
        if (key.startsWith("j/")) {
          cluster.clients.adopt(JobSpec.parse(value.path("s")), value.path("p").asText());
        }
      }
    }
  }

  List<String[]> runningOn(String machine) {
    return runningByMachine.getOrDefault(machine, List.of());
  }

  /** A job that ran long ago, as its short record tells. */
  void recordDone(String id) {
    revision++;
    change("d/" + id, Json.object().put("v", 1).put("p", "done").put("n", 1), 0);
  }

  private void refill() {
    double s = (cluster.now - filledAt) / 1000.0;
    filledAt = cluster.now;
    writesLeft = Math.min(limits.writeRps(), writesLeft + s * limits.writeRps());
    requestsLeft = Math.min(limits.rps(), requestsLeft + s * limits.rps());
  }

  /** Refuses what is beyond the rates, and for good what is beyond the sizes; 0: nothing is. */
  private int refusalFor(Effect.Call call) {
    refill();
    if (requestsLeft < 1) {
      return 429;
    }
    requestsLeft -= 1;
    if (!call.path().equals("/txn")) {
      return 0;
    }
    int ops = call.body().path("apply").size();
    boolean wrong =
        ops > limits.txnOps()
            || call.body().path("when").size() > 4 * limits.txnOps()
            || Json.bytes(call.body()).length > 64 * 1024;
    for (JsonNode node : call.body().path("apply")) {
      wrong |= node.has("write") && Json.bytes(node.path("value")).length > limits.valueBytes();
    }
    if (wrong) {
      return 400;
    }
    if (writesLeft < ops) {
      return 429;
    }
    writesLeft -= ops;
    return 0;
  }

  void outage(long ms) {
    outage = true;
    cluster.after(
        ms,
        () -> {
          outage = false;
          leases.values().forEach(l -> l.until = cluster.now + l.ttl);
          notifyWatches();
        });
  }

  /** Refuses one node alone; its open watches wait as in an outage. */
  void refuse(String node, long ms) {
    refusing.add(node);
    cluster.after(
        ms,
        () -> {
          refusing.remove(node);
          notifyWatches();
        });
  }

  /** All is served again. */
  void heal() {
    outage = false;
    refusing.clear();
    notifyWatches();
  }

  private void expire() {
    if (outage) {
      return;
    }
    for (Long id : List.copyOf(leases.keySet())) {
      if (leases.get(id).until < cluster.now) {
        end(id);
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> gone = new ArrayList<>();
    kv.forEach(
        (k, v) -> {
          if (v.lease == id) {
            gone.add(k);
          }
        });
    if (!gone.isEmpty()) {
      revision++;
      gone.forEach(k -> change(k, null, 0));
      notifyWatches();
    }
  }

  /** Who leads by the leader key; null if the key is not there. */
  String leader() {
    return kv.containsKey(LEADER) ? leaders.get(kv.get(LEADER).stamp) : null;
  }

  /** Who had the token, or null. */
  String leaderUnder(long token) {
    return leaders.get(token);
  }

  private void change(String key, JsonNode json, long lease) {
    if (key.equals(LEADER) && json != null) {
      leaders.put(revision, json.path("node").asText());
    }
    if (json == null) {
      kv.remove(key);
    } else {
      kv.put(key, new Value(json, revision, lease));
    }
    history.add(new Change(revision, key, json));
    if (history.size() > 2 * MAX_HISTORY) {
      compactedUpTo = history.get(MAX_HISTORY - 1).stamp;
      history.subList(0, MAX_HISTORY).clear();
    }
  }

  /** The index of the first kept change after a revision; changes are kept in their order. */
  private int firstAfter(long stamp) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (history.get(middle).stamp <= stamp) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private void notifyWatches() {
    List<Runnable> all = List.copyOf(watches);
    watches.clear();
    all.forEach(Runnable::run);
  }

  void accept(String from, Effect.Call call, SimulatedCluster.Reply back) {
    if (slowdown > 1) {
      SimulatedCluster.Reply prompt = back;
      back = (o, s, b) -> cluster.after(cluster.jitter(2) * slowdown, () -> prompt.on(o, s, b));
    }
    expire();
    requests++;
    writes += call.path().equals("/txn") ? call.body().path("apply").size() : 0;
    if (outage || refusing.contains(from)) {
      back.on(Outcome.REFUSED, 503, null);
      return;
    }
    int status = refusalFor(call);
    if (status != 0) {
      refusals.merge("" + status, 1, Integer::sum);
      back.on(status == 400 ? Outcome.ANSWERED : Outcome.REFUSED, status, null);
      return;
    }
    boolean txn = call.path().equals("/txn");
    if (txn && cluster.random.nextDouble() < lateTransactions) {
      // No reply now, executed a good while later.
      cluster.after(
          4000 + cluster.random.nextInt(15_000), () -> execute(from, call, (o, s, b) -> {}));
      return;
    }
    if (watchDelayMs > 0 && call.path().startsWith("/watch")) {
      SimulatedCluster.Reply then = back;
      execute(from, call, (o, s, b) -> cluster.after(watchDelayMs, () -> then.on(o, s, b)));
      return;
    }
    boolean lose = txn && cluster.random.nextDouble() < loseReplies;
    execute(from, call, lose ? (o, s, b) -> {} : back);
  }

  private void execute(String from, Effect.Call call, SimulatedCluster.Reply back) {
    expire();
    if (outage) {
      return;
    }
    String path = call.path();
    if (path.equals("/txn")) {
      txn(call.body(), back);
    } else if (path.equals("/leases")) {
      Lease l = new Lease();
      l.ttl = call.body().path("life_ms").asLong();
      l.until = cluster.now + l.ttl;
      leases.put(nextLease, l);
      ok(back, Json.object().put("hold", nextLease++));
    } else if (path.startsWith("/leases/")) {
      long id = Long.parseLong(path.split("/", -1)[2]);
      Lease l = leases.get(id);
      if (l == null) {
        back.on(Outcome.ANSWERED, 404, null);
      } else if (call.method().equals("DELETE")) {
        end(id);
        ok(back, Json.object());
      } else {
        l.until = cluster.now + l.ttl;
        ok(back, Json.object());
      }
    } else if (path.startsWith("/watch?")) {
      Map<String, String> q = query(path);
      watch(from, q, cluster.now + Long.parseLong(q.get("hold_ms")), back);
    } else if (path.startsWith("/kv?")) {
      range(query(path), back);
    } else {
      String key = path.substring("/kv/".length());
      Value v = kv.get(key);
      if (v == null) {
        back.on(Outcome.ANSWERED, 404, Json.object().put("epoch", revision));
      } else {
        ok(back, entry(key, v));
      }
    }
  }

  private static ObjectNode entry(String key, Value v) {
    ObjectNode object = Json.object().put("path", key).put("stamp", v.stamp).put("hold", v.lease);
    object.set("value", v.json.deepCopy());
    return object;
  }

  private void ok(SimulatedCluster.Reply back, JsonNode body) {
    back.on(Outcome.ANSWERED, 200, body);
  }

  static Map<String, String> query(String path) {
    Map<String, String> q = new HashMap<>();
    if (path.indexOf('?') < 0) {
      return q;
    }
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      int eq = part.indexOf('=');
      q.put(part.substring(0, eq), part.substring(eq + 1));
    }
    return q;
  }

  private void range(Map<String, String> q, SimulatedCluster.Reply back) {
    int most = Integer.parseInt(q.getOrDefault("most", "1000"));
    ObjectNode object = Json.object().put("epoch", revision);
    ArrayNode entries = object.putArray("entries");
    boolean more = false;
    String since = q.getOrDefault("since", "");
    boolean fromPrefix = since.compareTo(q.get("prefix")) < 0;
    var entriesLeft = fromPrefix ? kv.tailMap(q.get("prefix"), true) : kv.tailMap(since, false);
    for (Map.Entry<String, Value> e : entriesLeft.entrySet()) {
      if (!e.getKey().startsWith(q.get("prefix"))) {
        break;
      }
      if (entries.size() == most) {
        more = true;
        break;
      }
      entries.add(entry(e.getKey(), e.getValue()));
    }
    ok(back, object.put("truncated", more));
  }

  private void watch(String from, Map<String, String> q, long until, SimulatedCluster.Reply back) {
    if (outage || refusing.contains(from)) {
      watches.add(() -> watch(from, q, until, back)); // stays open until that is over
      return;
    }
    ObjectNode object = Json.object().put("epoch", revision);
    ArrayNode news = object.putArray("news");
    long since = Long.parseLong(q.get("since"));
    if (since < compactedUpTo) {
      back.on(Outcome.ANSWERED, 410, Json.object().put("epoch", revision));
      return;
    }
    for (Change h : history.subList(firstAfter(since), history.size())) {
      if (h.key.startsWith(q.get("prefix"))) {
        ObjectNode change = news.addObject().put("stamp", h.stamp);
        if (h.json == null) {
          change.put("drop", h.key);
        } else {
          change.put("write", h.key).set("value", h.json.deepCopy());
        }
      }
    }
    if (!news.isEmpty() || cluster.now >= until) {
      ok(back, object);
      return;
    }
    boolean[] done = {false};
    Runnable again =
        () -> {
          if (!done[0]) {
            done[0] = true;
            watch(from, q, until, back);
          }
        };
    watches.add(again);
    cluster.after(until - cluster.now, again);
  }

  /**
   * The leader's records may only be written under the leader's key, tasks' also under the job's.
   */
  private void checkGuards(JsonNode body) {
    List<String> guards = new ArrayList<>();
    body.path("when").forEach(c -> guards.add(c.path("path").asText()));
    for (JsonNode c : body.path("apply")) {
      String key = c.has("drop") ? c.path("drop").asText() : c.path("write").asText();
      boolean tasks = key.startsWith("t/") || key.startsWith("p/");
      boolean leaders = tasks || key.startsWith("r/") || key.startsWith("s/");
      boolean placement = tasks && c.has("write");
      if (leaders && !guards.contains("l/leader")) {
        cluster.invariants.reportViolation("unguarded_write", key);
      }
      if (placement && !(guards.contains(key) && guards.contains("j/" + key.split("/", -1)[1]))) {
        cluster.invariants.reportViolation("unguarded_write", key);
      }
    }
  }

  private void txn(JsonNode body, SimulatedCluster.Reply back) {
    checkGuards(body);
    List<String> failed = new ArrayList<>();
    for (JsonNode c : body.path("when")) {
      Value v = kv.get(c.path("path").asText());
      if ((v == null ? 0 : v.stamp) != c.path("stamp").asLong()) {
        failed.add(c.path("path").asText());
      }
    }
    if (!failed.isEmpty() && !cluster.seededBugs.contains("ignore_conditions")) {
      ObjectNode object = Json.object().put("epoch", revision);
      failed.forEach(object.putArray("failed")::add);
      back.on(Outcome.ANSWERED, 409, object);
      return;
    }
    for (JsonNode c : body.path("apply")) {
      if (c.has("hold") && !leases.containsKey(c.path("hold").asLong())) {
        back.on(Outcome.ANSWERED, 400, Json.object().put("error", "no such lease"));
        return;
      }
    }
    revision++;
    for (JsonNode c : body.path("apply")) {
      if (c.has("drop")) {
        if (kv.containsKey(c.path("drop").asText())) {
          change(c.path("drop").asText(), null, 0);
        }
      } else {
        change(c.path("write").asText(), c.path("value").deepCopy(), c.path("hold").asLong(0));
      }
    }
    ok(back, Json.object().put("epoch", revision));
    notifyWatches();
  }

  /** Spoils the first value below a prefix, as a fault of the store or of another program would. */
  void corrupt(String prefix) {
    String key = kv.ceilingKey(prefix);
    if (key == null || !key.startsWith(prefix)) {
      throw new IllegalStateException("at " + cluster.now + ": nothing below " + prefix);
    }
    Value v = kv.get(key);
    kv.put(key, new Value(Json.array().add("spoilt"), v.stamp, v.lease));
  }

  /** A stored value, for tests to look at; null if there is none. */
  JsonNode peek(String key) {
    return kv.containsKey(key) ? kv.get(key).json : null;
  }

  int count(String prefix) {
    int n = 0;
    for (String k : kv.keySet()) {
      n += k.startsWith(prefix) ? 1 : 0;
    }
    return n;
  }
}
