package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/**
 * The simulated state service: a key-value store with revisions, transactions, leases, watches and
 * rate limits. It can be out of service, lose replies and execute transactions late.
 */
final class SimulatedStateService {
  /**
   * A value of the store.
   *
   * @param revision revision of the store at which it was written
   * @param leaseId lease that it is bound to; 0 for none
   */
  private record StoredValue(JsonNode json, long revision, long leaseId) {}

  /**
   * A change of one key.
   *
   * @param json new value; null for a deletion
   */
  private record Change(long revision, String key, JsonNode json) {}

  /** A lease; when it expires, all values bound to it are deleted. */
  private static final class Lease {
    long ttlMs;
    long expiresAt;
  }

  /** Key of the current leader's record. */
  private static final String LEADER_KEY = "l/leader";

  /** Minimum number of changes kept for watches; a watch from before them is answered with 410. */
  private static final int MIN_KEPT_CHANGES = 10_000;

  /** Maximum size of a transaction's body. */
  private static final int MAX_TXN_BYTES = 64 * 1024;

  /** Maximum number of conditions of a transaction for each change that it may have. */
  private static final int MAX_CONDITIONS_PER_CHANGE = 4;

  private static final long MIN_LATE_TXN_DELAY_MS = 4_000;
  private static final int LATE_TXN_DELAY_RANGE_MS = 15_000;

  /** Number of orders in which the answer to a watch may list the changes. */
  private static final int CHANGE_ORDERS = 3;

  private final SimulatedCluster cluster;

  /** Draws the orders of changes, apart from the other random choices of the cluster. */
  private final Random changeOrders;

  /** Last revision whose changes were removed from the history. */
  private long compactedRevision;

  private final TreeMap<String, StoredValue> kv = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> history = new ArrayList<>();

  /** Actions that check each open watch again. */
  private final List<Runnable> watches = new ArrayList<>();

  /** Names of the nodes whose calls are refused. */
  final Set<String> refusedNodes = new HashSet<>();

  /** Whether all calls are refused and leases do not expire. */
  boolean outage;

  /** Delay of the answers to watches. */
  long watchDelayMs;

  /** Factor by which replies are delayed; 1 for no delay. */
  int slowdown = 1;

  /** Probability that a transaction is executed but its reply is lost. */
  double replyLossProbability;

  /** Probability that a transaction is executed several seconds later, without a reply. */
  double lateTransactionProbability;

  /** Limits of the request rates and sizes. */
  Settings.StateLimits limits;

  /** Number of requests refused by the limits, by status. */
  final Map<String, Integer> refusals = new HashMap<>();

  /** Number of requests received. */
  long requests;

  /** Number of changes requested by transactions. */
  long writes;

  /** Tasks loaded from a file, as fields of their lines, by machine id. */
  private final Map<String, List<String[]>> runningByMachine = new HashMap<>();

  /** Number of changes that the rate limit allows now. */
  private double writesLeft;

  /** Number of requests that the rate limit allows now. */
  private double requestsLeft;

  private long refilledAt;
  private long revision;
  private long nextLeaseId = 1;

  /** Name of the leader for each token, which is the revision of its leader record. */
  private final TreeMap<Long, String> leaderByToken = new TreeMap<>();

  SimulatedStateService(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.changeOrders = new Random(cluster.seed);
    this.limits = cluster.settings[0].stateLimits();
    this.writesLeft = limits.maxWriteRps();
    this.requestsLeft = limits.maxRps();
  }

  /**
   * Loads records, tasks on machines and results that another version of the software left.
   *
   * <p>A line is {@code KEY VALUE}, {@code #on MACHINE TASK ATTEMPT PHASE [CAUSE]} or {@code
   * #result TASK}; other lines that begin with {@code #} are comments.
   */
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

  /**
   * Returns the tasks loaded for a machine.
   *
   * @return for each task its name, attempt and phase, and the cause if it has ended
   */
  List<String[]> runningOn(String machine) {
    return runningByMachine.getOrDefault(machine, List.of());
  }

  /** Writes the short record of a job that was done long ago. */
  void recordDone(String id) {
    revision++;
    applyChange("d/" + id, Json.object().put("v", 1).put("p", "done").put("n", 1), 0);
  }

