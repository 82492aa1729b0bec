import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service, as the protocol describes it. */
final class StateService {
  /** Order of the changes in the answer to a watch. */
  enum NewsOrder {
    OLDEST_FIRST,
    NEWEST_FIRST
  }

  private record Value(JsonNode json, long stamp, long hold) {}

  private record Change(long epoch, String path, JsonNode json) {}

  private static final class Lease {
    long lifeMs;
    long endsAt;
  }

  private static final int KEPT_CHANGES = 10_000;

  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Value> values = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long forgottenEpoch;
  private long epoch;
  private long lastLease;
  private double requestsLeft;
  private double writesLeft;
  private long refilledAt = now();
  private boolean outage;

  /** Delay of every answer but those to watches. */
  volatile long delayMs = 2;

  volatile NewsOrder newsOrder = NewsOrder.OLDEST_FIRST;

  StateService(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
    requestsLeft = rps;
    writesLeft = writeRps;
    Thread sweeper = new Thread(this::sweep, "leases");
    sweeper.setDaemon(true);
    sweeper.start();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void sweep() {
    while (true) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        endLeases();
      }
    }
  }

  private void endLeases() {
    if (outage) {
      return;
    }
    for (Long id : List.copyOf(leases.keySet())) {
      if (now() > leases.get(id).endsAt) {
        end(id);
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> attached = new ArrayList<>();
    values.forEach(
        (path, value) -> {
          if (value.hold == id) {
            attached.add(path);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(path -> apply(path, null, 0));
      notifyAll();
    }
  }

  synchronized void setOutage(boolean isOut) {
    if (outage && !isOut) {
      leases.values().forEach(lease -> lease.endsAt = now() + lease.lifeMs);
    }
    outage = isOut;
    notifyAll();
  }

  private void apply(String path, JsonNode json, long hold) {
    if (json == null) {
      if (values.remove(path) == null) {
        return;
      }
    } else {
      values.put(path, new Value(json, epoch, hold));
    }
    changes.add(new Change(epoch, path, json));
    while (changes.size() > KEPT_CHANGES) {
      forgottenEpoch = changes.remove(0).epoch;
    }
  }

  /** Returns the value of a key; null if there is none. */
  synchronized JsonNode value(String path) {
    Value value = values.get(path);
    return value == null ? null : value.json;
  }

  /** Returns a handler for the requests of one node. */
  Http.Handler door() {
    return (method, path, query, body, bytes) -> {
      if (path.equals("/watch")) {
        return watch(query);
      }
      Thread.sleep(delayMs);
      synchronized (this) {
        return handle(method, path, query, body);
      }
    };
  }

  private boolean spend(double writes) {
    double elapsedS = (now() - refilledAt) / 1000.0;
    refilledAt = now();
    requestsLeft = Math.min(rps, requestsLeft + elapsedS * rps);
    writesLeft = Math.min(writeRps, writesLeft + elapsedS * writeRps);
    if (requestsLeft < 1 || writesLeft < writes) {
      return false;
    }
    requestsLeft -= 1;
    writesLeft -= writes;
    return true;
  }

  private Http.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) {
    if (outage) {
      return Http.Answer.of(503, null);
    }
    endLeases();
    int writes = path.equals("/txn") ? body.path("apply").size() : 0;
    if (!spend(writes)) {
      return Http.Answer.of(429, null);
    }
    if (path.equals("/txn")) {
      return transact(body);
    }
    if (path.equals("/kv")) {
      return range(query);
    }
    if (path.startsWith("/kv/")) {
      String key = path.substring("/kv/".length());
      Value value = values.get(key);
      return value == null
          ? Http.Answer.of(404, Http.object().put("epoch", epoch))
          : Http.Answer.of(200, entry(key, value));
    }
    if (path.equals("/leases")) {
      Lease lease = new Lease();
      lease.lifeMs = body.path("life_ms").asLong();
      if (lease.lifeMs < 100 || lease.lifeMs > 600_000) {
        return Http.Answer.of(400, null);
      }
      lease.endsAt = now() + lease.lifeMs;
      leases.put(++lastLease, lease);
      return Http.Answer.of(200, Http.object().put("hold", lastLease));
    }
    if (path.startsWith("/leases/")) {
      long id = Long.parseLong(path.split("/")[2]);
      Lease lease = leases.get(id);
      if (lease == null) {
        return Http.Answer.of(404, null);
      }
      if (method.equals("DELETE")) {
        end(id);
      } else {
        lease.endsAt = now() + lease.lifeMs;
      }
      return Http.Answer.of(200, Http.object().put("hold", id));
    }
    return Http.Answer.of(400, null);
  }

  private static ObjectNode entry(String path, Value value) {
    ObjectNode entry = Http.object().put("path", path).put("stamp", value.stamp);
    if (value.hold != 0) {
      entry.put("hold", value.hold);
    }
    entry.set("value", value.json);
    return entry;
  }

  private Http.Answer range(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    String since = query.getOrDefault("since", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    ArrayNode entries = Http.array();
    boolean isTruncated = false;
    int bytes = 0;
    for (Map.Entry<String, Value> stored : values.tailMap(prefix, true).entrySet()) {
      if (!stored.getKey().startsWith(prefix)) {
        break;
      }
      if (stored.getKey().compareTo(since) <= 0) {
        continue;
      }
      ObjectNode entry = entry(stored.getKey(), stored.getValue());
      bytes += entry.toString().length() + 1;
      if (entries.size() == most || (bytes > 500 * 1024 && entries.size() > 0)) {
        isTruncated = true;
        break;
      }
      entries.add(entry);
    }
    ObjectNode answer = Http.object();
    answer.set("entries", entries);
    return Http.Answer.of(200, answer.put("truncated", isTruncated).put("epoch", epoch));
  }

  private Http.Answer transact(JsonNode body) {
    JsonNode apply = body.path("apply");
    boolean isInvalid =
        apply.size() > txnOps
            || body.path("when").size() > 4 * txnOps
            || body.toString().getBytes(StandardCharsets.UTF_8).length > 64 * 1024;
    for (JsonNode change : apply) {
      isInvalid |=
          change.has("write")
              && change.path("value").toString().getBytes(StandardCharsets.UTF_8).length
                  > valueBytes;
    }
    if (isInvalid) {
      return Http.Answer.of(400, Http.object().put("error", "too large"));
    }
    for (JsonNode change : apply) {
      if (change.has("write") && change.has("hold")
          && !leases.containsKey(change.path("hold").asLong())) {
        return Http.Answer.of(400, Http.object().put("error", "no such lease"));
      }
    }
    ArrayNode failed = Http.array();
    for (JsonNode condition : body.path("when")) {
      Value value = values.get(condition.path("path").asText());
      if ((value == null ? 0 : value.stamp) != condition.path("stamp").asLong()) {
        failed.add(condition.path("path").asText());
      }
    }
    if (failed.size() > 0) {
      ObjectNode answer = Http.object().put("epoch", epoch);
      answer.set("failed", failed);
      return Http.Answer.of(409, answer);
    }
    if (apply.size() > 0) {
      epoch++;
      for (JsonNode change : apply) {
        if (change.has("write")) {
          apply(change.path("write").asText(), change.path("value"), change.path("hold").asLong(0));
        } else {
          apply(change.path("drop").asText(), null, 0);
        }
      }
      notifyAll();
    }
    return Http.Answer.of(200, Http.object().put("epoch", epoch));
  }

  private synchronized Http.Answer watch(Map<String, String> query) throws InterruptedException {
    if (outage) {
      return Http.Answer.of(503, null);
    }
    if (!spend(0)) {
      return Http.Answer.of(429, null);
    }
    String prefix = query.getOrDefault("prefix", "");
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long until = now() + Math.min(60_000, Long.parseLong(query.getOrDefault("hold_ms", "0")));
    while (true) {
      if (!outage) {
        if (since < forgottenEpoch) {
          return Http.Answer.of(410, Http.object().put("epoch", epoch));
        }
        List<Change> news = new ArrayList<>();
        for (int i = changes.size() - 1; i >= 0 && changes.get(i).epoch > since; i--) {
          if (changes.get(i).path.startsWith(prefix)) {
            news.add(changes.get(i));
          }
        }
        if (!news.isEmpty() || now() >= until) {
          if (newsOrder == NewsOrder.OLDEST_FIRST) {
            Collections.reverse(news);
          }
          ArrayNode list = Http.array();
          for (Change change : news) {
            ObjectNode node = list.addObject();
            if (change.json == null) {
              node.put("drop", change.path);
            } else {
              node.put("write", change.path).set("value", change.json);
            }
            node.put("stamp", change.epoch);
          }
          ObjectNode answer = Http.object().put("epoch", epoch);
          answer.set("news", list);
          return Http.Answer.of(200, answer);
        }
      }
      wait(Math.max(1, Math.min(200, until - now())));
    }
  }
}
