package org.snowturn.core.election;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.StorageKeys;

/** Whether the state service answers this node, and whether it answers the peers. */
final class StateServiceHealth {
  private static final long PROBE_INTERVAL_MS = 700;
  private static final int PROBE_TIMEOUT_MS = 1000;

  /**
   * While the leader has trouble with the state service, peers probe more often, and an answer
   * counts for less long: a leader that resigns in an outage that has just begun leaves nobody.
   */
  private static final long TROUBLED_PROBE_INTERVAL_MS = 250;

  private static final long TROUBLED_FRESH_MS = 500;

  /** After this, trouble counts as the normal state of a slow state service. */
  private static final long MAX_TROUBLE_MS = 5_000;

  /** Without a good reply for this long, this node counts as cut off from the state service. */
  private static final long LOST_AFTER_MS = 2200;

  private static final long PEER_REPORT_FRESH_MS = 1500;

  private final CoreRuntime runtime;
  private final Map<String, Long> peersAnsweredAt = new HashMap<>();
  private long leaderTroubledSince = MonotonicTime.NEVER;
  private long nextProbeAt;
  private boolean probing;
  private long answeredAt = MonotonicTime.NEVER;

  StateServiceHealth(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /** When the last request that it answered was sent; {@link MonotonicTime#NEVER} if none was. */
  long answeredAt() {
    return answeredAt;
  }

  /** It has answered a request that was sent at this moment. */
  void answered(long sentAt) {
    answeredAt = Math.max(answeredAt, sentAt);
  }

  /** Whether it has answered this node lately. */
  boolean healthy() {
    return runtime.now() - LOST_AFTER_MS < answeredAt;
  }

  /** Whether a peer has said lately that it is answered. */
  boolean answersPeers() {
    for (long at : peersAnsweredAt.values()) {
      if (runtime.now() - PEER_REPORT_FRESH_MS < at) {
        return true;
      }
    }
    return false;
  }

  /** A peer says whether it is answered. */
  void onPeerReport(String peer, boolean answered) {
    if (answered) {
      peersAnsweredAt.put(peer, runtime.now());
    } else {
      peersAnsweredAt.remove(peer);
    }
  }

  /** The leader says whether it has trouble with the state service. */
  void onLeaderReport(boolean troubled) {
    if (!troubled) {
      leaderTroubledSince = MonotonicTime.NEVER;
    } else if (leaderTroubledSince == MonotonicTime.NEVER) {
      leaderTroubledSince = runtime.now();
      nextProbeAt = Math.min(nextProbeAt, runtime.now());
    }
  }

  /**
   * Sends a cheap read if it is time, one at a time.
   *
   * @param leading whether this node leads itself
   */
  void probe(boolean leading) {
    if (probing || runtime.now() < nextProbeAt) {
      return;
    }
    probing = true;
    long sentAt = runtime.now();
    nextProbeAt =
        sentAt + (!leading && leaderTroubled() ? TROUBLED_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
    runtime.callForAuthority(
        "GET",
        "/kv/" + StorageKeys.LEADER,
        null,
        PROBE_TIMEOUT_MS,
        (outcome, status, body) -> {
          probing = false;
          if (outcome.isSuccess(status) || outcome.isNotFound(status)) {
            answered(sentAt);
          }
        });
  }

  /** Whether it has answered this standby so lately that a leader may rely on it. */
  boolean answersNow() {
    long freshMs = leaderTroubled() ? TROUBLED_FRESH_MS : 2 * PROBE_INTERVAL_MS;
    return runtime.now() - freshMs < answeredAt;
  }

  /** Whether the leader has begun to say that the state service does not answer it. */
  private boolean leaderTroubled() {
    return leaderTroubledSince != MonotonicTime.NEVER
        && runtime.now() - leaderTroubledSince < MAX_TROUBLE_MS;
  }
}
