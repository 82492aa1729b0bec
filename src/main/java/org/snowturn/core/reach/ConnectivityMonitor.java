package org.snowturn.core.reach;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;

/**
 * What this node reaches, and what its peers say that they reach. A node that does not lead hears
 * workers only when they look for a leader, so the leader names a few of them, which the others ask
 * now and then whether they answer.
 */
public final class ConnectivityMonitor {
  /** What goes round in a sample, and how often. */
  public static final int SAMPLE = 6;

  private static final long SAMPLE_EVERY_MS = 3_000;
  private static final long TELL_MS = 300;
  private static final long PROBE_EVERY_MS = 500;
  private static final int PROBE_TIMEOUT_MS = 1_000;

  private final Settings settings;
  private final Calls calls;
  private final LongSupplier stateOkAt;
  private final ConnectivityMatrix matrix = new ConnectivityMatrix();
  private List<String> sample = List.of();
  private int next;
  private long workersAt = Job.UNKNOWN;
  private long probeAt;
  private long tellAt;
  private long sampleAt;
  private Connectivity shown;

  /**
   * Knows nothing yet.
   *
   * @param stateOkAt when the last request that the state service answered was sent
   */
  public ConnectivityMonitor(Settings settings, Calls calls, LongSupplier stateOkAt) {
    this.settings = settings;
    this.calls = calls;
    this.stateOkAt = stateOkAt;
  }

  /** A worker has reported here, or answered this node. */
  public void workerHeard() {
    workersAt = calls.now();
  }

  /** What this node reaches. */
  public Connectivity mine() {
    return new Connectivity(age(stateOkAt.getAsLong()), age(workersAt));
  }

  private int age(long at) {
    return at == Job.UNKNOWN
        ? Connectivity.NEVER
        : (int) Math.min(Integer.MAX_VALUE, calls.now() - at);
  }

  /** Whether a peer could serve where this node cannot. */
  public boolean betterElsewhere() {
    return matrix.better(mine(), calls.now());
  }

  /** The same, or nobody tells, so that it is as good as any other guess. */
  public boolean otherMayServe() {
    return betterElsewhere() || !hearsPeers();
  }

  /** Whether any peer has told lately what it reaches. */
  public boolean hearsPeers() {
    return matrix.known(calls.now());
  }

  /** A peer that the state service answers, or null. */
  public String peerWithState() {
    return matrix.withState(calls.now());
  }

  /** Looks and tells; {@code workers} are some that a leader hears, empty on other nodes. */
  public void tick(boolean leading, List<String> workers) {
    long now = calls.now();
    if (leading && !workers.isEmpty() && now >= sampleAt) {
      sampleAt = now + SAMPLE_EVERY_MS;
      sample = workers;
      calls.toPeers(new PeerRecord.Sample(settings.node(), workers));
    }
    if (!leading && now >= probeAt && !sample.isEmpty()) {
      probeAt = now + PROBE_EVERY_MS;
      String addr = sample.get(next++ % sample.size());
      calls.call(
          Effect.Target.WORKER,
          addr,
          "GET",
          "/status",
          null,
          PROBE_TIMEOUT_MS,
          (outcome, status, body) -> {
            if (outcome == Outcome.ANSWERED) {
              workerHeard();
            }
          });
    }
    if (now >= tellAt) {
      tellAt = now + TELL_MS;
      Connectivity mine = mine();
      if (shown == null || shown.state() != mine.state() || shown.workers() != mine.workers()) {
        shown = mine;
        calls.note(settings.node() + " reaches " + words(mine));
      }
      calls.toPeers(new PeerRecord.Reaches(settings.node(), mine));
    }
  }

  /** Whether it is time for a leader to name workers. */
  public boolean wantsSample() {
    return calls.now() >= sampleAt;
  }

  public void told(PeerRecord.Reaches r) {
    if (isPeer(r.from()) && matrix.told(r.from(), r.reach(), calls.now())) {
      calls.note(r.from() + " reaches " + words(r.reach()));
    }
  }

  public void told(PeerRecord.Sample s) {
    if (isPeer(s.from())) {
      sample = s.workers().size() <= SAMPLE ? s.workers() : s.workers().subList(0, SAMPLE);
    }
  }

  private boolean isPeer(String node) {
    return settings.peers().stream().anyMatch(p -> p.node().equals(node));
  }

  private static String words(Connectivity r) {
    return "the state service: "
        + (r.state() ? "yes" : "no")
        + ", workers: "
        + (r.workers() ? "yes" : "no");
  }

  /** For each node, 1 where it reaches the state service and 1 where it reaches workers. */
  public Map<String, Double> gauges() {
    Map<String, Double> g = new HashMap<>();
    matrix.rows(calls.now()).forEach((node, reach) -> put(g, node, reach));
    put(g, settings.node(), mine());
    return g;
  }

  private static void put(Map<String, Double> g, String node, Connectivity r) {
    g.put("snowturn.reach.state{node=\"" + node + "\"}", r.state() ? 1.0 : 0.0);
    g.put("snowturn.reach.workers{node=\"" + node + "\"}", r.workers() ? 1.0 : 0.0);
  }
}
