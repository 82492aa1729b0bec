package org.snowturn.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.admission.LiveJobMemory;
import org.snowturn.core.admission.RateAllocator;
import org.snowturn.core.api.CancelledJobs;
import org.snowturn.core.api.JobApi;
import org.snowturn.core.api.LiveJobCache;
import org.snowturn.core.connectivity.ConnectivityMonitor;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.election.Election;
import org.snowturn.core.leader.Leader;
import org.snowturn.core.leader.LeaderDependencies;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.wire.Command;

/**
 * The state machine of one controller node: it takes inputs together with the current time and
 * returns the effects to perform.
 *
 * <p>It does no I/O, reads no clock and starts no threads, so that tests run the same code as
 * production. It is not thread-safe; callers must make sure that only one thread calls it at a
 * time.
 */
public final class Controller {
  /** Time after a leader has lost its authority during which it redirects workers to a peer. */
  private static final long REDIRECT_WINDOW_MS = 3_000;

  /** HTTP status that sends a worker to another controller. */
  private static final int MISDIRECTED_REQUEST = 421;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Tunables tunables;
  private final MachineTypes machineTypes;
  private final FormatGate formatGate;
  private final JobApi jobApi;
  private final Election election;
  private final ConnectivityMonitor connectivity;
  private final StateRequestRelay stateRequestRelay;
  private final RateAllocator rateAllocator;
  private final LiveJobMemory liveJobMemory;
  private final LiveJobCache liveJobs;
  private final CancellationWatermark watermark;
  private Leader leader;
  private long lastAuthorityAt;

  /**
   * Creates a controller that does not lead and has sent nothing.
   *
   * @param incarnation a name that no other process of this node has used
   * @param startedAtMs the time at which this process started, in milliseconds of the monotonic
   *     clock
   * @param heapBytes the size of the heap, which the live jobs must fit into
   */
  public Controller(
      Settings settings, Tunables tunables, String incarnation, long startedAtMs, long heapBytes) {
    this.settings = settings;
    this.tunables = tunables;
    runtime = new CoreRuntime(incarnation.hashCode());
    rateAllocator =
        new RateAllocator(
            settings.peers().stream().map(Settings.Peer::node).toList(),
            settings.stateLimits().min(settings.nextStateLimits()).maxRps(),
            settings.stateLimits().min(settings.nextStateLimits()).maxWriteRps(),
            runtime.random(),
            startedAtMs);
    runtime.setStateRequestBudget(rateAllocator.budget());
    watermark = new CancellationWatermark(settings, runtime, incarnation);
    watermark.setListener(this::onCancellation);
    liveJobMemory = new LiveJobMemory(heapBytes);
    liveJobs = new LiveJobCache(settings, runtime, liveJobListener(), liveJobMemory);
    machineTypes = new MachineTypes(runtime);
    election = new Election(settings, tunables, runtime, watermark, incarnation, startedAtMs);
    formatGate = new FormatGate(settings, runtime);
    connectivity = new ConnectivityMonitor(settings, runtime, election::stateServiceAnsweredAt);
    election.deferClaimIf(connectivity::hasBetterPeer);
    stateRequestRelay =
        new StateRequestRelay(
            settings,
            runtime,
            connectivity,
            () -> connectivity.ownConnectivity().canReachStateService());
    jobApi = createJobApi();
  }

  private JobApi createJobApi() {
    JobApi.Services services =
        new JobApi.Services(
            machineTypes,
            formatGate,
            stateRequestRelay,
            rateAllocator.admissionController(),
            liveJobs,
            liveJobMemory);
    return new JobApi(
        settings,
        runtime,
        services,
        election::isStateServiceHealthy,
        cancelledJobs(),
        this::requestProgress);
  }

  /** Publishes the progress of jobs as the leader, or asks the leader to. */
  private void requestProgress(List<String> jobs) {
    if (leader != null) {
      leader.publishProgress(jobs);
    } else {
      runtime.broadcast(new PeerMessage.ProgressRequest(settings.node(), jobs));
    }
  }

