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
  private static final double DRIFT = 0.002;
  private static final long MARGIN_MS = 20;

  /** So many requests may be without an answer. */
  private static final int MOST_OPEN = 50;

  private final List<Settings.Peer> peers;
  private final Map<String, Long> until = new HashMap<>();
  private final Map<Long, Long> sentAt = new LinkedHashMap<>();
  private long lastRequest;

  PeerPromises(List<Settings.Peer> peers) {
    this.peers = peers;
  }

  /** A new term begins, to which nobody has promised anything. */
  void clear() {
    until.clear();
    sentAt.clear();
  }

  /** Notes that a request is sent to all peers now; returns its number. */
  long request(long nowMs) {
    sentAt.put(++lastRequest, nowMs);
    if (sentAt.size() > MOST_OPEN) {
      sentAt.remove(sentAt.keySet().iterator().next());
    }
    return lastRequest;
  }

  /** Takes a promise; tells whether it answers a request of this process. */
  boolean take(PeerMessage.Promise promise) {
    Long asked = sentAt.get(promise.seq());
    if (asked == null) {
      return false;
    }
    long end = asked + (long) (promise.durationMs() * (1 - DRIFT)) - MARGIN_MS;
    until.merge(promise.from(), end, Math::max);
    return true;
  }

  /** Whether every peer's promise still holds; nobody else can lead then. */
  boolean holdOfAll(long nowMs) {
    if (peers.isEmpty()) {
      return false;
    }
    for (Settings.Peer p : peers) {
      if (until.getOrDefault(p.node(), Long.MIN_VALUE) <= nowMs) {
        return false;
      }
    }
    return true;
  }
}
