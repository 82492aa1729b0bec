package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The messages of the state service (a consensus-backed key-value store), in standard terms. */
public final class StateMessage {
  /** The path of transactions. */
  public static final String TXN_PATH = "/txn";

  private static final String KEYS_PATH = "/kv";

  private static final String KEY = "path";
  private static final String VALUE = "value";
  private static final String VERSION = "stamp";
  private static final String LEASE = "hold";
  private static final String WRITTEN_KEY = "write";
  private static final String DELETED_KEY = "drop";

  private StateMessage() {}

  /** The path at which one key is read. */
  public static String keyPath(String key) {
    return KEYS_PATH + "/" + key;
  }

  /** The path at which a range of keys is read; parameters appear in the order of the calls. */
  public static final class RangePath {
    private final StringBuilder path;

    /** All keys with a prefix. */
    public RangePath(String prefix) {
      path = new StringBuilder(KEYS_PATH).append("?prefix=").append(prefix);
    }

    /** Only keys that sort after this one. */
    public RangePath after(String key) {
      path.append("&since=").append(key);
      return this;
    }

    /** At most so many keys. */
    public RangePath limit(int keys) {
      path.append("&most=").append(keys);
      return this;
    }

    @Override
    public String toString() {
      return path.toString();
    }
  }

  /** A key with its value (null in a removal) and the version at which it last changed. */
  public record Entry(String key, JsonNode value, long version) {}

  /** A condition: the key has this version; 0: it does not exist. */
  public record Condition(String key, long version) {}

  /** A change: a null value removes the key; lease 0 attaches none. */
  public record Change(String key, JsonNode value, long lease) {
    /** Writes a value that no lease holds. */
    public static Change put(String key, JsonNode value) {
      return new Change(key, value, 0);
    }

    /** Removes a key. */
    public static Change delete(String key) {
      return new Change(key, null, 0);
    }
  }

  /** The body of a transaction. */
  public static JsonNode transaction(List<Condition> conditions, List<Change> changes) {
    ObjectNode object = Json.object();
    ArrayNode when = object.putArray("when");
    for (Condition condition : conditions) {
      when.addObject().put(KEY, condition.key).put(VERSION, condition.version);
    }
    ArrayNode apply = object.putArray("apply");
    for (Change change : changes) {
      ObjectNode node = apply.addObject();
      if (change.value == null) {
        node.put(DELETED_KEY, change.key);
      } else {
        node.put(WRITTEN_KEY, change.key).set(VALUE, change.value);
        if (change.lease != 0) {
          node.put(LEASE, change.lease);
        }
      }
    }
    return object;
  }

  /** The body that asks for a lease. */
  public static JsonNode leaseRequest(long ttlMs) {
    return Json.object().put("life_ms", ttlMs);
  }

  /** The lease in a reply. */
  public static long leaseId(JsonNode body) throws MalformedException {
    return new Fields(body).integer(LEASE, 0, Long.MAX_VALUE);
  }

  /** The revision in a reply. */
  public static long revision(JsonNode body) throws MalformedException {
    return new Fields(body).integer("epoch", 0, Long.MAX_VALUE);
  }

  /** The keys that failed a transaction. */
  public static List<String> failedKeys(JsonNode body) {
    List<String> keys = new ArrayList<>();
    body.path("failed").forEach(node -> keys.add(node.asText()));
    return keys;
  }

  /** The single key of a read. */
  public static Entry entry(JsonNode body) throws MalformedException {
    Fields fields = new Fields(body);
    return new Entry(
        fields.text(KEY), fields.node(VALUE), fields.integer(VERSION, 0, Long.MAX_VALUE));
  }

  /** The lease that holds a read key, or 0. */
  public static long attachedLease(JsonNode body) {
    return body.path(LEASE).asLong(0);
  }

  /** The keys of a range. */
  public static List<Entry> entries(JsonNode body) throws MalformedException {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode node : new Fields(body).node("entries")) {
      entries.add(entry(node));
    }
    return entries;
  }

  /** Whether a range was cut short. */
  public static boolean isTruncated(JsonNode body) {
    return body.path("truncated").asBoolean(false);
  }

  /** The changes in a watch's reply; removals have a null value. */
  public static List<Entry> changes(JsonNode body) throws MalformedException {
    List<Entry> changes = new ArrayList<>();
    for (JsonNode node : new Fields(body).node("news")) {
      Fields fields = new Fields(node);
      long version = fields.integer(VERSION, 0, Long.MAX_VALUE);
      changes.add(
          fields.has(DELETED_KEY)
              ? new Entry(fields.text(DELETED_KEY), null, version)
              : new Entry(fields.text(WRITTEN_KEY), fields.node(VALUE), version));
    }
    return changes;
  }
}
