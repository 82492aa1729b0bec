package org.snowturn.core.election;

import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Periodic broadcast of this node's status to its peers. The leader sends a request for promises,
 * any other node a standby status.
 */
final class StatusBroadcast {
  /** Interval between messages. */
  private static final long INTERVAL_MS = 300;

  /**
   * Interval between messages of a restarted node that is not the leader. It is short because a
   * restarted peer makes no claim until it has received the standby status of every other node or
   * the promises of its previous process have expired.
   */
  private static final long START_INTERVAL_MS = 100;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionState state;
  private final LeaderLease lease;
  private final PeerPromises promises;
  private final GivenPromises givenPromises;
  private final StateServiceHealth stateService;
  private long nextAt;

  /** Creates a broadcast whose first message is due at once. */
  StatusBroadcast(
      CoreRuntime runtime,
      String node,
      ElectionState state,
      LeaderLease lease,
      PeerPromises promises,
      GivenPromises givenPromises,
      StateServiceHealth stateService) {
    this.runtime = runtime;
    this.node = node;
    this.state = state;
    this.lease = lease;
    this.promises = promises;
    this.givenPromises = givenPromises;
    this.stateService = stateService;
  }

  /** Makes the next message due at once, so that the next tick sends it. */
  void sendAtNextTick() {
    nextAt = runtime.now();
  }

  /** Broadcasts a message if one is due. */
  void tick() {
    long now = runtime.now();
    if (now < nextAt) {
      return;
    }
    boolean isStarting = !state.isLeader() && givenPromises.isRecentlyStarted();
    nextAt = now + (isStarting ? START_INTERVAL_MS : INTERVAL_MS);
    runtime.broadcast(state.isLeader() ? promiseRequest() : standbyStatus());
  }

  private PeerMessage promiseRequest() {
    long requestId = promises.recordRequest(runtime.now());
    return new PeerMessage.PromiseRequest(node, requestId, state.token(), lease.isRenewalFailing());
  }

  private PeerMessage standbyStatus() {
    return new PeerMessage.StandbyStatus(node, stateService.isAnsweringNow());
  }
}
