package org.snowturn.core.election;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.storage.StorageKeys;

/** Whether the state service answers this node, and whether it answers the peers. */
final class StateServiceHealth {
  private static final long PROBE_MS = 700;

  /**
   * While the leader has trouble with the state service, peers look more often, and what they saw
   * counts for less long: a leader that resigns in an outage that has just begun leaves nobody.
   */
  private static final long PROBE_TROUBLED_MS = 250;

  private static final long OK_TROUBLED_MS = 500;

  /** For so long; a state service that answers slowly would seem to be out for ever. */
  private static final long TROUBLED_MS = 5_000;

  /** Without a good reply for this long, this node counts as having lost the state service. */
  private static final long STATE_LOST_MS = 2200;

  private static final long PEER_NEWS_MS = 1500;
  private static final int PROBE_TIMEOUT_MS = 1000;

  private final CoreRuntime runtime;
  private final Map<String, Long> peersAnsweredAt = new HashMap<>();
  private long troubledSince = Job.UNKNOWN;
  private long probeAt;
  private boolean probing;
  private long answeredAt = Job.UNKNOWN;

  StateServiceHealth(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /** When the last request that it answered was sent; {@link Job#UNKNOWN}: never. */
  long answeredAt() {
    return answeredAt;
  }

  /** It has answered a request that was sent then. */
  void answered(long sentAt) {
    answeredAt = Math.max(answeredAt, sentAt);
  }

  /** Whether it has answered this node lately. */
  boolean healthy() {
    return runtime.now() - STATE_LOST_MS < answeredAt;
  }

  /** Whether a peer has said lately that it is answered. */
  boolean answersPeers() {
    for (long at : peersAnsweredAt.values()) {
      if (runtime.now() - PEER_NEWS_MS < at) {
        return true;
      }
    }
    return false;
  }

  /** A peer says whether it is answered. */
  void heard(String peer, boolean answered) {
    if (answered) {
      peersAnsweredAt.put(peer, runtime.now());
    } else {
      peersAnsweredAt.remove(peer);
    }
  }

  /** The leader says whether it has trouble with the state service. */
  void leaderInTrouble(boolean trouble) {
    if (!trouble) {
      troubledSince = Job.UNKNOWN;
    } else if (troubledSince == Job.UNKNOWN) {
      troubledSince = runtime.now();
      probeAt = Math.min(probeAt, runtime.now());
    }
  }

  /** One cheap read at a time tells whether the state service answers this node. */
  void probe(boolean leading) {
    if (probing || runtime.now() < probeAt) {
      return;
    }
    probing = true;
    long sentAt = runtime.now();
    probeAt = sentAt + (troubled(leading) ? PROBE_TROUBLED_MS : PROBE_MS);
    runtime.callForAuthority(
        "GET",
        "/kv/" + StorageKeys.LEADER,
        null,
        PROBE_TIMEOUT_MS,
        (outcome, status, body) -> {
          probing = false;
          if (outcome == Outcome.ANSWERED && (status == 200 || status == 404)) {
            answered(sentAt);
          }
        });
  }

  /** Whether it has answered so lately that peers may rely on it. */
  boolean answersNow(boolean leading) {
    return runtime.now() - (troubled(leading) ? OK_TROUBLED_MS : 2 * PROBE_MS) < answeredAt;
  }

  /** Whether the leader has begun to say that the state service does not answer it. */
  private boolean troubled(boolean leading) {
    return !leading && troubledSince != Job.UNKNOWN && runtime.now() - troubledSince < TROUBLED_MS;
  }
}
