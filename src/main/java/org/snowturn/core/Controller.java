package org.snowturn.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
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
 * A controller as a state machine: inputs with their time go in, effects come out. It does no I/O,
 * reads no clock and starts no thread, so that tests drive the very code that runs. One thread at a
 * time may call it.
 */
public final class Controller {
  /** For so long after its authority has ended, a leader redirects workers to a peer. */
  private static final long REDIRECT_MS = 3_000;

  /** The HTTP status that sends a worker to another controller. */
  private static final int MISDIRECTED_REQUEST = 421;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Tunables tunables;
  private final MachineTypes machineTypes;
  private final FormatGate formatGate;
  private final JobApi jobApi;
  private final Election election;
  private final ConnectivityMonitor connectivity;
  private final StateRequestRelay relay;
  private final RateAllocator rateAllocator;
  private final LiveJobCache liveJobs;
  private final CancellationWatermark watermark;
  private Leader leader;
  private long lastAuthorityAt;

  /**
   * A controller that has done nothing yet.
   *
   * @param incarnation a name that no other process of this node has had
   * @param startedMs when the process began, in milliseconds of the steady clock
   */
  public Controller(Settings settings, Tunables tunables, String incarnation, long startedMs) {
    this.settings = settings;
    this.tunables = tunables;
    runtime = new CoreRuntime(incarnation.hashCode());
    rateAllocator =
        new RateAllocator(
            settings.peers().stream().map(Settings.Peer::node).toList(),
            settings.stateLimits().least(settings.nextStateLimits()).rps(),
            settings.stateLimits().least(settings.nextStateLimits()).writeRps(),
            runtime.random(),
            startedMs);
    runtime.setStateRequestBudget(rateAllocator.budget());
    watermark = new CancellationWatermark(settings, runtime, incarnation);
    watermark.listen(this::onCancellation);
    liveJobs = new LiveJobCache(settings, runtime, cacheListener());
    machineTypes = new MachineTypes(runtime);
    election = new Election(settings, tunables, runtime, watermark, incarnation, startedMs);
    formatGate = new FormatGate(settings, runtime);
    connectivity = new ConnectivityMonitor(settings, runtime, election::stateServiceAnsweredAt);
    election.deferIf(connectivity::betterElsewhere);
    relay =
        new StateRequestRelay(
            settings, runtime, connectivity, () -> connectivity.mine().stateService());
    JobApi.Services services =
        new JobApi.Services(
            machineTypes, formatGate, relay, rateAllocator.admissionController(), liveJobs);
    jobApi =
        new JobApi(settings, runtime, services, election::stateServiceHealthy, cancelledJobs());
  }

  private CancelledJobs cancelledJobs() {
    return new CancelledJobs() {
      @Override
      public void confirm(String job) {
        watermark.confirm(job);
      }

      @Override
      public boolean known(String job) {
        return watermark.cancelled(job);
      }

      @Override
      public boolean current() {
        return watermark.mayReportLive();
      }
    };
  }

  /** The watermark of cancellations moves with what the cache of live jobs has read. */
  private LiveJobCache.Listener cacheListener() {
    return new LiveJobCache.Listener() {
      @Override
      public void cancelled(String job) {
        watermark.learn(job);
      }

      @Override
      public void complete(long at) {
        watermark.read(at);
      }
    };
  }

  private void onCancellation(String job) {
    if (leader != null) {
      leader.cancellationConfirmed(job);
    }
  }

  /** Whether to write a line of the log for each task, heartbeat and answer as well. */
  public void logDetails(boolean on) {
    runtime.events().debug(on);
  }

