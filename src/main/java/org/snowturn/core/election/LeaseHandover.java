package org.snowturn.core.election;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Handover of leadership to the peers when the state service answers a peer but not the leader. The
 * leader offers its lease, a peer revokes the lease in the state service, and the leader resigns.
 */
final class LeaseHandover {
  /**
   * Duration of failed renewals after which the leader offers its lease, without waiting for the
   * expiry of the lease.
   */
  private static final long OFFER_AFTER_MS = 1500;

  /** Time after which the leader resigns if no peer has confirmed the revocation of its lease. */
  private static final long OFFER_TIMEOUT_MS = 700;

  /**
   * Interval between ticks above which this process counts as delayed. Replies may have been queued
   * in a delayed process, so renewals that seem to fail may have succeeded.
   */
  private static final long LATE_TICK_MS = 500;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final GivenPromises givenPromises;
  private final StepDown stepDown;
  private long lastTickAt = MonotonicTime.UNSET;
  private long lastLateTickAt = MonotonicTime.UNSET;
  private long offeredAt = MonotonicTime.UNSET;

  /** Creates a handover in which the lease has not been offered yet. */
  LeaseHandover(
      CoreRuntime runtime,
      String node,
      ElectionRequests requests,
      ElectionState state,
      LeaderLease lease,
      GivenPromises givenPromises,
      StepDown stepDown) {
    this.runtime = runtime;
    this.node = node;
    this.requests = requests;
    this.state = state;
    this.lease = lease;
    this.givenPromises = givenPromises;
    this.stepDown = stepDown;
  }

  /** Records whether this process is delayed, by the interval since the previous tick. */
  void tick() {
    long now = runtime.now();
    if (lastTickAt != MonotonicTime.UNSET && now - lastTickAt > LATE_TICK_MS) {
      lastLateTickAt = now;
    }
    lastTickAt = now;
  }

  /**
   * Offers the lease, or resigns after an unanswered offer, if renewals have failed for too long
   * and the state service answers the peer that sent this promise.
   */
  void onPromise(PeerMessage.Promise promise) {
    if (!promise.stateServiceAnswers() || !hasRenewalFailedTooLong()) {
      return;
    }
    if (offeredAt < lease.renewalFailingSince()) {
      offeredAt = runtime.now();
      // A peer may revoke the offered lease at any later time, so from now on authority can be
      // based only on promises.
      lease.onOffered();
    }
    if (runtime.now() - offeredAt < OFFER_TIMEOUT_MS) {
      runtime.broadcast(new PeerMessage.LeaseHandover(node, lease.id(), state.token()));
    } else {
      // The peer does not support offers or is too slow. Its report that the state service answers
      // it is recent, so it can be elected.
      resignTo(promise);
    }
  }

  private boolean hasRenewalFailedTooLong() {
    // A delayed process may not have handled all replies that it has received.
    boolean isDelayed = runtime.now() - OFFER_AFTER_MS < lastLateTickAt;
    return !isDelayed
        && lease.isRenewalFailing()
        && runtime.now() - lease.renewalFailingSince() > OFFER_AFTER_MS;
  }

  private void resignTo(PeerMessage message) {
    stepDown.resign("the state service answers " + message.from() + " but not this node");
  }

  /**
   * Revokes the lease that a leader offers. The promises of this node to the leader stay valid: it
   * makes no claim until they have expired or the leader has been informed and has released it.
   */
  void onOffer(PeerMessage.LeaseHandover offer) {
    if (state.isLeader()) {
      return;
    }
    requests.revokeLease(
        offer.leaseId(),
        (outcome, status, body) -> {
          if (outcome.isSuccess(status) || outcome.isNotFound(status)) {
            runtime.broadcast(new PeerMessage.LeaseEnded(node, offer.token()));
          }
        });
  }

  /** Resigns if a peer has revoked the lease that this leader offered. */
  void onLeaseEnded(PeerMessage.LeaseEnded ended) {
    if (state.isLeader() && ended.token() == state.token()) {
      resignTo(ended);
    }
  }

  /**
   * Handles the resignation of a leader. Revokes its lease, in case the state service does not
   * answer the leader itself, and ends the promises of this node unless they were made to a later
   * leader.
   */
  void onStepDown(PeerMessage.StepDown stepDownMessage) {
    if (state.isLeader()) {
      return;
    }
    if (stepDownMessage.token() >= state.highestToken()) {
      givenPromises.release();
    }
    requests.revokeLease(stepDownMessage.leaseId());
  }
}
