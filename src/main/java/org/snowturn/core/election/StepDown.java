package org.snowturn.core.election;

import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;

/** Ends a term of this node. */
final class StepDown {
  /** For so long after its resignation, a node leaves a vacant leader key to its peers. */
  private static final long HOLD_OFF_MS = 15_000;

  private static final long DISCOVERY_DELAY_MS = 1000;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final Campaign campaign;

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
   * Gives up leadership, if this node has it. The lease is left to expire.
   *
   * @param reason for the log
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
   * Gives up leadership and the lease, so that another node can lead at once.
   *
   * @param reason for the log
   */
  void resign(String reason) {
    campaign.holdOffUntil(runtime.now() + HOLD_OFF_MS);
    stepDown(reason);
    campaign.discoverAt(runtime.now() + DISCOVERY_DELAY_MS);
    runtime.broadcast(new PeerMessage.StepDown(node, lease.id(), state.token()));
    requests.revokeLease(lease.id());
  }
}
