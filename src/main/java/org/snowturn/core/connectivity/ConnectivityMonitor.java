package org.snowturn.core.connectivity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;

/**
 * What this node reaches, and what its peers say that they reach. A node that does not lead hears
 * workers only when they look for a leader, so the leader names a few of them, which the others
 * probe regularly.
 */
public final class ConnectivityMonitor {
  /** How many workers a sample names. */
  public static final int SAMPLE_SIZE = 6;

  private static final long SAMPLE_INTERVAL_MS = 3_000;
  private static final long REPORT_INTERVAL_MS = 300;
  private static final long PROBE_INTERVAL_MS = 500;
  private static final int PROBE_TIMEOUT_MS = 1_000;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final LongSupplier stateServiceAnsweredAt;
  private final ConnectivityMatrix matrix = new ConnectivityMatrix();
  private List<String> sample = List.of();
  private int probes;
  private long workerHeardAt = MonotonicTime.NEVER;
  private long nextProbeAt;
  private long nextReportAt;
  private long nextSampleAt;
  private Connectivity logged;

  /**
   * Knows nothing yet.
   *
   * @param stateServiceAnsweredAt when the last request that the state service answered was sent,
   *     in milliseconds of the steady clock; {@link MonotonicTime#NEVER} if none was
   */
  public ConnectivityMonitor(
      Settings settings, CoreRuntime runtime, LongSupplier stateServiceAnsweredAt) {
    this.settings = settings;
    this.runtime = runtime;
    this.stateServiceAnsweredAt = stateServiceAnsweredAt;
  }

  /** A worker has sent a heartbeat here, or answered this node. */
  public void workerHeard() {
    workerHeardAt = runtime.now();
  }

  /** What this node reaches. */
  public Connectivity mine() {
    return new Connectivity(ageMs(stateServiceAnsweredAt.getAsLong()), ageMs(workerHeardAt));
  }

  private int ageMs(long at) {
    return at == MonotonicTime.NEVER
        ? Connectivity.NEVER
        : (int) Math.min(Integer.MAX_VALUE, runtime.now() - at);
  }

  /** Whether a peer could serve where this node cannot. */
  public boolean betterElsewhere() {
    return matrix.anyBetterThan(mine(), runtime.now());
  }

  /** Whether a peer could serve where this node cannot, or no peer is heard, so that one may. */
  public boolean otherMayServe() {
    return betterElsewhere() || !hearsPeers();
  }

  /** Whether any peer has told lately what it reaches. */
  public boolean hearsPeers() {
    return matrix.anyFresh(runtime.now());
  }

  /** A peer that the state service answers; null if none is known. */
  public String peerWithStateService() {
    return matrix.peerWithStateService(runtime.now());
  }

  /**
   * Probes a worker and tells the peers what this node reaches, each if it is time.
   *
   * @param workers addresses of some that a leader hears; empty on other nodes
   */
  public void tick(boolean leading, List<String> workers) {
    if (leading) {
      sendSample(workers);
    } else {
      probeWorker();
    }
    report();
  }

  private void sendSample(List<String> workers) {
    if (!workers.isEmpty() && wantsSample()) {
      nextSampleAt = runtime.now() + SAMPLE_INTERVAL_MS;
      sample = workers;
      runtime.broadcast(new PeerMessage.WorkerSample(settings.node(), workers));
    }
  }

  private void probeWorker() {
    if (runtime.now() < nextProbeAt || sample.isEmpty()) {
      return;
    }
    nextProbeAt = runtime.now() + PROBE_INTERVAL_MS;
    String address = sample.get(probes++ % sample.size());
    runtime.call(
        Effect.Target.WORKER,
        address,
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

  private void report() {
    if (runtime.now() < nextReportAt) {
      return;
    }
    nextReportAt = runtime.now() + REPORT_INTERVAL_MS;
    Connectivity mine = mine();
    if (logged == null || !logged.sameLinks(mine)) {
      logged = mine;
      log(settings.node(), mine);
    }
    runtime.broadcast(new PeerMessage.ConnectivityReport(settings.node(), mine));
  }

  /** Whether it is time for a leader to name workers. */
  public boolean wantsSample() {
    return runtime.now() >= nextSampleAt;
  }

  /** A peer tells what it reaches. */
  public void onReport(PeerMessage.ConnectivityReport report) {
    if (isPeer(report.from())
        && matrix.update(report.from(), report.connectivity(), runtime.now())) {
      log(report.from(), report.connectivity());
    }
  }

  /** A leader names workers to probe. */
  public void onSample(PeerMessage.WorkerSample received) {
    if (isPeer(received.from())) {
      List<String> workers = received.addresses();
      sample = workers.size() <= SAMPLE_SIZE ? workers : workers.subList(0, SAMPLE_SIZE);
    }
  }

  private boolean isPeer(String node) {
    return settings.peers().stream().anyMatch(peer -> peer.node().equals(node));
  }

  private void log(String node, Connectivity connectivity) {
    runtime
        .events()
        .info(LogEvent.CONNECTIVITY_CHANGED)
        .with(LogField.NODE, node)
        .with(LogField.STATE_SERVICE, connectivity.stateService())
        .with(LogField.WORKERS, connectivity.workers())
        .write();
  }

  /** For each node, 1 where it reaches the state service and 1 where it reaches workers. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    matrix
        .fresh(runtime.now())
        .forEach((node, connectivity) -> addGauges(gauges, node, connectivity));
    addGauges(gauges, settings.node(), mine());
    return gauges;
  }

  private static void addGauges(
      Map<String, Double> gauges, String node, Connectivity connectivity) {
    gauges.put(
        "snowturn.connectivity.state{node=\"" + node + "\"}",
        connectivity.stateService() ? 1.0 : 0.0);
    gauges.put(
        "snowturn.connectivity.workers{node=\"" + node + "\"}", connectivity.workers() ? 1.0 : 0.0);
  }
}
