package org.snowturn.core.election;

import java.util.HashSet;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * What this node has promised leaders: not to claim leadership for a while. A promise binds the
 * node, not the process: a restarted node makes no claim for as long as a promise of its
 * predecessor could last, unless every peer has told it that it does not lead.
 */
final class GivenPromises {
  private static final int PROMISE_MS = 2000;

  /** For what a predecessor has promised just before it ended. */
  private static final long START_MARGIN_MS = 200;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final long predecessorBoundUntil;
  private final Set<String> standbyPeers = new HashSet<>();
  private boolean boundByPredecessor = true;
  private long promisedUntil = MonotonicTime.NEVER;

  /**
   * Has promised nothing yet.
   *
   * @param startedAt when this process began, in milliseconds of the steady clock: whatever its
   *     predecessor on this node has promised was promised before that
   */
  GivenPromises(CoreRuntime runtime, Settings settings, long startedAt) {
    this.runtime = runtime;
    this.settings = settings;
    this.predecessorBoundUntil = startedAt + PROMISE_MS + START_MARGIN_MS;
  }

  /** Finds out whether a predecessor's promises have ended. */
  void tick() {
    boundByPredecessor =
        boundByPredecessor && isRecentlyStarted() && standbyPeers.size() < settings.peers().size();
  }

  /** Whether promises of a predecessor on this node could still last. */
  boolean isRecentlyStarted() {
    return runtime.now() < predecessorBoundUntil;
  }

  /** Whether a promise forbids this node to claim leadership now. */
  boolean isClaimForbidden() {
    return boundByPredecessor || runtime.now() < promisedUntil;
  }

  /** A peer has told that it does not lead. */
  void addStandbyPeer(String peer) {
    standbyPeers.add(peer);
  }

  /** Whether any peer has told since this process began that it does not lead. */
  boolean hasStandbyPeer() {
    return !standbyPeers.isEmpty();
  }

  /** Answers a request; the promise counts from its arrival. */
  void promise(PeerMessage.PromiseRequest request, boolean stateServiceAnswers) {
    promisedUntil = Math.max(promisedUntil, runtime.now() + PROMISE_MS);
    runtime.broadcast(
        new PeerMessage.Promise(
            settings.node(),
            request.requestId(),
            request.token(),
            PROMISE_MS,
            stateServiceAnswers));
  }

  /** The leader that this node made its promises to has released it. */
  void release() {
    promisedUntil = MonotonicTime.NEVER;
  }
}
