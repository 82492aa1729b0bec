package org.snowturn.core.election;

import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/** Tells the peers regularly what this node is: the leader asks for promises, others stand by. */
final class StatusBroadcast {
  private static final long INTERVAL_MS = 300;

  /** Until peers have heard that a restarted node does not lead, none of them may claim. */
  private static final long START_INTERVAL_MS = 100;

  private final CoreRuntime runtime;
  private final String node;
  private final ElectionState state;
  private final LeaderLease lease;
  private final PeerPromises promises;
  private final GivenPromises givenPromises;
  private final StateServiceHealth service;
  private long nextAt;

  StatusBroadcast(
      CoreRuntime runtime,
      String node,
      ElectionState state,
      LeaderLease lease,
      PeerPromises promises,
      GivenPromises givenPromises,
      StateServiceHealth service) {
    this.runtime = runtime;
    this.node = node;
    this.state = state;
    this.lease = lease;
    this.promises = promises;
    this.givenPromises = givenPromises;
    this.service = service;
  }

  /** Makes the next message due at once. */
  void expedite() {
    nextAt = runtime.now();
  }

  /** Sends a message if it is due. */
  void tick() {
    long now = runtime.now();
    if (now < nextAt) {
      return;
    }
    boolean starting = !state.isLeader() && givenPromises.isRecentlyStarted();
    nextAt = now + (starting ? START_INTERVAL_MS : INTERVAL_MS);
    runtime.broadcast(state.isLeader() ? promiseRequest() : standbyStatus());
  }

  private PeerMessage promiseRequest() {
    long number = promises.recordRequest(runtime.now());
    return new PeerMessage.PromiseRequest(node, number, state.token(), lease.isRenewalFailing());
  }

  private PeerMessage standbyStatus() {
    return new PeerMessage.StandbyStatus(node, service.isAnsweringNow());
  }
}
