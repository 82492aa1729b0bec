package org.snowturn.core.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.PeerMessage;

/**
 * The promises of a leader's peers not to claim leadership for a limited time. A peer measures the
 * duration from the arrival of the request and the leader from its sending, so a promise always
 * expires at the leader first.
 */
final class PeerPromises {
  /** Margin for the time between the check of the promises and the action that depends on it. */
  private static final long MARGIN_MS = 20;

  /** Maximum number of requests whose promises are still accepted. */
  private static final int MAX_UNANSWERED_REQUESTS = 50;

  private final List<Settings.Peer> peers;
  private final Map<String, Long> validUntil = new HashMap<>();
  private final Map<Long, Long> requestsSentAt = new LinkedHashMap<>();
  private long lastRequest;

  /**
   * Creates an empty set of promises.
   *
   * @param peers all other nodes, each of which must make a promise
   */
  PeerPromises(List<Settings.Peer> peers) {
    this.peers = peers;
  }

  /** Removes all promises and requests of the previous term. */
  void clear() {
    validUntil.clear();
    requestsSentAt.clear();
  }

  /**
   * Records that a request is sent to all peers now.
   *
   * @param nowMs the current time, in milliseconds of the monotonic clock
   * @return the number of the request
   */
  long recordRequest(long nowMs) {
    requestsSentAt.put(++lastRequest, nowMs);
    if (requestsSentAt.size() > MAX_UNANSWERED_REQUESTS) {
      requestsSentAt.remove(requestsSentAt.keySet().iterator().next());
    }
    return lastRequest;
  }

  /**
   * Records a promise if it answers a request of this term.
   *
   * @return whether the promise was recorded
   */
  boolean accept(PeerMessage.Promise promise) {
    Long sentAt = requestsSentAt.get(promise.requestId());
    if (sentAt == null) {
      return false;
    }
    long until = sentAt + ClockDrift.minElapsedMs(promise.durationMs()) - MARGIN_MS;
    validUntil.merge(promise.from(), until, Math::max);
    return true;
  }

  /**
   * Returns whether every peer has made a promise that is still valid, so that no other node can
   * lead. Returns false if there are no peers.
   */
  boolean hasValidPromisesFromAllPeers(long nowMs) {
    if (peers.isEmpty()) {
      return false;
    }
    for (Settings.Peer peer : peers) {
      if (validUntil.getOrDefault(peer.node(), Long.MIN_VALUE) <= nowMs) {
        return false;
      }
    }
    return true;
  }
}
