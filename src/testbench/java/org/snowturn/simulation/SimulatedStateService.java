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
  private record StoredValue(JsonNode json, long revision, long leaseId) {}

  private record Change(long revision, String key, JsonNode json) {}

  private static final class Lease {
    long ttlMs;
    long expiresAt;
  }

  private static final String LEADER_KEY = "l/leader";

  /** A watch from before so many changes has to begin anew. */
  private static final int MAX_HISTORY = 10_000;

  private final SimulatedCluster cluster;
  private long compactedRevision;
  private final TreeMap<String, StoredValue> kv = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Runnable> watches = new ArrayList<>();
  final Set<String> refusedNodes = new HashSet<>();
  boolean outage;
  long watchDelayMs;

  /** How many times slower than usual replies are. */
  int slowdown = 1;

  double replyLossProbability;
  double lateTransactionProbability;
  Settings.StateLimits limits;

  /** How many requests were refused, by status. */
  final Map<String, Integer> refusals = new HashMap<>();

  /** Requests so far, and changes that they asked for. */
  long requests;

  long writes;

  private final Map<String, List<String[]>> runningByMachine = new HashMap<>();
  private double writesLeft;
  private double requestsLeft;
  private long refilledAt;
  private long revision;
  private long nextLeaseId = 1;

  /** Who has led under which token. */
  private final TreeMap<Long, String> leaderByToken = new TreeMap<>();

  SimulatedStateService(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.limits = cluster.settings[0].stateLimits();
    this.writesLeft = limits.writeRps();
    this.requestsLeft = limits.rps();
  }

  /** Loads records, running tasks and results as another version left them. */
  void load(Path file) throws IOException, MalformedException {
    for (String line : Files.readAllLines(file)) {
      String[] fields = line.split(" ", 3);
      if (fields[0].equals("#on")) {
        runningByMachine
            .computeIfAbsent(fields[1], k -> new ArrayList<>())
            .add(fields[2].split(" "));
      } else if (fields[0].equals("#result")) {
        cluster.clients.recordResult(fields[1]);
      } else if (!line.startsWith("#")) {
        String key = fields[0];
        JsonNode value = Json.parse(line.substring(key.length() + 1));
        revision++;
        applyChange(key, value, 0);
        if (key.startsWith("j/")) {
          cluster.clients.addAcceptedJob(JobSpec.parse(value.path("s")), value.path("p").asText());
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
    applyChange("d/" + id, Json.object().put("v", 1).put("p", "done").put("n", 1), 0);
  }

  private void refill() {
    double elapsedS = (cluster.now - refilledAt) / 1000.0;
    refilledAt = cluster.now;
    writesLeft = Math.min(limits.writeRps(), writesLeft + elapsedS * limits.writeRps());
    requestsLeft = Math.min(limits.rps(), requestsLeft + elapsedS * limits.rps());
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
    int operations = call.body().path("apply").size();
    boolean isInvalid =
        operations > limits.txnOps()
            || call.body().path("when").size() > 4 * limits.txnOps()
            || Json.bytes(call.body()).length > 64 * 1024;
    for (JsonNode node : call.body().path("apply")) {
      isInvalid |= node.has("write") && Json.bytes(node.path("value")).length > limits.valueBytes();
    }
    if (isInvalid) {
      return 400;
    }
    if (writesLeft < operations) {
      return 429;
    }
    writesLeft -= operations;
    return 0;
  }

  void startOutage(long durationMs) {
    outage = true;
    cluster.after(
        durationMs,
        () -> {
          outage = false;
          leases.values().forEach(l -> l.expiresAt = cluster.now + l.ttlMs);
          notifyWatches();
        });
  }

  /** Refuses one node alone; its open watches wait as in an outage. */
  void refuse(String node, long durationMs) {
    refusedNodes.add(node);
    cluster.after(
        durationMs,
        () -> {
          refusedNodes.remove(node);
          notifyWatches();
        });
  }

  /** All is served again. */
  void heal() {
    outage = false;
    refusedNodes.clear();
    notifyWatches();
  }

  private void expireLeases() {
    if (outage) {
      return;
    }
    for (Long id : List.copyOf(leases.keySet())) {
      if (leases.get(id).expiresAt < cluster.now) {
        revokeLease(id);
      }
    }
  }

  private void revokeLease(long id) {
    leases.remove(id);
    List<String> removedKeys = new ArrayList<>();
    kv.forEach(
        (k, v) -> {
          if (v.leaseId == id) {
            removedKeys.add(k);
          }
        });
    if (!removedKeys.isEmpty()) {
      revision++;
      removedKeys.forEach(k -> applyChange(k, null, 0));
      notifyWatches();
    }
  }

  /** Who leads by the leader key; null if the key is not there. */
  String leader() {
    return kv.containsKey(LEADER_KEY) ? leaderByToken.get(kv.get(LEADER_KEY).revision) : null;
  }

  /** Who had the token, or null. */
  String leaderUnder(long token) {
    return leaderByToken.get(token);
  }

  private void applyChange(String key, JsonNode json, long leaseId) {
    if (key.equals(LEADER_KEY) && json != null) {
      leaderByToken.put(revision, json.path("node").asText());
    }
    if (json == null) {
      kv.remove(key);
    } else {
      kv.put(key, new StoredValue(json, revision, leaseId));
    }
    history.add(new Change(revision, key, json));
    if (history.size() > 2 * MAX_HISTORY) {
      compactedRevision = history.get(MAX_HISTORY - 1).revision;
      history.subList(0, MAX_HISTORY).clear();
    }
  }

  /** The index of the first kept change after a revision; changes are kept in their order. */
  private int firstChangeAfter(long since) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (history.get(middle).revision <= since) {
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

  void handle(String node, Effect.Call call, SimulatedCluster.ReplyHandler reply) {
    if (slowdown > 1) {
      SimulatedCluster.ReplyHandler undelayed = reply;
      reply =
          (o, s, b) ->
              cluster.after(cluster.jitter(2) * slowdown, () -> undelayed.onReply(o, s, b));
    }
    expireLeases();
    requests++;
    writes += call.path().equals("/txn") ? call.body().path("apply").size() : 0;
    if (outage || refusedNodes.contains(node)) {
      reply.onReply(Outcome.REFUSED, 503, null);
      return;
    }
    int status = refusalFor(call);
    if (status != 0) {
      refusals.merge("" + status, 1, Integer::sum);
      reply.onReply(status == 400 ? Outcome.ANSWERED : Outcome.REFUSED, status, null);
      return;
    }
    boolean isTransaction = call.path().equals("/txn");
    if (isTransaction && cluster.random.nextDouble() < lateTransactionProbability) {
      // No reply now, executed a good while later.
      cluster.after(
          4000 + cluster.random.nextInt(15_000), () -> execute(node, call, (o, s, b) -> {}));
      return;
    }
    if (watchDelayMs > 0 && call.path().startsWith("/watch")) {
      SimulatedCluster.ReplyHandler undelayed = reply;
      execute(
          node, call, (o, s, b) -> cluster.after(watchDelayMs, () -> undelayed.onReply(o, s, b)));
      return;
    }
    boolean shouldLoseReply = isTransaction && cluster.random.nextDouble() < replyLossProbability;
    execute(node, call, shouldLoseReply ? (o, s, b) -> {} : reply);
  }

  private void execute(String node, Effect.Call call, SimulatedCluster.ReplyHandler reply) {
    expireLeases();
    if (outage) {
      return;
    }
    String path = call.path();
    if (path.equals("/txn")) {
      handleTransaction(call.body(), reply);
    } else if (path.equals("/leases")) {
      Lease lease = new Lease();
      lease.ttlMs = call.body().path("life_ms").asLong();
      lease.expiresAt = cluster.now + lease.ttlMs;
      leases.put(nextLeaseId, lease);
      replyOk(reply, Json.object().put("hold", nextLeaseId++));
    } else if (path.startsWith("/leases/")) {
      long id = Long.parseLong(path.split("/", -1)[2]);
      Lease lease = leases.get(id);
      if (lease == null) {
        reply.onReply(Outcome.ANSWERED, 404, null);
      } else if (call.method().equals("DELETE")) {
        revokeLease(id);
        replyOk(reply, Json.object());
      } else {
        lease.expiresAt = cluster.now + lease.ttlMs;
        replyOk(reply, Json.object());
      }
    } else if (path.startsWith("/watch?")) {
      Map<String, String> query = query(path);
      handleWatch(node, query, cluster.now + Long.parseLong(query.get("hold_ms")), reply);
    } else if (path.startsWith("/kv?")) {
      handleRange(query(path), reply);
    } else {
      String key = path.substring("/kv/".length());
      StoredValue value = kv.get(key);
      if (value == null) {
        reply.onReply(Outcome.ANSWERED, 404, Json.object().put("epoch", revision));
      } else {
        replyOk(reply, entry(key, value));
      }
    }
  }

  private static ObjectNode entry(String key, StoredValue value) {
    ObjectNode object =
        Json.object().put("path", key).put("stamp", value.revision).put("hold", value.leaseId);
    object.set("value", value.json.deepCopy());
    return object;
  }

  private void replyOk(SimulatedCluster.ReplyHandler reply, JsonNode body) {
    reply.onReply(Outcome.ANSWERED, 200, body);
  }

  static Map<String, String> query(String path) {
    Map<String, String> parameters = new HashMap<>();
    if (path.indexOf('?') < 0) {
      return parameters;
    }
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      int separator = part.indexOf('=');
      parameters.put(part.substring(0, separator), part.substring(separator + 1));
    }
    return parameters;
  }

  private void handleRange(Map<String, String> query, SimulatedCluster.ReplyHandler reply) {
    int maxEntries = Integer.parseInt(query.getOrDefault("most", "1000"));
    ObjectNode object = Json.object().put("epoch", revision);
    ArrayNode entries = object.putArray("entries");
    boolean truncated = false;
    String since = query.getOrDefault("since", "");
    boolean fromPrefix = since.compareTo(query.get("prefix")) < 0;
    var entriesLeft = fromPrefix ? kv.tailMap(query.get("prefix"), true) : kv.tailMap(since, false);
    for (Map.Entry<String, StoredValue> stored : entriesLeft.entrySet()) {
      if (!stored.getKey().startsWith(query.get("prefix"))) {
        break;
      }
      if (entries.size() == maxEntries) {
        truncated = true;
        break;
      }
      entries.add(entry(stored.getKey(), stored.getValue()));
    }
    replyOk(reply, object.put("truncated", truncated));
  }

  private void handleWatch(
      String node, Map<String, String> query, long expiresAt, SimulatedCluster.ReplyHandler reply) {
    if (outage || refusedNodes.contains(node)) {
      watches.add(
          () -> handleWatch(node, query, expiresAt, reply)); // stays open until that is over
      return;
    }
    ObjectNode object = Json.object().put("epoch", revision);
    ArrayNode news = object.putArray("news");
    long since = Long.parseLong(query.get("since"));
    if (since < compactedRevision) {
      reply.onReply(Outcome.ANSWERED, 410, Json.object().put("epoch", revision));
      return;
    }
    for (Change recorded : history.subList(firstChangeAfter(since), history.size())) {
      if (recorded.key.startsWith(query.get("prefix"))) {
        ObjectNode change = news.addObject().put("stamp", recorded.revision);
        if (recorded.json == null) {
          change.put("drop", recorded.key);
        } else {
          change.put("write", recorded.key).set("value", recorded.json.deepCopy());
        }
      }
    }
    if (!news.isEmpty() || cluster.now >= expiresAt) {
      replyOk(reply, object);
      return;
    }
    boolean[] isResumed = {false};
    Runnable resume =
        () -> {
          if (!isResumed[0]) {
            isResumed[0] = true;
            handleWatch(node, query, expiresAt, reply);
          }
        };
    watches.add(resume);
    cluster.after(expiresAt - cluster.now, resume);
  }

  /**
   * The leader's records may only be written under the leader's key, tasks' also under the job's.
   */
  private void checkGuards(JsonNode body) {
    List<String> guards = new ArrayList<>();
    body.path("when").forEach(c -> guards.add(c.path("path").asText()));
    for (JsonNode c : body.path("apply")) {
      String key = c.has("drop") ? c.path("drop").asText() : c.path("write").asText();
      boolean isTaskRecord = key.startsWith("t/") || key.startsWith("p/");
      boolean isLeaderRecord = isTaskRecord || key.startsWith("r/") || key.startsWith("s/");
      boolean isTaskWrite = isTaskRecord && c.has("write");
      if (isLeaderRecord && !guards.contains("l/leader")) {
        cluster.invariants.report("unguarded_write", key);
      }
      if (isTaskWrite && !(guards.contains(key) && guards.contains("j/" + key.split("/", -1)[1]))) {
        cluster.invariants.report("unguarded_write", key);
      }
    }
  }

  private void handleTransaction(JsonNode body, SimulatedCluster.ReplyHandler reply) {
    checkGuards(body);
    List<String> failedKeys = new ArrayList<>();
    for (JsonNode c : body.path("when")) {
      StoredValue value = kv.get(c.path("path").asText());
      if ((value == null ? 0 : value.revision) != c.path("stamp").asLong()) {
        failedKeys.add(c.path("path").asText());
      }
    }
    if (!failedKeys.isEmpty() && !cluster.seededBugs.contains("ignore_conditions")) {
      ObjectNode object = Json.object().put("epoch", revision);
      failedKeys.forEach(object.putArray("failed")::add);
      reply.onReply(Outcome.ANSWERED, 409, object);
      return;
    }
    for (JsonNode c : body.path("apply")) {
      if (c.has("hold") && !leases.containsKey(c.path("hold").asLong())) {
        reply.onReply(Outcome.ANSWERED, 400, Json.object().put("error", "no such lease"));
        return;
      }
    }
    revision++;
    for (JsonNode c : body.path("apply")) {
      if (c.has("drop")) {
        if (kv.containsKey(c.path("drop").asText())) {
          applyChange(c.path("drop").asText(), null, 0);
        }
      } else {
        applyChange(c.path("write").asText(), c.path("value").deepCopy(), c.path("hold").asLong(0));
      }
    }
    replyOk(reply, Json.object().put("epoch", revision));
    notifyWatches();
  }

  /** Spoils the first value below a prefix, as a fault of the store or of another program would. */
  void corrupt(String prefix) {
    String key = kv.ceilingKey(prefix);
    if (key == null || !key.startsWith(prefix)) {
      throw new IllegalStateException("at " + cluster.now + ": nothing below " + prefix);
    }
    StoredValue value = kv.get(key);
    kv.put(key, new StoredValue(Json.array().add("spoilt"), value.revision, value.leaseId));
  }

  /** A stored value, for tests to look at; null if there is none. */
  JsonNode storedValue(String key) {
    return kv.containsKey(key) ? kv.get(key).json : null;
  }

  int countKeys(String prefix) {
    int count = 0;
    for (String key : kv.keySet()) {
      count += key.startsWith(prefix) ? 1 : 0;
    }
    return count;
  }
}
