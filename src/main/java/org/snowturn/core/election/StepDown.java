package org.snowturn.core.election;

import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;

/** Procedures by which this node ends its term as leader. */
final class StepDown {
  /**
   * Time after its resignation during which a node makes no claim to a vacant leader key, so that a
   * peer is elected.
   */
  private static final long HOLD_OFF_MS = 15_000;

  /** Delay between a resignation and the next read of the leader key. */
  private static final long DISCOVERY_DELAY_MS = 1000;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final Campaign campaign;

  /** Creates the step-down procedures of a node. */
  StepDown(
      CoreRuntime runtime,
      String node,
      ElectionRequests requests,
      ElectionState state,
      LeaderLease lease,
      Campaign campaign) {
    this.runtime = runtime;
    this.node = node;
    this.requests = requests;
    this.state = state;
    this.lease = lease;
    this.campaign = campaign;
  }

  /**
   * Steps down if this node is the leader. The lease is not revoked and expires by itself.
   *
   * @param reason the reason that is logged
   */
  void stepDown(String reason) {
    if (!state.isLeader()) {
      return;
    }
    runtime
        .events()
        .info(LogEvent.LEADERSHIP_LOST)
        .with(LogField.TOKEN, state.token())
        .with(LogField.REASON, reason)
        .write();
    state.stepDown();
    lease.invalidate();
    campaign.retryDiscovery();
  }

  /**
   * Steps down and revokes the lease, so that another node can be elected at once.
   *
   * @param reason the reason that is logged
   */
  void resign(String reason) {
    campaign.holdOffUntil(runtime.now() + HOLD_OFF_MS);
    stepDown(reason);
    campaign.discoverAt(runtime.now() + DISCOVERY_DELAY_MS);
    runtime.broadcast(new PeerMessage.StepDown(node, lease.id(), state.token()));
    requests.revokeLease(lease.id());
  }
}
