package org.snowturn.core.election;

import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;

/** Renews the leader's lease, one request at a time. */
final class LeaseRenewal {
  /** A time-to-live has room for so many renewals. */
  private static final int RENEWALS_PER_TTL = 5;

  private static final long RETRY_MS = 250;

  private final CoreRuntime runtime;
  private final ElectionRequests requests;
  private final ElectionState state;
  private final LeaderLease lease;
  private final StateServiceHealth service;
  private final StepDown stepDown;
  private long nextAt;
  private boolean underWay;

  LeaseRenewal(
      CoreRuntime runtime,
      ElectionRequests requests,
      ElectionState state,
      LeaderLease lease,
      StateServiceHealth service,
      StepDown stepDown) {
    this.runtime = runtime;
    this.requests = requests;
    this.state = state;
    this.lease = lease;
    this.service = service;
    this.stepDown = stepDown;
  }

  /** A term begins. */
  void start() {
    underWay = false;
    nextAt = runtime.now() + intervalMs();
  }

  /** Renews the lease if it is time. */
  void tick() {
    if (!underWay && runtime.now() >= nextAt) {
      renew();
    }
  }

  private long intervalMs() {
    return lease.ttlMs() / RENEWALS_PER_TTL;
  }

  private void renew() {
    underWay = true;
    long sentAt = runtime.now();
    long term = state.changesOfLeadership();
    requests.renewLease(
        lease.id(),
        (outcome, status, body) -> {
          if (term != state.changesOfLeadership() || !state.leading()) {
            return;
          }
          underWay = false;
          renewed(sentAt, outcome, status);
        });
  }

  private void renewed(long sentAt, Outcome outcome, int status) {
    if (outcome.isSuccess(status) && lease.offered()) {
      stepDown.resign("its lease was offered to peers while the state service did not answer");
    } else if (outcome.isSuccess(status)) {
      lease.renewed(sentAt);
      service.answered(sentAt);
      nextAt = sentAt + intervalMs();
    } else if (outcome.isNotFound(status)) {
      stepDown.stepDown("lease expired");
    } else {
      lease.renewalFailed(sentAt);
      nextAt = runtime.now() + RETRY_MS;
    }
  }
}
