package org.snowturn.core.election;

import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Leader election by a lease in the state service. Who writes the leader key under its lease leads;
 * the key's version is the fencing token. Called by the core's only thread.
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
  private final StateServiceHealth service;
  private final Authority authority;
  private final AuthorityLog log;
  private final Campaign campaign;
  private final StepDown stepDown;
  private final LeaseRenewal renewal;
  private final LeaseHandover handover;
  private final StatusBroadcast status;

  /**
   * A node that has not taken part yet.
   *
   * @param incarnation a name that no other process of this node has had
   * @param startedAt when this process began, in milliseconds of the steady clock: whatever its
   *     predecessor on this node has promised was promised before that
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
    service = new StateServiceHealth(runtime);
    authority = new Authority(runtime, state, lease, promises, watermark);
    log = new AuthorityLog(runtime, state, lease, authority, watermark);
    campaign =
        new Campaign(runtime, node, requests, state, lease, givenPromises, campaignListener());
    stepDown = new StepDown(runtime, node, requests, state, lease, campaign);
    renewal = new LeaseRenewal(runtime, requests, state, lease, service, stepDown);
    handover = new LeaseHandover(runtime, node, requests, state, lease, givenPromises, stepDown);
    status = new StatusBroadcast(runtime, node, state, lease, promises, givenPromises, service);
  }

  private Campaign.Listener campaignListener() {
    return new Campaign.Listener() {
      @Override
      public void vacant() {
        tick();
      }

      @Override
      public void elected(long token) {
        startTerm(token);
      }
    };
  }

  /** Asks this before a claim: whether a peer is better connected than this node. */
  public void deferIf(BooleanSupplier betterCandidate) {
    campaign.deferIf(betterCandidate);
  }

  /**
   * When the last request that the state service answered was sent; {@link MonotonicTime#NEVER} if
   * it has answered none.
   */
  public long stateServiceAnsweredAt() {
    return service.answeredAt();
  }

  /** Whether this node owns the leader key, as far as it knows; it may act only with authority. */
  public boolean leading() {
    return state.leading();
  }

  /**
   * Whether this node may act: nobody else can lead, and whatever cancellation it may not know of
   * would still be carried out in time.
   */
  public boolean hasAuthority() {
    return authority.held();
  }

  /** Whether the state service has answered this node lately. */
  public boolean stateServiceHealthy() {
    return service.healthy();
  }

  /** Whether a peer has said lately that the state service answers it. */
  public boolean peersReachStateService() {
    return service.answersPeers();
  }

  /** The fencing token of this node's last term. */
  public long token() {
    return state.token();
  }

  /** Who leads, as far as this node knows; null if nobody or itself without authority. */
  public String leader() {
    return settings.node().equals(state.leader()) ? null : state.leader();
  }

  /** Does what is due at this time. */
  public void tick() {
    handover.tick();
    givenPromises.tick();
    log.groundChanges();
    service.probe(state.leading());
    status.tick();
    watermark.tick(state.leading());
    if (state.leading()) {
      log.watermarkChanges();
      renewal.tick();
    } else {
      campaign.tick();
    }
  }

  private void startTerm(long token) {
    state.lead(settings.node(), token);
    lease.activate();
    promises.clear();
    status.expedite();
    renewal.start();
    log.acquired();
  }

  /** Takes a peer's message about the election; others are ignored. */
  public void fromPeer(PeerMessage message) {
    if (message instanceof PeerMessage.StandbyStatus standby) {
      onStandby(standby);
    } else if (message instanceof PeerMessage.PromiseRequest request) {
      onPromiseRequest(request);
    } else if (message instanceof PeerMessage.Promise promise) {
      onPromise(promise);
    } else if (message instanceof PeerMessage.StepDown resigned) {
      handover.onStepDown(resigned);
    } else if (message instanceof PeerMessage.LeaseHandover offer) {
      handover.onOffer(offer);
    } else if (message instanceof PeerMessage.LeaseEnded ended) {
      handover.onLeaseEnded(ended);
    }
  }

  private void onStandby(PeerMessage.StandbyStatus standby) {
    givenPromises.addStandbyPeer(standby.from());
    service.onPeerReport(standby.from(), standby.stateServiceAnswers());
  }

  /**
   * Promises nothing that this node may not keep: not while a claim of its own may be executed, nor
   * after it has seen the leader's key vanish or a later leader's key.
   */
  private void onPromiseRequest(PeerMessage.PromiseRequest request) {
    service.onPeerReport(request.from(), !request.isStateServiceUnresponsive());
    service.onLeaderReport(request.isStateServiceUnresponsive());
    boolean outdated = request.token() < state.highestToken();
    if (!state.leading() && !outdated) {
      state.setLeader(request.from());
    }
    if (campaign.mayOwnLeaderKey() || outdated) {
      return;
    }
    state.observeToken(request.token());
    givenPromises.promise(request, service.answersNow());
  }

  private void onPromise(PeerMessage.Promise promise) {
    service.onPeerReport(promise.from(), promise.stateServiceAnswers());
    if (state.leading() && promise.token() == state.token() && promises.accept(promise)) {
      handover.onPromise(promise);
    }
  }

  /**
   * Gives up leadership, if this node has it; the next read of the leader key finds who does.
   *
   * @param reason for the log
   */
  public void stepDown(String reason) {
    stepDown.stepDown(reason);
  }

  /**
   * Gives up leadership and the lease, so that another node can lead at once.
   *
   * @param reason for the log
   */
  public void resign(String reason) {
    stepDown.resign(reason);
  }
}
