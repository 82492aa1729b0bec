package org.snowturn.core.election;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.StorageKeys;

/** Health of the state service, as seen by this node and as reported by its peers. */
final class StateServiceHealth {
  /** Interval between probes. */
  private static final long PROBE_INTERVAL_MS = 700;

  /** Maximum age of an answer that a standby reports. */
  private static final long MAX_ANSWER_AGE_MS = 2 * PROBE_INTERVAL_MS;

  /** Timeout of a probe. */
  private static final int PROBE_TIMEOUT_MS = 1000;

  /**
   * Probe interval of a standby while the leader's renewals fail. The interval and the maximum age
   * of an answer are shorter then, so that standbys detect an outage of the whole state service
   * early: a leader that resigns at the start of such an outage leaves the cluster without a
   * leader.
   */
  private static final long RENEWAL_FAILING_PROBE_INTERVAL_MS = 250;

  /** Maximum age of an answer that a standby reports while the leader's renewals fail. */
  private static final long RENEWAL_FAILING_MAX_ANSWER_AGE_MS = 500;

  /**
   * Maximum time for which the short interval and age apply. Renewals that fail for longer count as
   * the normal state of a slow state service.
   */
  private static final long MAX_RENEWAL_FAILING_MS = 5_000;

  /** Time without a successful reply after which the state service counts as unreachable. */
  private static final long UNREACHABLE_AFTER_MS = 2200;

  /** Maximum age of a peer's report that the state service answers it. */
  private static final long MAX_PEER_REPORT_AGE_MS = 1500;

  private final CoreRuntime runtime;
  private final Map<String, Long> peersAnsweredAt = new HashMap<>();
  private long leaderRenewalFailingSince = MonotonicTime.UNSET;
  private long nextProbeAt;
  private boolean probeOpen;
  private long answeredAt = MonotonicTime.UNSET;

  /** Creates the health of a state service that has not answered yet. */
  StateServiceHealth(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /**
   * Returns the time at which the latest request answered by the state service was sent, in
   * milliseconds of the monotonic clock; {@link MonotonicTime#UNSET} if it has answered none.
   */
  long answeredAt() {
    return answeredAt;
  }

  /**
   * Records an answer of the state service to this node.
   *
   * @param sentAt the time at which the answered request was sent, in milliseconds of the monotonic
   *     clock
   */
  void onAnswer(long sentAt) {
    answeredAt = Math.max(answeredAt, sentAt);
  }

  /** Returns whether the state service has answered this node recently. */
  boolean isHealthy() {
    return runtime.now() - UNREACHABLE_AFTER_MS < answeredAt;
  }

  /** Returns whether a peer has reported recently that the state service answers it. */
  boolean isAnsweringPeers() {
    for (long at : peersAnsweredAt.values()) {
      if (runtime.now() - MAX_PEER_REPORT_AGE_MS < at) {
        return true;
      }
    }
    return false;
  }

  /**
   * Handles the report of a peer.
   *
   * @param isAnswered whether the state service answers the peer
   */
  void onPeerReport(String peer, boolean isAnswered) {
    if (isAnswered) {
      peersAnsweredAt.put(peer, runtime.now());
    } else {
      peersAnsweredAt.remove(peer);
    }
  }

  /**
   * Handles the report of the leader.
   *
   * @param isRenewalFailing whether the last renewal of the leader's lease failed
   */
  void onLeaderReport(boolean isRenewalFailing) {
    if (!isRenewalFailing) {
      leaderRenewalFailingSince = MonotonicTime.UNSET;
    } else if (leaderRenewalFailingSince == MonotonicTime.UNSET) {
      leaderRenewalFailingSince = runtime.now();
      nextProbeAt = Math.min(nextProbeAt, runtime.now());
    }
  }

  /**
   * Probes the state service by reading one key, if a probe is due and none is open.
   *
   * @param isLeader whether this node is the leader
   */
  void probe(boolean isLeader) {
    if (probeOpen || runtime.now() < nextProbeAt) {
      return;
    }
    probeOpen = true;
    long sentAt = runtime.now();
    nextProbeAt =
        sentAt
            + (!isLeader && isLeaderRenewalFailing()
                ? RENEWAL_FAILING_PROBE_INTERVAL_MS
                : PROBE_INTERVAL_MS);
    runtime.callForAuthority(
        "GET",
        "/kv/" + StorageKeys.LEADER,
        null,
        PROBE_TIMEOUT_MS,
        (outcome, status, body) -> {
          probeOpen = false;
          if (outcome.isSuccess(status) || outcome.isNotFound(status)) {
            onAnswer(sentAt);
          }
        });
  }

  /**
   * Returns whether the state service has answered this standby recently enough that a leader can
   * hand leadership over to it.
   */
  boolean isAnsweringNow() {
    long maxAnswerAgeMs =
        isLeaderRenewalFailing() ? RENEWAL_FAILING_MAX_ANSWER_AGE_MS : MAX_ANSWER_AGE_MS;
    return runtime.now() - maxAnswerAgeMs < answeredAt;
  }

  /** Returns whether the leader has recently started to report failing renewals. */
  private boolean isLeaderRenewalFailing() {
    return leaderRenewalFailingSince != MonotonicTime.UNSET
        && runtime.now() - leaderRenewalFailingSince < MAX_RENEWAL_FAILING_MS;
  }
}