  private CancelledJobs cancelledJobs() {
    return new CancelledJobs() {
      @Override
      public void confirm(String job) {
        watermark.confirm(job);
      }

      @Override
      public boolean isKnownCancelled(String job) {
        return watermark.isKnownCancelled(job);
      }

      @Override
      public boolean canReportLive() {
        return watermark.canReportLive();
      }
    };
  }

  /** Creates a listener that passes what the cache of live jobs reads to the watermark. */
  private LiveJobCache.Listener liveJobListener() {
    return new LiveJobCache.Listener() {
      @Override
      public void onCancelled(String job) {
        watermark.learn(job);
      }

      @Override
      public void onUpToDate(long at) {
        watermark.onLiveJobsRead(at);
      }
    };
  }

  private void onCancellation(String job) {
    if (leader != null) {
      leader.onCancellationConfirmed(job);
    }
  }

  /**
   * Turns the log lines for individual tasks, heartbeats and answers on or off.
   *
   * @param isEnabled whether these lines are written
   */
  public void setDebugLogging(boolean isEnabled) {
    runtime.events().setDebugEnabled(isEnabled);
  }

  /**
   * Handles one input and returns the effects to perform.
   *
   * @param nowMs the current time of the monotonic clock, in milliseconds
   * @param wallMs the time of day, in milliseconds since 1970
   * @return the effects in the order in which they are to be performed
   */
  public List<Effect> handle(long nowMs, long wallMs, Input input) {
    runtime.setTime(nowMs, wallMs);
    dispatch(input);
    runtime.deliverBudgetRefusals();
    updateTerm();
    if (leader != null) {
      leader.flush();
    }
    return runtime.drainEffects();
  }

