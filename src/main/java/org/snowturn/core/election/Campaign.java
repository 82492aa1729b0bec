package org.snowturn.core.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.CoreRuntime.ReplyHandler;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Campaign for leadership of a node that is not the leader. The node reads the leader key, watches
 * it while another node owns it, and claims it when it is vacant.
 */
final class Campaign {
  /**
   * Minimum delay before a failed read or claim is retried. The cluster may have no leader while
   * reads and claims fail, so the delays are short.
   */
  private static final long MIN_RETRY_MS = 100;

  /** Maximum delay before a failed read or claim is retried. */
  private static final long MAX_RETRY_MS = 400;

  /**
   * Delay of the claim of a restarted process whose previous process owned the leader key. It gives
   * running peers precedence.
   */
  private static final long START_DELAY_MS = 400;

  /** Delay of the claim of a node while a peer is better connected. */
  private static final long DEFER_MS = 1_500;

  /** Handler of the events of a campaign. */
  interface Listener {
    /**
     * Called when this node finds the leader key vacant. The listener calls {@link Campaign#tick()}
     * so that a claim that is due is made at once.
     */
    void onVacant();

    /**
     * Called when this node has written the leader key.
     *
     * @param token the version of the leader key, which is the fencing token of the term
     */
    void onElected(long token);
  }

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final GivenPromises givenPromises;
  private final Listener listener;
  private final Backoff backoff;
  private BooleanSupplier isPeerBetterConnected = () -> false;
  private long nextAt;
  private long holdOffUntil;
  private long watchRevision;
  private boolean requestOpen;
  private boolean watching;
  private boolean deferred;
  private boolean claimInDoubt;

  /** Creates a campaign that starts by reading the leader key. */
  Campaign(
      CoreRuntime runtime,
      String node,
      ElectionRequests requests,
      ElectionState state,
      LeaderLease lease,
      GivenPromises givenPromises,
      Listener listener) {
    this.runtime = runtime;
    this.node = node;
    this.requests = requests;
    this.state = state;
    this.lease = lease;
    this.givenPromises = givenPromises;
    this.listener = listener;
    this.backoff = runtime.backoff(MIN_RETRY_MS, MAX_RETRY_MS);
  }

  /**
   * Sets the condition under which this node defers its claim once.
   *
   * @param isPeerBetterConnected returns whether a peer is better connected than this node
   */
  void deferClaimIf(BooleanSupplier isPeerBetterConnected) {
    this.isPeerBetterConnected = isPeerBetterConnected;
  }

  /** Returns whether this node may own the leader key now or by a claim that has no reply yet. */
  boolean isPossibleLeaderKeyOwner() {
    return state.role().isPossibleLeaderKeyOwner() || claimInDoubt;
  }

  /**
   * Makes no claim to a vacant leader key before a point in time. If an earlier call set a later
   * time, that time stays.
   *
   * @param at the earliest time of a claim, in milliseconds of the monotonic clock
   */
  void holdOffUntil(long at) {
    holdOffUntil = Math.max(holdOffUntil, at);
  }

  /**
   * Schedules the next read or claim.
   *
   * @param at the earliest time of the read or claim, in milliseconds of the monotonic clock
   */
  void discoverAt(long at) {
    nextAt = at;
  }

  /** Schedules a read of the leader key after a delay that grows with each failure. */
  void retryDiscovery() {
    state.discover();
    requestOpen = false;
    nextAt = runtime.now() + backoff.nextDelayMs(runtime.retryAfterMs());
  }

  private void discoverNow() {
    state.discover();
    requestOpen = false;
    nextAt = runtime.now();
  }

  /** Sends the request that is due, if any, on a node that is not the leader. */
  void tick() {
    if (!watching && state.role() == Role.FOLLOWER) {
      watch();
    }
    if (requestOpen || runtime.now() < nextAt) {
      return;
    }
    switch (state.role()) {
      case DISCOVERING -> readLeaderKey();
      case CANDIDATE -> claimOrDefer();
      case FOLLOWER, CLAIMING, LEADER -> {}
    }
  }

  private void claimOrDefer() {
    if (givenPromises.isClaimForbidden()) {
      return;
    }
    if (!deferred && isPeerBetterConnected.getAsBoolean()) {
      // Defers only once: a leader must be elected even if the better connected peer does not
      // claim the key.
      deferred = true;
      nextAt = runtime.now() + DEFER_MS;
      runtime.events().info(LogEvent.CANDIDACY_DEFERRED).with(LogField.NODE, node).write();
    } else {
      acquireLease();
    }
  }

