package org.snowturn.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.admission.Admission;
import org.snowturn.core.authority.CancellationWatermark;
import org.snowturn.core.authority.Election;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.reach.ConnectivityMonitor;
import org.snowturn.core.reach.Relays;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.term.Leader;
import org.snowturn.core.users.JobApi;
import org.snowturn.core.users.LiveJobCache;
import org.snowturn.wire.Command;

/**
 * A controller as a state machine: inputs with their time go in, effects come out. It does no I/O,
 * reads no clock and starts no thread, so that tests drive the very code that runs.
 */
public final class Controller {
  /** For so long after its authority has ended, a leader sends workers to a peer. */
  private static final long SENT_ON_MS = 3_000;

  private final Calls calls;
  private final Settings settings;
  private final Tunables tunables;
  private final Catalog catalog;
  private final FormatGate gate;
  private final JobApi jobApi;
  private final Election election;
  private final ConnectivityMonitor surroundings;
  private final Relays relays;
  private final Admission admission;
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
    calls = new Calls(incarnation.hashCode());
    admission =
        new Admission(
            settings.peers().stream().map(Settings.Peer::node).toList(),
            settings.stateLimits().least(settings.nextStateLimits()).rps(),
            settings.stateLimits().least(settings.nextStateLimits()).writeRps(),
            calls.random(),
            startedMs);
    calls.keep(admission.budget());
    watermark = new CancellationWatermark(settings, calls, incarnation);
    watermark.listen(this::cancelled);
    liveJobs = new LiveJobCache(settings, calls, proofs());
    catalog = new Catalog(calls);
    election = new Election(settings, tunables, calls, watermark, incarnation, startedMs);
    gate = new FormatGate(settings, calls);
    surroundings = new ConnectivityMonitor(settings, calls, election::stateOkAt);
    election.holdBackIf(surroundings::betterElsewhere);
    relays = new Relays(settings, calls, surroundings, () -> surroundings.mine().state());
    jobApi =
        new JobApi(
            settings,
            calls,
            catalog,
            gate,
            relays,
            admission.gate(),
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
    calls.events().debug(on);
  }

  /** Takes one input and returns what is to be done. */
  public List<Effect> handle(long nowMs, long wallMs, Input input) {
    calls.at(nowMs, wallMs);
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Reply r) {
      calls.reply(r);
    } else if (input instanceof Input.CheckIn c) {
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
    calls.settle();
    follow();
    if (leader != null) {
      leader.flush();
    }
    return calls.drain();
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
        || (surroundings.hearsPeers() && !election.peersReachState());
  }

  /** Figures for operators. */
  public Map<String, Double> gauges() {
    Map<String, Double> g = new HashMap<>();
    g.put("snowturn.format.gate", gate.open() ? 1.0 : 0.0);
    g.put("snowturn.relayed", (double) relays.relayed());
    g.putAll(surroundings.gauges());
    g.putAll(watermark.gauges());
    g.putAll(admission.gauges(calls.now()));
    g.put("snowturn.picture.jobs", (double) liveJobs.size());
    g.put("snowturn.picture.proofs", (double) liveJobs.proofs());
    g.put("snowturn.picture.loads", (double) liveJobs.loads());
    g.put("snowturn.picture.waiting", (double) liveJobs.waiting());
    if (leader != null) {
      g.putAll(leader.gauges());
    }
    return g;
  }

  private void tick() {
    calls.tick();
    catalog.tick();
    election.tick();
    gate.tick();
    liveJobs.tick();
    admit();
    follow();
    authorityAt = election.hasAuthority() ? calls.now() : authorityAt;
    if (leader != null) {
      leader.tick();
    }
    boolean names = leader != null && surroundings.wantsSample();
    surroundings.tick(
        leader != null, names ? leader.someWorkers(ConnectivityMonitor.SAMPLE) : List.of());
  }

  private void admit() {
    admission.led(leader == null ? 0 : leader.changesMade());
    if (admission.tick(calls.now())) {
      calls.toPeers(new PeerRecord.Need(settings.node(), admission.mine(calls.now())));
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
              calls,
              settings,
              tunables,
              election,
              watermark,
              catalog,
              gate,
              jobApi,
              surroundings,
              rate -> admission.mayLead(rate, calls.now()));
    }
  }

  private void checkIn(Input.CheckIn c) {
    surroundings.workerHeard();
    if (leader != null && election.hasAuthority()) {
      leader.checkIn(c.exchange(), c.report());
      return;
    }
    calls.answer(
        c.exchange(), 421, Command.elsewhere(leader != null ? anyPeer() : election.leader()));
  }

  /**
   * Where workers go from a leader that has lost its authority, and so most likely its links to the
   * state service and to the peers, so that it does not know who leads now: to a node that does, at
   * once, instead of to the next one a second later.
   */
  private String anyPeer() {
    List<Settings.Peer> peers = settings.peers();
    if (calls.now() - authorityAt > SENT_ON_MS) {
      return null; // nobody leads: sent to and fro at once, a thousand workers would be a flood
    }
    return peers.isEmpty() ? null : peers.get(calls.random().nextInt(peers.size())).node();
  }

  private void fromPeer(Input.FromPeer p) {
    if (p.message() instanceof PeerRecord.Progress g) {
      jobApi.progress(g);
    } else if (p.message() instanceof PeerRecord.Need m) {
      admission.told(m.from(), m.need(), calls.now());
    } else if (p.message() instanceof PeerRecord.Reaches m) {
      surroundings.told(m);
    } else if (p.message() instanceof PeerRecord.Sample m) {
      surroundings.told(m);
    } else if (p.message() instanceof PeerRecord.Relay m) {
      relays.asked(m);
    } else if (p.message() instanceof PeerRecord.Relayed m) {
      relays.answered(m);
    } else if (p.message() instanceof PeerRecord.AskCancelled m) {
      watermark.asked(m);
    } else if (p.message() instanceof PeerRecord.Cancelled m) {
      watermark.heard(m);
    } else {
      election.fromPeer(p.message());
    }
  }
}
