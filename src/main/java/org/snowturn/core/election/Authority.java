package org.snowturn.core.election;

import java.util.Locale;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Whether this node may act as leader. While the state service is out, authority can also rest on
 * promises: every peer has promised not to claim leadership for a while, so nobody can take over,
 * whatever became of the lease.
 */
final class Authority {
  /** What authority rests on. */
  enum Ground {
    /** There is none. */
    NONE,
    /** The lease is valid. */
    LEASE,
    /** All peers have promised not to claim leadership. */
    PROMISES;

    private final String logName = name().toLowerCase(Locale.ROOT);

    /** The name in the log. */
    String logName() {
      return logName;
    }
  }

  private final CoreRuntime runtime;
  private final ElectionState state;
  private final LeaderLease lease;
  private final PeerPromises promises;
  private final CancellationWatermark watermark;

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
   * Whether this node may act: nobody else can lead, and whatever cancellation it may not know of
   * would still be carried out in time.
   */
  boolean isHeld() {
    return state.isLeader() && ground() != Ground.NONE;
  }

  /** What this node's right to act rests on at present. */
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
