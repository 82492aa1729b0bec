package org.snowturn.core.election;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Hands leadership to a peer that the state service answers while it does not answer the leader:
 * the leader offers its lease, a peer ends it in the state service, and the leader resigns.
 */
final class LeaseHandover {
  /** When renewals have failed for this long, before the lease ends, the leader offers it. */
  private static final long OFFER_AFTER_MS = 1500;

  /** How long a peer may take to end an offered lease. */
  private static final long OFFER_TIMEOUT_MS = 700;

  /** After a tick that came so late, replies may have been waiting in this process. */
  private static final long LATE_TICK_MS = 500;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final GivenPromises givenPromises;
  private final StepDown stepDown;
  private long tickedAt = MonotonicTime.NEVER;
  private long tickedLateAt = MonotonicTime.NEVER;
  private long offeredAt = MonotonicTime.NEVER;

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

  /** Notes whether this process keeps up with its work. */
  void tick() {
    long now = runtime.now();
    if (tickedAt != MonotonicTime.NEVER && now - tickedAt > LATE_TICK_MS) {
      tickedLateAt = now;
    }
    tickedAt = now;
  }

  /** A peer has renewed its promise to this leader and says whether the state service answers. */
  void onPromise(PeerMessage.Promise promise) {
    if (!promise.stateServiceAnswers() || !renewalsFailedTooLong()) {
      return;
    }
    if (offeredAt < lease.renewalFailingSince()) {
      offeredAt = runtime.now();
      // An offer may be taken up at any later time, so from now on only promises keep this term.
      lease.offer();
    }
    if (runtime.now() - offeredAt < OFFER_TIMEOUT_MS) {
      runtime.broadcast(new PeerMessage.LeaseHandover(node, lease.id(), state.token()));
    } else {
      // The peer does not know offers or is too slow; its report on the state service is recent.
      resignTo(promise);
    }
  }

  private boolean renewalsFailedTooLong() {
    // A process that is behind with its work has not yet handled the replies that it has received.
    boolean behind = runtime.now() - OFFER_AFTER_MS < tickedLateAt;
    return !behind
        && lease.renewalFailing()
        && runtime.now() - lease.renewalFailingSince() > OFFER_AFTER_MS;
  }

  private void resignTo(PeerMessage message) {
    stepDown.resign("the state service answers " + message.from() + " but not this node");
  }

  /**
   * Ends a lease that its owner offers. That takes nothing from what was promised: this node claims
   * nothing before its promises have ended or the owner, told of it, has released them.
   */
  void onOffer(PeerMessage.LeaseHandover offer) {
    if (state.leading()) {
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

  /** A peer has ended the lease that this leader offered. */
  void onLeaseEnded(PeerMessage.LeaseEnded ended) {
    if (state.leading() && ended.token() == state.token()) {
      resignTo(ended);
    }
  }

  /** A leader has resigned: ends its lease, in case the state service does not answer it. */
  void onStepDown(PeerMessage.StepDown resigned) {
    if (state.leading()) {
      return;
    }
    if (resigned.token() >= state.highestToken()) {
      givenPromises.release();
    }
    requests.revokeLease(resigned.leaseId());
  }
}
