package org.snowturn.core.election;

import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;

/** Renewal of the leader's lease, with at most one open request at a time. */
final class LeaseRenewal {
  /** Number of renewals that are sent within one time-to-live if all succeed. */
  private static final int RENEWALS_PER_TTL = 5;

  /** Delay before a failed renewal is retried. */
  private static final long RETRY_MS = 250;

  private final CoreRuntime runtime;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final StateServiceHealth stateService;
  private final StepDown stepDown;
  private long nextAt;
  private boolean requestOpen;

  /** Creates the renewal of the leader's lease; {@link #start()} starts it for a term. */
  LeaseRenewal(
      CoreRuntime runtime,
      ElectionRequests requests,
      ElectionState state,
      LeaderLease lease,
      StateServiceHealth stateService,
      StepDown stepDown) {
    this.runtime = runtime;
    this.requests = requests;
    this.state = state;
    this.lease = lease;
    this.stateService = stateService;
    this.stepDown = stepDown;
  }

  /** Schedules the first renewal of a term. */
  void start() {
    requestOpen = false;
    nextAt = runtime.now() + intervalMs();
  }

  /** Renews the lease if a renewal is due. */
  void tick() {
    if (!requestOpen && runtime.now() >= nextAt) {
      renew();
    }
  }

  private long intervalMs() {
    return lease.ttlMs() / RENEWALS_PER_TTL;
  }

  private void renew() {
    requestOpen = true;
    long sentAt = runtime.now();
    long changeCount = state.leadershipChangeCount();
    requests.renewLease(
        lease.id(),
        (outcome, status, body) -> {
          if (changeCount != state.leadershipChangeCount() || !state.isLeader()) {
            return;
          }
          requestOpen = false;
          onReply(sentAt, outcome, status);
        });
  }

  private void onReply(long sentAt, Outcome outcome, int status) {
    if (outcome.isSuccess(status) && lease.isOffered()) {
      stepDown.resign("its lease was offered to peers while the state service did not answer");
    } else if (outcome.isSuccess(status)) {
      lease.onRenewed(sentAt);
      stateService.onAnswer(sentAt);
      nextAt = sentAt + intervalMs();
    } else if (outcome.isNotFound(status)) {
      stepDown.stepDown("lease expired");
    } else {
      lease.onRenewalFailed(sentAt);
      nextAt = runtime.now() + RETRY_MS;
    }
  }
}