  private void dispatch(Input input) {
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Reply reply) {
      runtime.handleReply(reply);
    } else if (input instanceof Input.HeartbeatReceived heartbeat) {
      onHeartbeat(heartbeat);
    } else if (input instanceof Input.Submit submission) {
      jobApi.submit(submission.exchange(), submission.spec());
    } else if (input instanceof Input.Poll poll) {
      jobApi.poll(poll.exchange(), poll.job());
    } else if (input instanceof Input.Cancel cancellation) {
      jobApi.cancel(cancellation.exchange(), cancellation.job());
    } else if (input instanceof Input.FromPeer received) {
      onPeerMessage(received.message());
    }
  }

  /** Returns whether this node currently has the authority to command workers. */
  public boolean hasAuthority() {
    return election.hasAuthority();
  }

  /**
   * Returns whether a load balancer should send new users to this node.
   *
   * <p>A node that can reach the state service, directly or through a peer, is ready, and so is a
   * node without peers. Any other node is ready only while it hears its peers and none of them
   * reaches the state service: the service is then down for all nodes, and moving users would not
   * help. A node that hears no peer is not ready, since only its own link may be down.
   */
  public boolean isReady() {
    return election.isStateServiceHealthy()
        || stateRequestRelay.canReachStateService()
        || settings.peers().isEmpty()
        || (connectivity.hasRecentPeerReport() && !election.canPeersReachStateService());
  }

  /** Returns the gauges of this node, by metric name. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    gauges.put("snowturn.format.gate", formatGate.isOpen() ? 1.0 : 0.0);
    gauges.put("snowturn.state.requests.relayed", (double) stateRequestRelay.relayedRequests());
    gauges.putAll(connectivity.gauges());
    gauges.putAll(watermark.gauges());
    gauges.putAll(rateAllocator.gauges(runtime.now()));
    gauges.putAll(liveJobMemory.gauges());
    gauges.put("snowturn.cache.jobs", (double) liveJobs.size());
    gauges.put("snowturn.cache.validations", (double) liveJobs.validations());
    gauges.put("snowturn.cache.reloads", (double) liveJobs.loads());
    gauges.put("snowturn.cache.waiting", (double) liveJobs.waiterCount());
    if (leader != null) {
      gauges.putAll(leader.gauges());
    }
    return gauges;
  }

  private void tick() {
    runtime.tick();
    machineTypes.tick();
    election.tick();
    formatGate.tick();
    liveJobs.tick();
    tickRateAllocation();
    updateTerm();
    lastAuthorityAt = election.hasAuthority() ? runtime.now() : lastAuthorityAt;
    if (leader != null) {
      leader.tick();
    }
    boolean isSampleDue = leader != null && connectivity.isSampleDue();
    connectivity.tick(
        leader != null,
        isSampleDue ? leader.sampleWorkerAddresses(ConnectivityMonitor.SAMPLE_SIZE) : List.of());
  }

  private void tickRateAllocation() {
    rateAllocator.setLeaderDemand(leader == null ? 0 : leader.writesPerSecond());
    if (rateAllocator.tick(runtime.now())) {
      runtime.broadcast(
          new PeerMessage.RateDemandReport(settings.node(), rateAllocator.demand(runtime.now())));
    }
  }

  /** Starts or ends this node's term so that it matches the result of the election. */
  private void updateTerm() {
    if (leader != null && (!election.isLeader() || election.token() != leader.token())) {
      leader.end();
      leader = null;
    }
    if (leader == null && election.isLeader()) {
      // A leader may renew the leases of workers only while its view of cancellations is recent.
      liveJobs.requestValidation();
      leader =
          new Leader(
              new LeaderDependencies(
                  runtime,
                  settings,
                  tunables,
                  election,
                  watermark,
                  machineTypes,
                  formatGate,
                  jobApi,
                  connectivity,
                  rate -> rateAllocator.leaderRate(rate, runtime.now())));
    }
  }

  private void onHeartbeat(Input.HeartbeatReceived received) {
    connectivity.onWorkerHeard();
    if (leader != null && election.hasAuthority()) {
      leader.handleHeartbeat(received.exchange(), received.heartbeat());
      return;
    }
    runtime.answer(
        received.exchange(),
        MISDIRECTED_REQUEST,
        Command.misdirectedResponse(leader != null ? redirectTarget() : election.leader()));
  }

  /**
   * Returns the node to which a leader without authority redirects workers, or null for no
   * redirect.
   *
   * <p>Such a leader has probably lost its links to the state service and to its peers, and does
   * not know the new leader. A random peer probably does. Redirecting saves the worker the second
   * that it waits before it tries the next node by itself.
   *
   * <p>If no node leads for longer than {@link #REDIRECT_WINDOW_MS}, redirects stop: otherwise all
   * nodes would keep redirecting all workers to each other.
   */
  private String redirectTarget() {
    List<Settings.Peer> peers = settings.peers();
    if (runtime.now() - lastAuthorityAt > REDIRECT_WINDOW_MS) {
      return null;
    }
    return peers.isEmpty() ? null : peers.get(runtime.random().nextInt(peers.size())).node();
  }

  private void onPeerMessage(PeerMessage message) {
    if (onProgressMessage(message)) {
      return;
    }
    if (message instanceof PeerMessage.RateDemandReport report) {
      rateAllocator.recordPeerDemand(report.from(), report.demand(), runtime.now());
    } else if (message instanceof PeerMessage.ConnectivityReport report) {
      connectivity.onReport(report);
    } else if (message instanceof PeerMessage.WorkerSample sample) {
      connectivity.onSample(sample);
    } else if (message instanceof PeerMessage.RelayRequest request) {
      stateRequestRelay.onRequest(request);
    } else if (message instanceof PeerMessage.RelayReply reply) {
      stateRequestRelay.onReply(reply);
    } else if (message instanceof PeerMessage.CancellationsRequest request) {
      watermark.onRequest(request);
    } else if (message instanceof PeerMessage.CancellationsReply reply) {
      watermark.onReply(reply);
    } else {
      election.onPeerMessage(message);
    }
  }

  /** Handles a message about the progress of jobs. Returns whether it was one. */
  private boolean onProgressMessage(PeerMessage message) {
    if (message instanceof PeerMessage.JobProgress progress) {
      jobApi.onProgress(progress);
      return true;
    }
    if (message instanceof PeerMessage.ProgressRequest request) {
      if (leader != null) {
        leader.publishProgress(request.jobs());
      }
      return true;
    }
    return false;
  }
}
