package org.snowturn.core.election;

import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Leader election by a lease in the state service. A node becomes leader by writing the leader key
 * under its lease; the version of the key is the fencing token. Must be called only by the thread
 * of the core.
 *
 * @see LeaderLease
 * @see Authority
 * @see GivenPromises
 */
public final class Election {
  private final Settings settings;
  private final CancellationWatermark watermark;
  private final ElectionState state = new ElectionState();
  private final LeaderLease lease;
  private final PeerPromises promises;
  private final GivenPromises givenPromises;
  private final StateServiceHealth stateService;
  private final Authority authority;
  private final AuthorityLog authorityLog;
  private final Campaign campaign;
  private final StepDown stepDown;
  private final LeaseRenewal renewal;
  private final LeaseHandover handover;
  private final StatusBroadcast status;

  /**
   * Creates the election of a node that has not yet read the leader key.
   *
   * @param incarnation a unique identifier of this process among all processes of this node
   * @param startedAt the time at which this process started, in milliseconds of the monotonic
   *     clock; the previous process of this node made all its promises before
   */
  public Election(
      Settings settings,
      Tunables tunables,
      CoreRuntime runtime,
      CancellationWatermark watermark,
      String incarnation,
      long startedAt) {
    this.settings = settings;
    this.watermark = watermark;
    String node = settings.node();
    ElectionRequests requests = new ElectionRequests(runtime, node, incarnation);
    lease = new LeaderLease(runtime, LeaderLease.ttlMs(settings, tunables));
    promises = new PeerPromises(settings.peers());
    givenPromises = new GivenPromises(runtime, settings, startedAt);
    stateService = new StateServiceHealth(runtime);
    authority = new Authority(runtime, state, lease, promises, watermark);
    authorityLog = new AuthorityLog(runtime, state, lease, authority, watermark);
    campaign =
        new Campaign(runtime, node, requests, state, lease, givenPromises, campaignListener());
    stepDown = new StepDown(runtime, node, requests, state, lease, campaign);
    renewal = new LeaseRenewal(runtime, requests, state, lease, stateService, stepDown);
    handover = new LeaseHandover(runtime, node, requests, state, lease, givenPromises, stepDown);
    status =
        new StatusBroadcast(runtime, node, state, lease, promises, givenPromises, stateService);
  }

  private Campaign.Listener campaignListener() {
    return new Campaign.Listener() {
      @Override
      public void onVacant() {
        tick();
      }

      @Override
      public void onElected(long token) {
        startTerm(token);
      }
    };
  }

  /**
   * Sets the condition under which this node defers its claim once.
   *
   * @param isPeerBetterConnected returns whether a peer is better connected than this node
   */
  public void deferClaimIf(BooleanSupplier isPeerBetterConnected) {
    campaign.deferClaimIf(isPeerBetterConnected);
  }

  /**
   * Returns the time at which the latest request answered by the state service was sent, in
   * milliseconds of the monotonic clock; {@link MonotonicTime#UNSET} if it has answered none.
   */
  public long stateServiceAnsweredAt() {
    return stateService.answeredAt();
  }

  /**
   * Returns whether this node has become leader and has not stepped down. It may act as leader only
   * while {@link #hasAuthority()} is true as well.
   */
  public boolean isLeader() {
    return state.isLeader();
  }

  /**
   * Returns whether this node may act as leader: no other node can lead, and every cancellation
   * that this node may not have received yet can still be carried out in time.
   */
  public boolean hasAuthority() {
    return authority.isHeld();
  }

  /** Returns whether the state service has answered this node recently. */
  public boolean isStateServiceHealthy() {
    return stateService.isHealthy();
  }

  /** Returns whether a peer has reported recently that the state service answers it. */
  public boolean canPeersReachStateService() {
    return stateService.isAnsweringPeers();
  }

  /** Returns the fencing token of this node's current or latest term. */
  public long token() {
    return state.token();
  }

  /**
   * Returns the name of the peer that owns the leader key, according to this node; null if the
   * owner is unknown or is this node.
   */
  public String leader() {
    return settings.node().equals(state.leader()) ? null : state.leader();
  }

  /** Performs the work of the election that is due. */
  public void tick() {
    handover.tick();
    givenPromises.tick();
    authorityLog.logGroundChange();
    stateService.probe(state.isLeader());
    status.tick();
    watermark.tick(state.isLeader());
    if (state.isLeader()) {
      authorityLog.logWatermarkChange();
      renewal.tick();
    } else {
      campaign.tick();
    }
  }

  private void startTerm(long token) {
    state.becomeLeader(settings.node(), token);
    lease.activate();
    promises.clear();
    status.sendAtNextTick();
    renewal.start();
    authorityLog.logAcquired();
  }

  /** Handles a peer's message about the election; ignores messages of other types. */
  public void onPeerMessage(PeerMessage message) {
    if (message instanceof PeerMessage.StandbyStatus standby) {
      onStandby(standby);
    } else if (message instanceof PeerMessage.PromiseRequest request) {
      onPromiseRequest(request);
    } else if (message instanceof PeerMessage.Promise promise) {
      onPromise(promise);
    } else if (message instanceof PeerMessage.StepDown stepDownMessage) {
      handover.onStepDown(stepDownMessage);
    } else if (message instanceof PeerMessage.LeaseHandover offer) {
      handover.onOffer(offer);
    } else if (message instanceof PeerMessage.LeaseEnded ended) {
      handover.onLeaseEnded(ended);
    }
  }

  private void onStandby(PeerMessage.StandbyStatus standby) {
    givenPromises.addStandbyPeer(standby.from());
    stateService.onPeerReport(standby.from(), standby.stateServiceAnswers());
  }

  /**
   * Answers a leader's request for a promise if this node can keep the promise. It makes no promise
   * while a claim of its own may be executed, after it has found the leader key vacant, or after it
   * has learned of a leader with a higher token.
   */
  private void onPromiseRequest(PeerMessage.PromiseRequest request) {
    stateService.onPeerReport(request.from(), !request.isStateServiceUnresponsive());
    stateService.onLeaderReport(request.isStateServiceUnresponsive());
    boolean isOutdated = request.token() < state.highestToken();
    if (!state.isLeader() && !isOutdated) {
      state.setLeader(request.from());
    }
    if (campaign.isPossibleLeaderKeyOwner() || isOutdated) {
      return;
    }
    state.observeToken(request.token());
    givenPromises.promise(request, stateService.isAnsweringNow());
  }

  private void onPromise(PeerMessage.Promise promise) {
    stateService.onPeerReport(promise.from(), promise.stateServiceAnswers());
    if (state.isLeader() && promise.token() == state.token() && promises.accept(promise)) {
      handover.onPromise(promise);
    }
  }

  /**
   * Steps down if this node is the leader, and schedules a read of the leader key.
   *
   * @param reason the reason that is logged
   */
  public void stepDown(String reason) {
    stepDown.stepDown(reason);
  }

  /**
   * Steps down and revokes the lease, so that another node can be elected at once.
   *
   * @param reason the reason that is logged
   */
  public void resign(String reason) {
    stepDown.resign(reason);
  }
}
