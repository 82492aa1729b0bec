package org.snowturn.core.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.PeerMessage;

/**
 * What a leader's peers have promised it: not to claim leadership for a while. A peer counts from
 * when the request arrived, the leader from when it was sent, so the leader always stops first.
 */
final class PeerPromises {
  private static final long MARGIN_MS = 20;
  private static final int MAX_UNANSWERED_REQUESTS = 50;

  private final List<Settings.Peer> peers;
  private final Map<String, Long> validUntil = new HashMap<>();
  private final Map<Long, Long> requestsSentAt = new LinkedHashMap<>();
  private long lastRequest;

  PeerPromises(List<Settings.Peer> peers) {
    this.peers = peers;
  }

  /** A new term begins, to which nobody has promised anything. */
  void clear() {
    validUntil.clear();
    requestsSentAt.clear();
  }

  /** Notes that a request is sent to all peers now; returns its number. */
  long recordRequest(long nowMs) {
    requestsSentAt.put(++lastRequest, nowMs);
    if (requestsSentAt.size() > MAX_UNANSWERED_REQUESTS) {
      requestsSentAt.remove(requestsSentAt.keySet().iterator().next());
    }
    return lastRequest;
  }

  /** Takes a promise; returns whether it answers a request of this term. */
  boolean accept(PeerMessage.Promise promise) {
    Long sentAt = requestsSentAt.get(promise.requestId());
    if (sentAt == null) {
      return false;
    }
    long until = sentAt + ClockDrift.minElapsedMs(promise.durationMs()) - MARGIN_MS;
    validUntil.merge(promise.from(), until, Math::max);
    return true;
  }

  /** Whether every peer's promise is valid: nobody else can lead then. False without peers. */
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
