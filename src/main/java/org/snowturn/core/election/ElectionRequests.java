package org.snowturn.core.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.CoreRuntime.ReplyHandler;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/** The requests to the state service by which a node gains and keeps leadership. */
final class ElectionRequests {
  /** Timeout of all requests except renewals and watches. */
  private static final int TIMEOUT_MS = 1500;

  /** Timeout of a lease renewal. */
  private static final int RENEWAL_TIMEOUT_MS = 1000;

  /** Time after which the state service answers a watch that has seen no change. */
  private static final int WATCH_HOLD_MS = 5_000;

  /** Timeout of a watch. */
  private static final int WATCH_TIMEOUT_MS = 7_000;

  private final CoreRuntime runtime;
  private final String node;
  private final String incarnation;

  /**
   * Creates the requests of one process.
   *
   * @param incarnation a unique identifier of this process among all processes of this node
   */
  ElectionRequests(CoreRuntime runtime, String node, String incarnation) {
    this.runtime = runtime;
    this.node = node;
    this.incarnation = incarnation;
  }

  /** Reads the leader key. */
  void readLeaderKey(ReplyHandler onReply) {
    runtime.callForAuthority(
        "GET", "/kv?prefix=" + StorageKeys.LEADER_PREFIX + "&most=5", null, TIMEOUT_MS, onReply);
  }

  /** Watches the leader key for changes after a revision. */
  void watchLeaderKey(long sinceRevision, ReplyHandler onReply) {
    runtime.watchState(
        RequestClass.AUTHORITY,
        "/watch?prefix="
            + StorageKeys.LEADER_PREFIX
            + "&since="
            + sinceRevision
            + "&hold_ms="
            + WATCH_HOLD_MS,
        WATCH_TIMEOUT_MS,
        onReply);
  }

  /** Writes the leader key under a lease if the key does not exist, by compare-and-swap. */
  void claimLeaderKey(long lease, ReplyHandler onReply) {
    JsonNode value =
        Json.object()
            .put("v", StorageKeys.FIRST_FORMAT)
            .put("node", node)
            .put("inc", incarnation)
            .put("lease", lease);
    JsonNode txn =
        StateMessage.transaction(
            List.of(new Condition(StorageKeys.LEADER, 0)),
            List.of(new Change(StorageKeys.LEADER, value, lease)));
    runtime.callForAuthority("POST", "/txn", txn, TIMEOUT_MS, onReply);
  }

  /** Returns whether this process wrote the given value of the leader key. */
  boolean isOwn(JsonNode leaderKey) {
    return incarnation.equals(leaderKey.path("inc").asText());
  }

  /** Returns the node that wrote the given value of the leader key; null if it names none. */
  static String owner(JsonNode leaderKey) {
    return leaderKey.path("node").asText(null);
  }

  /** Returns the ID of the lease to which the given value of the leader key is attached. */
  static long leaseOf(JsonNode leaderKey) {
    return leaderKey.path("lease").asLong();
  }

  /**
   * Requests a new lease.
   *
   * @param ttlMs the time-to-live of the lease, in milliseconds
   */
  void acquireLease(long ttlMs, ReplyHandler onReply) {
    runtime.callForAuthority(
        "POST", "/leases", StateMessage.leaseRequest(ttlMs), TIMEOUT_MS, onReply);
  }

  /** Renews a lease. */
  void renewLease(long lease, ReplyHandler onReply) {
    runtime.callForAuthority(
        "POST", "/leases/" + lease + "/renew", null, RENEWAL_TIMEOUT_MS, onReply);
  }

  /** Revokes a lease, which deletes the leader key that is attached to it. */
  void revokeLease(long lease, ReplyHandler onReply) {
    runtime.callForAuthority("DELETE", "/leases/" + lease, null, TIMEOUT_MS, onReply);
  }

  /** Revokes a lease and ignores the reply. */
  void revokeLease(long lease) {
    revokeLease(lease, (outcome, status, body) -> {});
  }
}
