package org.snowturn.core.authority;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.Outcome;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.records.Keys;

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

  private final Calls calls;
  private final Map<String, Long> peersAnsweredAt = new HashMap<>();
  private long troubledSince = Job.UNKNOWN;
  private long probeAt;
  private boolean probing;
  private long answeredAt = Job.UNKNOWN;

  StateServiceHealth(Calls calls) {
    this.calls = calls;
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
    return calls.now() - STATE_LOST_MS < answeredAt;
  }

  /** Whether a peer has said lately that it is answered. */
  boolean answersPeers() {
    for (long at : peersAnsweredAt.values()) {
      if (calls.now() - PEER_NEWS_MS < at) {
        return true;
      }
    }
    return false;
  }

  /** A peer says whether it is answered. */
  void heard(String peer, boolean answered) {
    if (answered) {
      peersAnsweredAt.put(peer, calls.now());
    } else {
      peersAnsweredAt.remove(peer);
    }
  }

  /** The leader says whether it has trouble with the state service. */
  void leaderInTrouble(boolean trouble) {
    if (!trouble) {
      troubledSince = Job.UNKNOWN;
    } else if (troubledSince == Job.UNKNOWN) {
      troubledSince = calls.now();
      probeAt = Math.min(probeAt, calls.now());
    }
  }

  /** One cheap read at a time tells whether the state service answers this node. */
  void probe(boolean leading) {
    if (probing || calls.now() < probeAt) {
      return;
    }
    probing = true;
    long sentAt = calls.now();
    probeAt = sentAt + (troubled(leading) ? PROBE_TROUBLED_MS : PROBE_MS);
    calls.authority(
        "GET",
        "/kv/" + Keys.LEADER,
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
    return calls.now() - (troubled(leading) ? OK_TROUBLED_MS : 2 * PROBE_MS) < answeredAt;
  }

  /** Whether the leader has begun to say that the state service does not answer it. */
  private boolean troubled(boolean leading) {
    return !leading && troubledSince != Job.UNKNOWN && calls.now() - troubledSince < TROUBLED_MS;
  }
}
