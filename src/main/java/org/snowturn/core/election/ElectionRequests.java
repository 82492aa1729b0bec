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

/** The requests to the state service on which leadership rests. */
final class ElectionRequests {
  private static final int TIMEOUT_MS = 1500;
  private static final int RENEWAL_TIMEOUT_MS = 1000;

  /** How long the state service holds a watch that has no changes to tell. */
  private static final int WATCH_HOLD_MS = 5_000;

  private static final int WATCH_TIMEOUT_MS = 7_000;

  private final CoreRuntime runtime;
  private final String node;
  private final String incarnation;

  /**
   * Requests of one process.
   *
   * @param incarnation a name that no other process of this node has had
   */
  ElectionRequests(CoreRuntime runtime, String node, String incarnation) {
    this.runtime = runtime;
    this.node = node;
    this.incarnation = incarnation;
  }

  /** Reads the leader key. */
  void readLeaderKey(ReplyHandler then) {
    runtime.callForAuthority(
        "GET", "/kv?prefix=" + StorageKeys.LEADER_PREFIX + "&most=5", null, TIMEOUT_MS, then);
  }

  /** Waits for changes of the leader key after a revision. */
  void watchLeaderKey(long sinceRevision, ReplyHandler then) {
    runtime.watchState(
        RequestClass.AUTHORITY,
        "/watch?prefix="
            + StorageKeys.LEADER_PREFIX
            + "&since="
            + sinceRevision
            + "&hold_ms="
            + WATCH_HOLD_MS,
        WATCH_TIMEOUT_MS,
        then);
  }

  /** Writes the leader key under a lease, by compare-and-swap: only if it does not exist. */
  void claimLeaderKey(long lease, ReplyHandler then) {
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
    runtime.callForAuthority("POST", "/txn", txn, TIMEOUT_MS, then);
  }

  /** Whether this process wrote a value of the leader key. */
  boolean isOwn(JsonNode leaderKey) {
    return incarnation.equals(leaderKey.path("inc").asText());
  }

  /** Which node wrote a value of the leader key; null if it does not say. */
  static String owner(JsonNode leaderKey) {
    return leaderKey.path("node").asText(null);
  }

  /** The lease that a value of the leader key is attached to. */
  static long leaseOf(JsonNode leaderKey) {
    return leaderKey.path("lease").asLong();
  }

  /** Asks for a lease. */
  void acquireLease(long ttlMs, ReplyHandler then) {
    runtime.callForAuthority("POST", "/leases", StateMessage.leaseRequest(ttlMs), TIMEOUT_MS, then);
  }

  /** Renews a lease. */
  void renewLease(long lease, ReplyHandler then) {
    runtime.callForAuthority("POST", "/leases/" + lease + "/renew", null, RENEWAL_TIMEOUT_MS, then);
  }

  /** Ends a lease, and with it the leader key that is attached to it. */
  void revokeLease(long lease, ReplyHandler then) {
    runtime.callForAuthority("DELETE", "/leases/" + lease, null, TIMEOUT_MS, then);
  }

  /** The same, where nothing depends on whether it succeeds. */
  void revokeLease(long lease) {
    revokeLease(lease, (outcome, status, body) -> {});
  }
}