  private void readLeaderKey() {
    requestOpen = true;
    requests.readLeaderKey(
        retryOnFailure(
            body -> {
              watchRevision = StateMessage.revision(body);
              backoff.reset();
              List<StateMessage.Entry> entries = StateMessage.entries(body);
              if (entries.isEmpty()) {
                onVacant();
              } else {
                onOwned(entries.get(0));
              }
            }));
  }

  private void watch() {
    watching = true;
    requests.watchLeaderKey(
        watchRevision,
        (outcome, status, body) -> {
          watching = false;
          if (state.role() != Role.FOLLOWER) {
            return;
          }
          if (!outcome.isSuccess(status)) {
            retryDiscovery();
            return;
          }
          try {
            watchRevision = Math.max(watchRevision, StateMessage.revision(body));
            List<StateMessage.Entry> changes = StateMessage.changes(body);
            if (!changes.isEmpty()) {
              onChanged(changes.get(changes.size() - 1));
            }
          } catch (MalformedException e) {
            retryDiscovery();
          }
        });
  }

  private void onChanged(StateMessage.Entry leaderKey) {
    if (leaderKey.value() == null) {
      onVacant();
    } else {
      onOwned(leaderKey);
    }
  }

  private void onVacant() {
    state.becomeCandidate();
    nextAt = Math.max(runtime.now(), holdOffUntil);
    listener.onVacant();
  }

  private void onOwned(StateMessage.Entry leaderKey) {
    JsonNode value = leaderKey.value();
    String owner = ElectionRequests.owner(value);
    state.observeToken(leaderKey.version());
    state.setLeader(owner);
    if (node.equals(owner) && !requests.isOwn(value)) {
      endPreviousTerm(ElectionRequests.leaseOf(value), leaderKey.version());
      return;
    }
    state.becomeFollower();
    deferred = false;
  }

  /**
   * Ends the term of the previous process of this node, which has exited but still owns the leader
   * key. Releases the peers from their promises to that process. If a peer is running, delays the
   * claim of this process, which has only just started.
   */
  private void endPreviousTerm(long previousLease, long previousToken) {
    runtime.broadcast(new PeerMessage.StepDown(node, previousLease, previousToken));
    if (givenPromises.hasStandbyPeer()) {
      holdOffUntil(runtime.now() + START_DELAY_MS);
    }
    revokeAndDiscover(previousLease);
  }

  private void revokeAndDiscover(long leaseId) {
    requestOpen = true;
    requests.revokeLease(
        leaseId,
        (outcome, status, body) -> {
          if (outcome != Outcome.ANSWERED && claimInDoubt) {
            runtime.retry(backoff, () -> revokeAndDiscover(leaseId));
            return;
          }
          claimInDoubt = false;
          if (outcome == Outcome.ANSWERED) {
            discoverNow();
          } else {
            retryDiscovery();
          }
        });
  }

  private void acquireLease() {
    requestOpen = true;
    lease.onRequestSent();
    requests.acquireLease(
        lease.ttlMs(),
        retryOnFailure(
            body -> {
              lease.onGranted(StateMessage.leaseId(body));
              if (givenPromises.isClaimForbidden()) {
                retryDiscovery();
                return;
              }
              state.claim();
              claim();
            }));
  }

  private void claim() {
    requestOpen = true;
    requests.claimLeaderKey(
        lease.id(),
        (outcome, status, body) -> {
          requestOpen = false;
          if (outcome.isSuccess(status) && startTerm(body)) {
            return;
          }
          if (outcome == Outcome.UNKNOWN) {
            // The claim may still be executed. It has no lasting effect once its lease is revoked.
            claimInDoubt = true;
            revokeAndDiscover(lease.id());
          } else if (outcome.isConflict(status)) {
            discoverNow(); // another node has written the leader key
          } else {
            retryDiscovery();
          }
        });
  }

  /**
   * Reports the election of this node to the listener.
   *
   * @return whether the reply is well-formed
   */
  private boolean startTerm(JsonNode reply) {
    try {
      listener.onElected(StateMessage.revision(reply));
      return true;
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.REQUEST, "claim", e);
      return false;
    }
  }

  /** Handler of the body of a successful reply. */
  private interface BodyHandler {
    void accept(JsonNode body) throws MalformedException;
  }

  /**
   * Creates a handler for the reply to the open request. If the request fails or the body is
   * malformed, the handler schedules another read of the leader key.
   *
   * @param onBody handles the body of a successful reply
   */
  private ReplyHandler retryOnFailure(BodyHandler onBody) {
    return (outcome, status, body) -> {
      requestOpen = false;
      if (!outcome.isSuccess(status)) {
        retryDiscovery();
        return;
      }
      try {
        onBody.accept(body);
      } catch (MalformedException e) {
        retryDiscovery();
      }
    };
  }
}