  /**
   * Takes one input and returns what is to be done.
   *
   * @param nowMs the steady clock
   * @param wallMs the time of day, in milliseconds since 1970
   */
  public List<Effect> handle(long nowMs, long wallMs, Input input) {
    runtime.setTime(nowMs, wallMs);
    dispatch(input);
    runtime.deliverBudgetRefusals();
    followElection();
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

  /** Whether this node may give commands now. */
  public boolean hasAuthority() {
    return election.hasAuthority();
  }

  /**
   * Whether this node should get new users: not when it alone has lost the state service, nor when
   * it hears no peer either, so that it cannot tell. In an outage, which all nodes share and tell
   * each other of, they stay in place.
   */
  public boolean ready() {
    return election.stateServiceHealthy()
        || relay.possible()
        || settings.peers().isEmpty()
        || (connectivity.hearsPeers() && !election.peersReachStateService());
  }

  /** Figures for operators. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    gauges.put("snowturn.format.gate", formatGate.open() ? 1.0 : 0.0);
    gauges.put("snowturn.state.requests.relayed", (double) relay.relayed());
    gauges.putAll(connectivity.gauges());
    gauges.putAll(watermark.gauges());
    gauges.putAll(rateAllocator.gauges(runtime.now()));
    gauges.put("snowturn.cache.jobs", (double) liveJobs.size());
    gauges.put("snowturn.cache.validations", (double) liveJobs.proofs());
    gauges.put("snowturn.cache.reloads", (double) liveJobs.loads());
    gauges.put("snowturn.cache.waiting", (double) liveJobs.waiting());
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
    followElection();
    lastAuthorityAt = election.hasAuthority() ? runtime.now() : lastAuthorityAt;
    if (leader != null) {
      leader.tick();
    }
    boolean sampleDue = leader != null && connectivity.wantsSample();
    connectivity.tick(
        leader != null,
        sampleDue ? leader.sampleWorkerAddresses(ConnectivityMonitor.SAMPLE_SIZE) : List.of());
  }

  private void tickRateAllocation() {
    rateAllocator.setLeaderDemand(leader == null ? 0 : leader.writesPerSecond());
    if (rateAllocator.tick(runtime.now())) {
      runtime.broadcast(
          new PeerMessage.RateDemandReport(settings.node(), rateAllocator.demand(runtime.now())));
    }
  }

  /** Starts or ends a term as the election has it. */
  private void followElection() {
    if (leader != null && (!election.leading() || election.token() != leader.token())) {
      leader.end();
      leader = null;
    }
    if (leader == null && election.leading()) {
      liveJobs.refresh(); // workers are answered as far as cancellations are known
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
    connectivity.workerHeard();
    if (leader != null && election.hasAuthority()) {
      leader.handleHeartbeat(received.exchange(), received.heartbeat());
      return;
    }
    runtime.answer(
        received.exchange(),
        MISDIRECTED_REQUEST,
        Command.elsewhere(leader != null ? anyPeer() : election.leader()));
  }

  /**
   * Where workers go from a leader that has lost its authority, and so most likely its links to the
   * state service and to the peers, so that it does not know who leads now: to a node that does, at
   * once, instead of to the next one a second later. Null once nobody may lead for longer: workers
   * that all nodes redirect at once would be a flood.
   */
  private String anyPeer() {
    List<Settings.Peer> peers = settings.peers();
    if (runtime.now() - lastAuthorityAt > REDIRECT_MS) {
      return null;
    }
    return peers.isEmpty() ? null : peers.get(runtime.random().nextInt(peers.size())).node();
  }

  private void onPeerMessage(PeerMessage message) {
    if (message instanceof PeerMessage.JobProgress progress) {
      jobApi.onProgress(progress);
    } else if (message instanceof PeerMessage.RateDemandReport report) {
      rateAllocator.recordPeerDemand(report.from(), report.demand(), runtime.now());
    } else if (message instanceof PeerMessage.ConnectivityReport report) {
      connectivity.onReport(report);
    } else if (message instanceof PeerMessage.WorkerSample sample) {
      connectivity.onSample(sample);
    } else if (message instanceof PeerMessage.RelayRequest request) {
      relay.onRequest(request);
    } else if (message instanceof PeerMessage.RelayReply reply) {
      relay.onReply(reply);
    } else if (message instanceof PeerMessage.CancellationsRequest request) {
      watermark.onRequest(request);
    } else if (message instanceof PeerMessage.CancellationsReply reply) {
      watermark.onReply(reply);
    } else {
      election.fromPeer(message);
    }
  }
}
