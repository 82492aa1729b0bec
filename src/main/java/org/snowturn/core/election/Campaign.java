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
 * What a node that does not lead does about the leader key: reads it, watches it while another node
 * owns it, and claims it once it is vacant.
 */
final class Campaign {
  /** Nobody leads while reads and claims fail, so they are repeated soon. */
  private static final long MIN_RETRY_MS = 100;

  private static final long MAX_RETRY_MS = 400;

  /** A restarted process leaves the claim to peers that are up for so long. */
  private static final long START_DELAY_MS = 400;

  /** A node that lacks a link leaves the claim to one that has all for so long. */
  private static final long DEFER_MS = 1_500;

  /** What a campaign tells the election. */
  interface Listener {
    /** The leader key is vacant: what is due for a candidate is to be done at once. */
    void vacant();

    /** This node owns the leader key, whose version is this. */
    void elected(long token);
  }

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final GivenPromises givenPromises;
  private final Listener listener;
  private final Backoff backoff;
  private BooleanSupplier betterCandidate = () -> false;
  private long nextAt;
  private long holdOffUntil;
  private long watchRevision;
  private boolean requestOpen;
  private boolean watching;
  private boolean deferred;
  private boolean claimInDoubt;

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

  /** Asks this before a claim: whether a peer is better connected than this node. */
  void deferIf(BooleanSupplier isBetterCandidate) {
    betterCandidate = isBetterCandidate;
  }

  /** Whether this node may own the leader key, or come to own it by a claim that is under way. */
  boolean mayOwnLeaderKey() {
    return state.role().mayOwnLeaderKey() || claimInDoubt;
  }

  /** Leaves a vacant leader key to other nodes until this moment, or an earlier call's if later. */
  void holdOffUntil(long at) {
    holdOffUntil = Math.max(holdOffUntil, at);
  }

  /** Does the next step not before this moment. */
  void discoverAt(long at) {
    nextAt = at;
  }

  /** Reads the leader key after a delay that grows from one failure to the next. */
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

  /** Does what is due on a node that does not lead. */
  void tick() {
    if (!watching && state.role() == Role.FOLLOWER) {
      watch();
    }
    if (requestOpen || runtime.now() < nextAt) {
      return;
    }
    switch (state.role()) {
      case DISCOVERING -> readLeaderKey();
      case CANDIDATE -> run();
      case FOLLOWER, CLAIMING, LEADER -> {}
    }
  }

  private void run() {
    if (givenPromises.forbidClaim()) {
      return;
    }
    if (!deferred && betterCandidate.getAsBoolean()) {
      // Only once, so that somebody leads in any case.
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
        orRetry(
            body -> {
              watchRevision = StateMessage.revision(body);
              backoff.reset();
              List<StateMessage.Entry> found = StateMessage.entries(body);
              if (found.isEmpty()) {
                vacant();
              } else {
                owned(found.get(0));
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
          if (!outcome.succeeded(status)) {
            retryDiscovery();
            return;
          }
          try {
            watchRevision = Math.max(watchRevision, StateMessage.revision(body));
            List<StateMessage.Entry> changes = StateMessage.changes(body);
            if (!changes.isEmpty()) {
              changed(changes.get(changes.size() - 1));
            }
          } catch (MalformedException e) {
            retryDiscovery();
          }
        });
  }

  private void changed(StateMessage.Entry leaderKey) {
    if (leaderKey.value() == null) {
      vacant();
    } else {
      owned(leaderKey);
    }
  }

  private void vacant() {
    state.becomeCandidate();
    nextAt = Math.max(runtime.now(), holdOffUntil);
    listener.vacant();
  }

  private void owned(StateMessage.Entry leaderKey) {
    JsonNode value = leaderKey.value();
    String owner = ElectionRequests.owner(value);
    state.observeToken(leaderKey.version());
    state.setLeader(owner);
    if (node.equals(owner) && !requests.isOwn(value)) {
      endPredecessor(ElectionRequests.leaseOf(value), leaderKey.version());
      return;
    }
    state.follow();
    deferred = false;
  }

  /**
   * The leader key belongs to an earlier process of this node, which has ended, since this one runs
   * in its place. Peers are released from their promises to it, and go first where they are ahead
   * of a process that has just begun.
   */
  private void endPredecessor(long predecessorLease, long predecessorToken) {
    runtime.broadcast(new PeerMessage.StepDown(node, predecessorLease, predecessorToken));
    if (givenPromises.anyStandbyPeer()) {
      holdOffUntil(runtime.now() + START_DELAY_MS);
    }
    revokeAndDiscover(predecessorLease);
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
    lease.requested();
    requests.acquireLease(
        lease.ttlMs(),
        orRetry(
            body -> {
              lease.granted(StateMessage.leaseId(body));
              if (givenPromises.forbidClaim()) {
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
          if (outcome.succeeded(status) && elected(body)) {
            return;
          }
          if (outcome == Outcome.UNKNOWN) {
            // The claim may still be executed: only ending its lease makes it harmless.
            claimInDoubt = true;
            revokeAndDiscover(lease.id());
          } else if (outcome.conflict(status)) {
            discoverNow(); // another node was first
          } else {
            retryDiscovery();
          }
        });
  }

  private boolean elected(JsonNode reply) {
    try {
      listener.elected(StateMessage.revision(reply));
      return true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.REQUEST, "claim")
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
  }

  /** Takes the body of a successful reply. */
  private interface BodyHandler {
    void accept(JsonNode body) throws MalformedException;
  }

  /** Handles the reply to the open request; one that cannot be used is a failure. */
  private ReplyHandler orRetry(BodyHandler then) {
    return (outcome, status, body) -> {
      requestOpen = false;
      if (!outcome.succeeded(status)) {
        retryDiscovery();
        return;
      }
      try {
        then.accept(body);
      } catch (MalformedException e) {
        retryDiscovery();
      }
    };
  }
}
