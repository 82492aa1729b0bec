package org.snowturn.core.election;

import java.util.Locale;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Authority of this node to act as leader. It is normally based on a valid lease in the state
 * service. While the state service is unavailable, it can also be based on promises: if every peer
 * has promised not to claim leadership for a limited time, no other node can take over, even if the
 * lease has expired.
 */
final class Authority {
  /** Basis of the authority to act as leader. */
  enum Ground {
    /** This node has no authority. */
    NONE,
    /** The lease is valid. */
    LEASE,
    /** All peers have promised not to claim leadership. */
    PROMISES;

    private final String logName = name().toLowerCase(Locale.ROOT);

    /** Returns the name of this ground in the log. */
    String logName() {
      return logName;
    }
  }

  private final CoreRuntime runtime;
  private final ElectionState state;
  private final LeaderLease lease;
  private final PeerPromises promises;
  private final CancellationWatermark watermark;

  /** Creates the authority of a node, which is derived from the given election state. */
  Authority(
      CoreRuntime runtime,
      ElectionState state,
      LeaderLease lease,
      PeerPromises promises,
      CancellationWatermark watermark) {
    this.runtime = runtime;
    this.state = state;
    this.lease = lease;
    this.promises = promises;
    this.watermark = watermark;
  }

  /**
   * Returns whether this node may act as leader: no other node can lead, and every cancellation
   * that this node may not have received yet can still be carried out in time.
   */
  boolean isHeld() {
    return state.isLeader() && ground() != Ground.NONE;
  }

  /** Returns the ground on which the authority of this node is currently based. */
  Ground ground() {
    if (!state.isLeader() || !watermark.isCurrent()) {
      return Ground.NONE;
    }
    if (lease.isValid()) {
      return Ground.LEASE;
    }
    return promises.hasValidPromisesFromAllPeers(runtime.now()) ? Ground.PROMISES : Ground.NONE;
  }
}
