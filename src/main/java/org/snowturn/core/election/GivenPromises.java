package org.snowturn.core.election;

import java.util.HashSet;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * The promises of this node to leaders not to claim leadership for a limited time.
 *
 * <p>A promise binds the node and not only the process that made it. A restarted process makes no
 * claim as long as a promise of the previous process could be valid, unless every peer has reported
 * that it is not the leader.
 */
final class GivenPromises {
  /** Duration of a promise, from the arrival of the request. */
  private static final int PROMISE_MS = 2000;

  /** Margin for promises that the previous process made just before it exited. */
  private static final long START_MARGIN_MS = 200;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final long previousProcessBoundUntil;
  private final Set<String> standbyPeers = new HashSet<>();
  private boolean boundByPreviousProcess = true;
  private long promisedUntil = MonotonicTime.UNSET;

  /**
   * Creates the promises of a process that has made none itself but may be bound by those of the
   * previous process of this node.
   *
   * @param startedAt the time at which this process started, in milliseconds of the monotonic
   *     clock; the previous process of this node made all its promises before
   */
  GivenPromises(CoreRuntime runtime, Settings settings, long startedAt) {
    this.runtime = runtime;
    this.settings = settings;
    this.previousProcessBoundUntil = startedAt + PROMISE_MS + START_MARGIN_MS;
  }

  /** Checks whether this node is still bound by promises of the previous process. */
  void tick() {
    boundByPreviousProcess =
        boundByPreviousProcess
            && isRecentlyStarted()
            && standbyPeers.size() < settings.peers().size();
  }

  /** Returns whether a promise of the previous process could still be valid. */
  boolean isRecentlyStarted() {
    return runtime.now() < previousProcessBoundUntil;
  }

  /** Returns whether a promise forbids this node to claim leadership now. */
  boolean isClaimForbidden() {
    return boundByPreviousProcess || runtime.now() < promisedUntil;
  }

  /** Records that a peer has reported that it is not the leader. */
  void addStandbyPeer(String peer) {
    standbyPeers.add(peer);
  }

  /** Returns whether any peer has reported to this process that it is not the leader. */
  boolean hasStandbyPeer() {
    return !standbyPeers.isEmpty();
  }

  /**
   * Makes a promise and sends it to the leader that requested it.
   *
   * @param stateServiceAnswers whether the state service answers this node
   */
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

  /** Ends the promises of this process after the leader has released it from them. */
  void release() {
    promisedUntil = MonotonicTime.UNSET;
  }
}
