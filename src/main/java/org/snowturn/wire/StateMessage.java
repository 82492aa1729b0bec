package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Builds requests to the state service, a consensus-backed key-value store, and parses replies. */
public final class StateMessage {
  /** Path to which transactions are posted. */
  public static final String TXN_PATH = "/txn";

  private static final String KEYS_PATH = "/kv";

  // Field names in requests and replies.
  private static final String KEY = "path";
  private static final String VALUE = "value";
  private static final String VERSION = "stamp";
  private static final String LEASE = "hold";
  private static final String WRITTEN_KEY = "write";
  private static final String DELETED_KEY = "drop";

  private StateMessage() {}

  /** Returns the path for reading one key. */
  public static String keyPath(String key) {
    return KEYS_PATH + "/" + key;
  }

  /** Builds the path for reading a range of keys; parameters keep the order of the calls. */
  public static final class RangePath {
    private final StringBuilder path;

    /** Creates a path for all keys with a prefix. */
    public RangePath(String prefix) {
      path = new StringBuilder(KEYS_PATH).append("?prefix=").append(prefix);
    }

    /** Restricts the range to the keys that sort after this one. */
    public RangePath after(String key) {
      path.append("&since=").append(key);
      return this;
    }

    /** Restricts the range to a maximum number of keys. */
    public RangePath limit(int maxKeys) {
      path.append("&most=").append(maxKeys);
      return this;
    }

    @Override
    public String toString() {
      return path.toString();
    }
  }

  /**
   * A key, its value and its version.
   *
   * @param value value of the key; null if the key was deleted
   * @param version revision of the store at which the key last changed
   */
  public record Entry(String key, JsonNode value, long version) {}

  /**
   * A condition of a transaction.
   *
   * @param version version that the key must have; 0 if the key must not exist
   */
  public record Condition(String key, long version) {}

  /**
   * A change of one key.
   *
   * @param value new value; null deletes the key
   * @param lease id of the lease to attach to the key; 0 for none
   */
  public record Change(String key, JsonNode value, long lease) {
    /** Creates a change that writes a value without a lease. */
    public static Change put(String key, JsonNode value) {
      return new Change(key, value, 0);
    }

    /** Creates a change that deletes a key. */
    public static Change delete(String key) {
      return new Change(key, null, 0);
    }
  }

  /** Returns the body of a transaction, which applies all changes if all conditions hold. */
  public static JsonNode transaction(List<Condition> conditions, List<Change> changes) {
    ObjectNode object = Json.object();
    ArrayNode conditionNodes = object.putArray("when");
    for (Condition condition : conditions) {
      conditionNodes.addObject().put(KEY, condition.key).put(VERSION, condition.version);
    }
    ArrayNode changeNodes = object.putArray("apply");
    changes.forEach(change -> changeNodes.add(changeNode(change)));
    return object;
  }

  /** Returns a change as a transaction lists it. */
  static ObjectNode changeNode(Change change) {
    ObjectNode node = Json.object();
    if (change.value == null) {
      return node.put(DELETED_KEY, change.key);
    }
    node.put(WRITTEN_KEY, change.key).set(VALUE, change.value);
    if (change.lease != 0) {
      node.put(LEASE, change.lease);
    }
    return node;
  }

  /** Returns the body of a request for a lease with a time-to-live in milliseconds. */
  public static JsonNode leaseRequest(long ttlMs) {
    return Json.object().put("life_ms", ttlMs);
  }

  /** Returns the id of the lease in a reply to a request for a lease. */
  public static long leaseId(JsonNode body) throws MalformedException {
    return new Fields(body).integer(LEASE, 0, Long.MAX_VALUE);
  }

  /** Returns the revision of the store in a reply. */
  public static long revision(JsonNode body) throws MalformedException {
    return new Fields(body).integer("epoch", 0, Long.MAX_VALUE);
  }

  /** Returns the keys whose conditions made a transaction fail. */
  public static List<String> failedKeys(JsonNode body) {
    List<String> keys = new ArrayList<>();
    body.path("failed").forEach(node -> keys.add(node.asText()));
    return keys;
  }

  /** Returns the entry in a reply to a read of one key. */
  public static Entry entry(JsonNode body) throws MalformedException {
    Fields fields = new Fields(body);
    return new Entry(
        fields.text(KEY), fields.node(VALUE), fields.integer(VERSION, 0, Long.MAX_VALUE));
  }

  /** Returns the id of the lease attached to the key in a reply to a read; 0 if it has none. */
  public static long attachedLease(JsonNode body) {
    return body.path(LEASE).asLong(0);
  }

  /** Returns the entries in a reply to a read of a range. */
  public static List<Entry> entries(JsonNode body) throws MalformedException {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode node : new Fields(body).node("entries")) {
      entries.add(entry(node));
    }
    return entries;
  }

  /** Returns whether the range continues after the entries of this reply. */
  public static boolean isTruncated(JsonNode body) {
    return body.path("truncated").asBoolean(false);
  }

  /**
   * Returns the changes in a reply to a watch, the oldest first. The state service lists them in
   * any order.
   *
   * @return the changes; deleted keys have a null value
   */
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
    changes.sort(Comparator.comparingLong(Entry::version));
    return changes;
  }
}