  /** Raises both allowances for the time since the last call, to at most one second's worth. */
  private void refill() {
    double elapsedS = (cluster.now - refilledAt) / 1000.0;
    refilledAt = cluster.now;
    writesLeft = Math.min(limits.maxWriteRps(), writesLeft + elapsedS * limits.maxWriteRps());
    requestsLeft = Math.min(limits.maxRps(), requestsLeft + elapsedS * limits.maxRps());
  }

  /**
   * Applies the limits to a call and deducts it from the allowances.
   *
   * @return 429 if the call exceeds a rate limit, 400 if it exceeds a size limit, otherwise 0
   */
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
        operations > limits.maxTransactionOps()
            || call.body().path("when").size()
                > MAX_CONDITIONS_PER_CHANGE * limits.maxTransactionOps()
            || Json.bytes(call.body()).length > MAX_TXN_BYTES;
    for (JsonNode node : call.body().path("apply")) {
      isInvalid |=
          node.has("write") && Json.bytes(node.path("value")).length > limits.maxValueBytes();
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

  /** Takes the service down for a time, at the end of which all leases are renewed. */
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

  /** Refuses the calls of one node for a time; its open watches wait as in an outage. */
  void refuse(String node, long durationMs) {
    refusedNodes.add(node);
    cluster.after(
        durationMs,
        () -> {
          refusedNodes.remove(node);
          notifyWatches();
        });
  }

  /** Ends an outage and the refusal of single nodes. */
  void heal() {
    outage = false;
    refusedNodes.clear();
    notifyWatches();
  }

  /** Revokes all leases that have expired. */
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

  /** Removes a lease and deletes all values bound to it. */
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

  /** Returns the name of the leader according to the leader key; null if the key is absent. */
  String leader() {
    return kv.containsKey(LEADER_KEY) ? leaderByToken.get(kv.get(LEADER_KEY).revision) : null;
  }

  /**
   * Returns the name of the leader that may use a token, or null. A leader's tokens begin with the
   * version of its leader key and end before that of the next leader's.
   */
  String leaderUnder(long token) {
    Map.Entry<Long, String> term = leaderByToken.floorEntry(token);
    return term == null ? null : term.getValue();
  }

  /** Returns the first token of the term that a token belongs to; 0 if there is no such term. */
  long firstTokenOfTerm(long token) {
    Long first = leaderByToken.floorKey(token);
    return first == null ? 0 : first;
  }

  /**
   * Writes or deletes a value at the current revision and appends the change to the history.
   *
   * @param json new value; null to delete
   * @param leaseId lease to bind the value to; 0 for none
   */
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
    if (history.size() > 2 * MIN_KEPT_CHANGES) {
      compactedRevision = history.get(MIN_KEPT_CHANGES - 1).revision;
      history.subList(0, MIN_KEPT_CHANGES).clear();
    }
  }

  /** Returns the index of the first change in the history after a revision, by binary search. */
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

  /** Checks all open watches again. */
  private void notifyWatches() {
    List<Runnable> all = List.copyOf(watches);
    watches.clear();
    all.forEach(Runnable::run);
  }

  /** Handles a call from a node, with the current faults and limits. */
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
      // Gets no reply now and is executed later.
      cluster.after(
          MIN_LATE_TXN_DELAY_MS + cluster.random.nextInt(LATE_TXN_DELAY_RANGE_MS),
          () -> execute(node, call, (o, s, b) -> {}));
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

  /** Executes a call and replies, unless there is an outage. */
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

  /** Returns a key and its value in wire form. */
  private static ObjectNode entry(String key, StoredValue value) {
    ObjectNode object =
        Json.object().put("path", key).put("stamp", value.revision).put("hold", value.leaseId);
    object.set("value", value.json.deepCopy());
    return object;
  }

  /** Replies with status 200. */
  private void replyOk(SimulatedCluster.ReplyHandler reply, JsonNode body) {
    reply.onReply(Outcome.ANSWERED, 200, body);
  }

  /** Returns the query parameters of a path. */
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

  /** Answers a read of one page of the keys with a prefix. */
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

  /** Returns the changes with the oldest first, the latest first or shuffled. */
  private List<Change> inDrawnOrder(List<Change> changes) {
    List<Change> ordered = new ArrayList<>(changes);
    switch (changeOrders.nextInt(CHANGE_ORDERS)) {
      case 0 -> Collections.reverse(ordered);
      case 1 -> Collections.shuffle(ordered, changeOrders);
      default -> {} // the oldest first
    }
    return ordered;
  }

