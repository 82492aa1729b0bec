package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A state service as PROTOCOL describes it: keys with versions, transactions, leases and watches,
 * with its limits. Each node has an address of its own, so that a test can tell the nodes apart.
 */
final class StateService implements AutoCloseable {
  private record Entry(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Lease {
    final long lifeMs;
    long endsAt;

    Lease(long lifeMs) {
      this.lifeMs = lifeMs;
      this.endsAt = Net.nowMs() + lifeMs;
    }
  }

  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_BYTES = 512 * 1024;
  private static final int MAX_TXN_BYTES = 64 * 1024;
  private static final int LATENCY_MS = 2;

  private final Limits limits;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Thread reaper;
  private long epoch = 1;
  private long droppedUntil;
  private long nextLease = 1;
  private double requestTokens;
  private double changeTokens;
  private long refilledAt = Net.nowMs();
  private boolean closed;
  private boolean isOut;

  record Limits(double rps, double writeRps, double valueKb, int txnOps) {}

  StateService(Limits limits) {
    this.limits = limits;
    requestTokens = limits.rps;
    changeTokens = limits.writeRps;
    reaper = new Thread(this::reap, "state-leases");
    reaper.setDaemon(true);
    reaper.start();
  }

  /** Opens an address for one node and returns its port. */
  int open() throws Exception {
    HttpServer server = Net.server(0, this::handle);
    servers.add(server);
    return server.getAddress().getPort();
  }

  private void reap() {
    while (true) {
      synchronized (this) {
        if (closed) {
          return;
        }
        long now = Net.nowMs();
        if (isOut) {
          leases.values().forEach(lease -> lease.endsAt = now + lease.lifeMs);
        }
        for (Long id : List.copyOf(leases.keySet())) {
          if (now >= leases.get(id).endsAt) {
            end(id);
          }
        }
      }
      Net.sleep(20);
    }
  }

  private void end(long id) {
    leases.remove(id);
    List<String> attached = new ArrayList<>();
    keys.forEach(
        (key, entry) -> {
          if (entry.hold == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(key -> set(key, null, 0));
      notifyAll();
    }
  }

  private void set(String key, JsonNode value, long hold) {
    if (value == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Entry(value, epoch, hold));
    }
    changes.add(new Change(key, value, epoch));
    while (changes.size() > KEPT_CHANGES) {
      droppedUntil = changes.poll().stamp;
    }
  }

  /**
   * Begins or ends an outage: all requests get 503 and are not executed, open watches remain open,
   * and afterwards every lease has its full time again.
   */
  synchronized void setOutage(boolean isOutNow) {
    isOut = isOutNow;
    leases.values().forEach(lease -> lease.endsAt = Net.nowMs() + lease.lifeMs);
    notifyAll();
  }

  private synchronized boolean isOut() {
    return isOut;
  }

  /** Takes tokens; returns false if a limit is exceeded. */
  private synchronized boolean admit(int changeCount) {
    long now = Net.nowMs();
    double seconds = (now - refilledAt) / 1000.0;
    refilledAt = now;
    requestTokens = Math.min(limits.rps, requestTokens + seconds * limits.rps);
    changeTokens = Math.min(limits.writeRps, changeTokens + seconds * limits.writeRps);
    if (requestTokens < 1 || changeTokens < changeCount) {
      return false;
    }
    requestTokens -= 1;
    changeTokens -= changeCount;
    return true;
  }

  private void handle(HttpExchange exchange) throws Exception {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    Net.sleep(LATENCY_MS);
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = Net.query(exchange.getRequestURI().getRawQuery());
    if (isOut()) {
      Net.reply(exchange, 503, null);
    } else if (method.equals("POST") && path.equals("/txn")) {
      transact(exchange, bytes);
    } else if (!admit(0)) {
      Net.reply(exchange, 429, null);
    } else if (path.equals("/watch")) {
      watch(exchange, query);
    } else if (path.equals("/kv")) {
      range(exchange, query);
    } else if (path.startsWith("/kv/")) {
      read(exchange, path.substring(4));
    } else if (method.equals("POST") && path.equals("/leases")) {
      long life = Net.parse(bytes).path("life_ms").asLong();
      if (life < 100 || life > 600_000) {
        Net.reply(exchange, 400, null);
        return;
      }
      long id;
      synchronized (this) {
        id = nextLease++;
        leases.put(id, new Lease(life));
      }
      Net.reply(exchange, 200, Net.object().put("hold", id));
    } else if (path.startsWith("/leases/")) {
      lease(exchange, method, path.substring(8));
    } else {
      Net.reply(exchange, 400, null);
    }
  }

  private void lease(HttpExchange exchange, String method, String rest) throws Exception {
    long id = Long.parseLong(rest.replace("/renew", ""));
    boolean found;
    synchronized (this) {
      Lease lease = leases.get(id);
      found = lease != null && Net.nowMs() < lease.endsAt;
      if (found && method.equals("DELETE")) {
        end(id);
      } else if (found) {
        lease.endsAt = Net.nowMs() + lease.lifeMs;
      }
    }
    Net.reply(exchange, found ? 200 : 404, Net.object().put("hold", id));
  }

  private void read(HttpExchange exchange, String key) throws Exception {
    ObjectNode body = Net.object();
    synchronized (this) {
      Entry entry = keys.get(key);
      if (entry == null) {
        body.put("epoch", epoch);
      } else {
        put(body, key, entry);
      }
    }
    Net.reply(exchange, body.has("path") ? 200 : 404, body);
  }

  private static void put(ObjectNode node, String key, Entry entry) {
    node.put("path", key).put("stamp", entry.stamp).set("value", entry.value);
    if (entry.hold != 0) {
      node.put("hold", entry.hold);
    }
  }

  private void range(HttpExchange exchange, Map<String, String> query) throws Exception {
    String prefix = query.getOrDefault("prefix", "");
    String since = query.getOrDefault("since", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    ObjectNode body = Net.object();
    ArrayNode entries = body.putArray("entries");
    boolean truncated = false;
    synchronized (this) {
      int size = 0;
      String from = since.compareTo(prefix) > 0 ? since : prefix;
      for (var item : keys.tailMap(from, true).entrySet()) {
        if (!item.getKey().startsWith(prefix)) {
          break;
        }
        if (!since.isEmpty() && item.getKey().compareTo(since) <= 0) {
          continue;
        }
        size += item.getKey().length() + 60 + Net.bytes(item.getValue().value).length;
        if (entries.size() >= most || size > MAX_BYTES) {
          truncated = true;
          break;
        }
        put(entries.addObject(), item.getKey(), item.getValue());
      }
      body.put("truncated", truncated).put("epoch", epoch);
    }
    Net.reply(exchange, 200, body);
  }

  private void watch(HttpExchange exchange, Map<String, String> query) throws Exception {
    String prefix = query.getOrDefault("prefix", "");
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long until = Net.nowMs() + Long.parseLong(query.getOrDefault("hold_ms", "0"));
    ObjectNode body = Net.object();
    synchronized (this) {
      while (true) {
        if (since < droppedUntil) {
          body = null;
          break;
        }
        ArrayNode news = Net.array();
        for (Change change : changes) {
          if (change.stamp > since && change.key.startsWith(prefix)) {
            ObjectNode node = news.addObject();
            if (change.value == null) {
              node.put("drop", change.key);
            } else {
              node.put("write", change.key).set("value", change.value);
            }
            node.put("stamp", change.stamp);
          }
        }
        long left = until - Net.nowMs();
        if (closed || (!isOut && (!news.isEmpty() || left <= 0))) {
          body.put("epoch", epoch).set("news", news);
          break;
        }
        wait(isOut ? 1_000 : left);
      }
    }
    Net.reply(exchange, body == null ? 410 : 200, body);
  }

  private void transact(HttpExchange exchange, byte[] bytes) throws Exception {
    JsonNode txn = Net.parse(bytes);
    int ops = txn.path("apply").size();
    if (!admit(ops)) {
      Net.reply(exchange, 429, null);
      return;
    }
    boolean valid =
        bytes.length <= MAX_TXN_BYTES
            && ops <= limits.txnOps
            && txn.path("when").size() <= 4 * limits.txnOps;
    for (JsonNode op : txn.path("apply")) {
      valid &= !op.has("write") || Net.bytes(op.path("value")).length <= limits.valueKb * 1024;
    }
    if (!valid) {
      Net.reply(exchange, 400, Net.object().put("error", "limit"));
      return;
    }
    ObjectNode body = Net.object();
    int status = 200;
    synchronized (this) {
      for (JsonNode op : txn.path("apply")) {
        long hold = op.path("hold").asLong(0);
        if (hold != 0 && !leases.containsKey(hold)) {
          status = 400;
        }
      }
      ArrayNode failed = Net.array();
      for (JsonNode when : txn.path("when")) {
        Entry entry = keys.get(when.path("path").asText());
        if ((entry == null ? 0 : entry.stamp) != when.path("stamp").asLong()) {
          failed.add(when.path("path").asText());
        }
      }
      if (isOut) {
        status = 503;
      } else if (status == 400) {
        body.put("error", "no such lease");
      } else if (!failed.isEmpty()) {
        status = 409;
        body.put("epoch", epoch).set("failed", failed);
      } else {
        if (ops > 0) {
          epoch++;
        }
        for (JsonNode op : txn.path("apply")) {
          if (op.has("write")) {
            set(op.path("write").asText(), op.path("value"), op.path("hold").asLong(0));
          } else if (keys.containsKey(op.path("drop").asText())) {
            set(op.path("drop").asText(), null, 0);
          }
        }
        notifyAll();
        body.put("epoch", epoch);
      }
    }
    Net.reply(exchange, status, body);
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    servers.forEach(server -> server.stop(0));
  }
}
