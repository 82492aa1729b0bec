package org.snowturn.core.connectivity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
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
  private final CoreRuntime runtime;
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
  public ConnectivityMonitor(Settings settings, CoreRuntime runtime, LongSupplier stateOkAt) {
    this.settings = settings;
    this.runtime = runtime;
    this.stateOkAt = stateOkAt;
  }

  /** A worker has reported here, or answered this node. */
  public void workerHeard() {
    workersAt = runtime.now();
  }

  /** What this node reaches. */
  public Connectivity mine() {
    return new Connectivity(age(stateOkAt.getAsLong()), age(workersAt));
  }

  private int age(long at) {
    return at == Job.UNKNOWN
        ? Connectivity.NEVER
        : (int) Math.min(Integer.MAX_VALUE, runtime.now() - at);
  }

  /** Whether a peer could serve where this node cannot. */
  public boolean betterElsewhere() {
    return matrix.better(mine(), runtime.now());
  }

  /** The same, or nobody tells, so that it is as good as any other guess. */
  public boolean otherMayServe() {
    return betterElsewhere() || !hearsPeers();
  }

  /** Whether any peer has told lately what it reaches. */
  public boolean hearsPeers() {
    return matrix.known(runtime.now());
  }

  /** A peer that the state service answers, or null. */
  public String peerWithState() {
    return matrix.withState(runtime.now());
  }

  /** Looks and tells; {@code workers} are some that a leader hears, empty on other nodes. */
  public void tick(boolean leading, List<String> workers) {
    long now = runtime.now();
    if (leading && !workers.isEmpty() && now >= sampleAt) {
      sampleAt = now + SAMPLE_EVERY_MS;
      sample = workers;
      runtime.broadcast(new PeerMessage.WorkerSample(settings.node(), workers));
    }
    if (!leading && now >= probeAt && !sample.isEmpty()) {
      probeAt = now + PROBE_EVERY_MS;
      String addr = sample.get(next++ % sample.size());
      runtime.call(
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
        runtime.note(settings.node() + " reaches " + words(mine));
      }
      runtime.broadcast(new PeerMessage.ConnectivityReport(settings.node(), mine));
    }
  }

  /** Whether it is time for a leader to name workers. */
  public boolean wantsSample() {
    return runtime.now() >= sampleAt;
  }

  public void told(PeerMessage.ConnectivityReport r) {
    if (isPeer(r.from()) && matrix.told(r.from(), r.reach(), runtime.now())) {
      runtime.note(r.from() + " reaches " + words(r.reach()));
    }
  }

  public void told(PeerMessage.WorkerSample s) {
    if (isPeer(s.from())) {
      sample = s.workers().size() <= SAMPLE ? s.workers() : s.workers().subList(0, SAMPLE);
    }
  }

  private boolean isPeer(String node) {
    return settings.peers().stream().anyMatch(p -> p.node().equals(node));
  }

  private static String words(Connectivity connectivity) {
    return "the state service: "
        + (connectivity.state() ? "yes" : "no")
        + ", workers: "
        + (connectivity.workers() ? "yes" : "no");
  }

  /** For each node, 1 where it reaches the state service and 1 where it reaches workers. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    matrix.rows(runtime.now()).forEach((node, reach) -> put(gauges, node, reach));
    put(gauges, settings.node(), mine());
    return gauges;
  }

  private static void put(Map<String, Double> gauges, String node, Connectivity connectivity) {
    gauges.put("snowturn.reach.state{node=\"" + node + "\"}", connectivity.state() ? 1.0 : 0.0);
    gauges.put("snowturn.reach.workers{node=\"" + node + "\"}", connectivity.workers() ? 1.0 : 0.0);
  }
}