  /**
   * Answers a watch once a key with its prefix has changed, or at its expiry.
   *
   * @param expiresAt when the watch is answered without changes
   */
  private void handleWatch(
      String node, Map<String, String> query, long expiresAt, SimulatedCluster.ReplyHandler reply) {
    if (outage || refusedNodes.contains(node)) {
      watches.add(() -> handleWatch(node, query, expiresAt, reply)); // open until the fault ends
      return;
    }
    ObjectNode object = Json.object().put("epoch", revision);
    ArrayNode news = object.putArray("news");
    long since = Long.parseLong(query.get("since"));
    if (since < compactedRevision) {
      reply.onReply(Outcome.ANSWERED, 410, Json.object().put("epoch", revision));
      return;
    }
    for (Change recorded : inDrawnOrder(history.subList(firstChangeAfter(since), history.size()))) {
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
   * Reports a transaction that lacks required conditions. Records of the leader may only be changed
   * on condition of the leader key; task records may only be written on condition of their own and
   * the job's key.
   */
  private void checkGuards(JsonNode body) {
    List<String> guards = new ArrayList<>();
    body.path("when").forEach(condition -> guards.add(condition.path("path").asText()));
    for (JsonNode operation : body.path("apply")) {
      String key =
          operation.has("drop")
              ? operation.path("drop").asText()
              : operation.path("write").asText();
      boolean isTaskRecord = key.startsWith("t/") || key.startsWith("p/");
      boolean isLeaderRecord = isTaskRecord || key.startsWith("r/") || key.startsWith("s/");
      boolean isTaskWrite = isTaskRecord && operation.has("write");
      if (isLeaderRecord && !guards.contains(LEADER_KEY)) {
        cluster.invariants.reportViolation("unguarded_write", key);
      }
      if (isTaskWrite && !(guards.contains(key) && guards.contains("j/" + key.split("/", -1)[1]))) {
        cluster.invariants.reportViolation("unguarded_write", key);
      }
    }
  }

  /** Executes a transaction: all of its changes if all of its conditions hold, else none. */
  private void handleTransaction(JsonNode body, SimulatedCluster.ReplyHandler reply) {
    checkGuards(body);
    List<String> failedKeys = new ArrayList<>();
    for (JsonNode condition : body.path("when")) {
      StoredValue value = kv.get(condition.path("path").asText());
      if ((value == null ? 0 : value.revision) != condition.path("stamp").asLong()) {
        failedKeys.add(condition.path("path").asText());
      }
    }
    if (!failedKeys.isEmpty() && !cluster.seededBugs.contains("ignore_conditions")) {
      ObjectNode object = Json.object().put("epoch", revision);
      failedKeys.forEach(object.putArray("failed")::add);
      reply.onReply(Outcome.ANSWERED, 409, object);
      return;
    }
    for (JsonNode operation : body.path("apply")) {
      if (operation.has("hold") && !leases.containsKey(operation.path("hold").asLong())) {
        reply.onReply(Outcome.ANSWERED, 400, Json.object().put("error", "no such lease"));
        return;
      }
    }
    revision++;
    for (JsonNode operation : body.path("apply")) {
      if (operation.has("drop")) {
        if (kv.containsKey(operation.path("drop").asText())) {
          applyChange(operation.path("drop").asText(), null, 0);
        }
      } else {
        applyChange(
            operation.path("write").asText(),
            operation.path("value").deepCopy(),
            operation.path("hold").asLong(0));
      }
    }
    replyOk(reply, Json.object().put("epoch", revision));
    notifyWatches();
  }

  /**
   * Replaces the first value whose key has a prefix by an unreadable one, as a fault of the store
   * or of another program would.
   */
  void corrupt(String prefix) {
    String key = kv.ceilingKey(prefix);
    if (key == null || !key.startsWith(prefix)) {
      throw new IllegalStateException(
          "cannot corrupt at " + cluster.now + " ms: no key starts with \"" + prefix + "\"");
    }
    StoredValue value = kv.get(key);
    kv.put(key, new StoredValue(Json.array().add("spoilt"), value.revision, value.leaseId));
  }

  /** Returns the value of a key, or null if there is none. */
  JsonNode storedValue(String key) {
    return kv.containsKey(key) ? kv.get(key).json : null;
  }

  /** Returns the number of keys with a prefix. */
  int countKeys(String prefix) {
    int count = 0;
    for (String key : kv.keySet()) {
      count += key.startsWith(prefix) ? 1 : 0;
    }
    return count;
  }
}
