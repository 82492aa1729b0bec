package org.snowturn.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.admission.RateAllocator;
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
 * reads no clock and starts no thread, so that tests drive the very code that runs.
 */
public final class Controller {
  /** For so long after its authority has ended, a leader sends workers to a peer. */
  private static final long SENT_ON_MS = 3_000;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Tunables tunables;
  private final MachineTypes machineTypes;
  private final FormatGate gate;
  private final JobApi jobApi;
  private final Election election;
  private final ConnectivityMonitor connectivity;
  private final StateRequestRelay relays;
  private final RateAllocator rateAllocator;
  private final LiveJobCache liveJobs;
  private final CancellationWatermark watermark;
  private Leader leader;
  private long authorityAt;

  /**
   * Makes a controller that has done nothing yet.
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
    runtime.limitStateRequests(rateAllocator.budget());
    watermark = new CancellationWatermark(settings, runtime, incarnation);
    watermark.listen(this::cancelled);
    liveJobs = new LiveJobCache(settings, runtime, proofs());
    machineTypes = new MachineTypes(runtime);
    election = new Election(settings, tunables, runtime, watermark, incarnation, startedMs);
    gate = new FormatGate(settings, runtime);
    connectivity = new ConnectivityMonitor(settings, runtime, election::stateOkAt);
    election.holdBackIf(connectivity::betterElsewhere);
    relays =
        new StateRequestRelay(settings, runtime, connectivity, () -> connectivity.mine().state());
    jobApi =
        new JobApi(
            settings,
            runtime,
            machineTypes,
            gate,
            relays,
            rateAllocator.gate(),
            liveJobs,
            election::stateHealthy,
            cancelledJobs());
  }

  private JobApi.CancelledJobs cancelledJobs() {
    return new JobApi.CancelledJobs() {
      @Override
      public void tell(String job) {
        watermark.tell(job);
      }

      @Override
      public boolean known(String job) {
        return watermark.cancelled(job);
      }

      @Override
      public boolean current() {
        return watermark.tells();
      }
    };
  }

  /** What the cache of live jobs proves, the watermark of cancellations rests on. */
  private LiveJobCache.Listener proofs() {
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

  private void cancelled(String job) {
    if (leader != null) {
      leader.cancelled(job);
    }
  }

  /** Writes a line of the log for each task, report and answer as well. */
  public void logDetails(boolean on) {
    runtime.events().debug(on);
  }

  /** Takes one input and returns what is to be done. */
  public List<Effect> handle(long nowMs, long wallMs, Input input) {
    runtime.setTime(nowMs, wallMs);
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Reply reply) {
      runtime.handleReply(reply);
    } else if (input instanceof Input.HeartbeatReceived c) {
      checkIn(c);
    } else if (input instanceof Input.Submit s) {
      jobApi.submit(s.exchange(), s.spec());
    } else if (input instanceof Input.Poll p) {
      jobApi.poll(p.exchange(), p.job());
    } else if (input instanceof Input.Cancel c) {
      jobApi.cancel(c.exchange(), c.job());
    } else if (input instanceof Input.FromPeer p) {
      fromPeer(p);
    }
    runtime.rejectUnbudgeted();
    follow();
    if (leader != null) {
      leader.flush();
    }
    return runtime.drainEffects();
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
    return election.stateHealthy()
        || relays.possible()
        || settings.peers().isEmpty()
        || (connectivity.hearsPeers() && !election.peersReachState());
  }

  /** Figures for operators. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    gauges.put("snowturn.format.gate", gate.open() ? 1.0 : 0.0);
    gauges.put("snowturn.relayed", (double) relays.relayed());
    gauges.putAll(connectivity.gauges());
    gauges.putAll(watermark.gauges());
    gauges.putAll(rateAllocator.gauges(runtime.now()));
    gauges.put("snowturn.picture.jobs", (double) liveJobs.size());
    gauges.put("snowturn.picture.proofs", (double) liveJobs.proofs());
    gauges.put("snowturn.picture.loads", (double) liveJobs.loads());
    gauges.put("snowturn.picture.waiting", (double) liveJobs.waiting());
    if (leader != null) {
      gauges.putAll(leader.gauges());
    }
    return gauges;
  }

  private void tick() {
    runtime.tick();
    machineTypes.tick();
    election.tick();
    gate.tick();
    liveJobs.tick();
    admit();
    follow();
    authorityAt = election.hasAuthority() ? runtime.now() : authorityAt;
    if (leader != null) {
      leader.tick();
    }
    boolean names = leader != null && connectivity.wantsSample();
    connectivity.tick(
        leader != null, names ? leader.someWorkers(ConnectivityMonitor.SAMPLE) : List.of());
  }

  private void admit() {
    rateAllocator.led(leader == null ? 0 : leader.changesMade());
    if (rateAllocator.tick(runtime.now())) {
      runtime.broadcast(
          new PeerMessage.RateDemandReport(settings.node(), rateAllocator.mine(runtime.now())));
    }
  }

  /** Starts or ends a term as the election has it. */
  private void follow() {
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
                  gate,
                  jobApi,
                  connectivity,
                  rate -> rateAllocator.mayLead(rate, runtime.now())));
    }
  }

  private void checkIn(Input.HeartbeatReceived c) {
    connectivity.workerHeard();
    if (leader != null && election.hasAuthority()) {
      leader.checkIn(c.exchange(), c.heartbeat());
      return;
    }
    runtime.answer(
        c.exchange(), 421, Command.elsewhere(leader != null ? anyPeer() : election.leader()));
  }

  /**
   * Where workers go from a leader that has lost its authority, and so most likely its links to the
   * state service and to the peers, so that it does not know who leads now: to a node that does, at
   * once, instead of to the next one a second later.
   */
  private String anyPeer() {
    List<Settings.Peer> peers = settings.peers();
    if (runtime.now() - authorityAt > SENT_ON_MS) {
      return null; // nobody leads: sent to and fro at once, a thousand workers would be a flood
    }
    return peers.isEmpty() ? null : peers.get(runtime.random().nextInt(peers.size())).node();
  }

  private void fromPeer(Input.FromPeer p) {
    if (p.message() instanceof PeerMessage.JobProgress g) {
      jobApi.progress(g);
    } else if (p.message() instanceof PeerMessage.RateDemandReport m) {
      rateAllocator.told(m.from(), m.demand(), runtime.now());
    } else if (p.message() instanceof PeerMessage.ConnectivityReport m) {
      connectivity.told(m);
    } else if (p.message() instanceof PeerMessage.WorkerSample m) {
      connectivity.told(m);
    } else if (p.message() instanceof PeerMessage.RelayRequest m) {
      relays.asked(m);
    } else if (p.message() instanceof PeerMessage.RelayReply m) {
      relays.answered(m);
    } else if (p.message() instanceof PeerMessage.CancellationsRequest m) {
      watermark.asked(m);
    } else if (p.message() instanceof PeerMessage.CancellationsReply m) {
      watermark.heard(m);
    } else {
      election.fromPeer(p.message());
    }
  }
}
