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
  private final LongSupplier lastStateRequestAnsweredAt;
  private final ConnectivityMatrix matrix = new ConnectivityMatrix();
  private List<String> sample = List.of();
  private int probeCount;
  private long lastWorkerHeardAt = MonotonicTime.NEVER;
  private long nextProbeAt;
  private long nextReportAt;
  private long nextSampleAt;
  private Connectivity lastLogged;

  /**
   * Knows nothing yet.
   *
   * @param lastStateRequestAnsweredAt when the last request that the state service answered was
   *     sent, in milliseconds of the steady clock; {@link MonotonicTime#NEVER} if none was
   */
  public ConnectivityMonitor(
      Settings settings, CoreRuntime runtime, LongSupplier lastStateRequestAnsweredAt) {
    this.settings = settings;
    this.runtime = runtime;
    this.lastStateRequestAnsweredAt = lastStateRequestAnsweredAt;
  }

  /** A worker has sent a heartbeat here, or answered this node. */
  public void onWorkerHeard() {
    lastWorkerHeardAt = runtime.now();
  }

  /** What this node reaches. */
  public Connectivity ownConnectivity() {
    return new Connectivity(
        ageMs(lastStateRequestAnsweredAt.getAsLong()), ageMs(lastWorkerHeardAt));
  }

  private int ageMs(long at) {
    return at == MonotonicTime.NEVER
        ? Connectivity.NEVER
        : (int) Math.min(Integer.MAX_VALUE, runtime.now() - at);
  }

  /** Whether a peer could serve where this node cannot. */
  public boolean hasBetterPeer() {
    return matrix.hasPeerBetterThan(ownConnectivity(), runtime.now());
  }

  /** Whether a peer could serve where this node cannot, or no peer is heard, so that one may. */
  public boolean canPeerServe() {
    return hasBetterPeer() || !hasRecentPeerReport();
  }

  /** Whether any peer has told lately what it reaches. */
  public boolean hasRecentPeerReport() {
    return matrix.hasFreshRow(runtime.now());
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
  public void tick(boolean isLeading, List<String> workers) {
    if (isLeading) {
      sendSample(workers);
    } else {
      probeWorker();
    }
    broadcastReport();
  }

  private void sendSample(List<String> workers) {
    if (!workers.isEmpty() && isSampleDue()) {
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
    String address = sample.get(probeCount++ % sample.size());
    runtime.call(
        Effect.Target.WORKER,
        address,
        "GET",
        "/status",
        null,
        PROBE_TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED) {
            onWorkerHeard();
          }
        });
  }

  private void broadcastReport() {
    if (runtime.now() < nextReportAt) {
      return;
    }
    nextReportAt = runtime.now() + REPORT_INTERVAL_MS;
    Connectivity own = ownConnectivity();
    if (lastLogged == null || !lastLogged.hasSameLinks(own)) {
      lastLogged = own;
      logConnectivity(settings.node(), own);
    }
    runtime.broadcast(new PeerMessage.ConnectivityReport(settings.node(), own));
  }

  /** Whether it is time for a leader to name workers. */
  public boolean isSampleDue() {
    return runtime.now() >= nextSampleAt;
  }

  /** A peer tells what it reaches. */
  public void onReport(PeerMessage.ConnectivityReport received) {
    if (isPeer(received.from())
        && matrix.update(received.from(), received.connectivity(), runtime.now())) {
      logConnectivity(received.from(), received.connectivity());
    }
  }

  /** A leader names workers to probe. */
  public void onSample(PeerMessage.WorkerSample received) {
    if (isPeer(received.from())) {
      List<String> workers = received.workers();
      sample = workers.size() <= SAMPLE_SIZE ? workers : workers.subList(0, SAMPLE_SIZE);
    }
  }

  private boolean isPeer(String node) {
    return settings.peers().stream().anyMatch(peer -> peer.node().equals(node));
  }

  private void logConnectivity(String node, Connectivity connectivity) {
    runtime
        .events()
        .info(LogEvent.CONNECTIVITY_CHANGED)
        .with(LogField.NODE, node)
        .with(LogField.STATE_SERVICE, connectivity.canReachStateService())
        .with(LogField.WORKERS, connectivity.canReachWorkers())
        .write();
  }

  /** For each node, 1 where it reaches the state service and 1 where it reaches workers. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    matrix
        .freshRows(runtime.now())
        .forEach((node, connectivity) -> addGauges(gauges, node, connectivity));
    addGauges(gauges, settings.node(), ownConnectivity());
    return gauges;
  }

  private static void addGauges(
      Map<String, Double> gauges, String node, Connectivity connectivity) {
    gauges.put(
        "snowturn.connectivity.state{node=\"" + node + "\"}",
        connectivity.canReachStateService() ? 1.0 : 0.0);
    gauges.put(
        "snowturn.connectivity.workers{node=\"" + node + "\"}",
        connectivity.canReachWorkers() ? 1.0 : 0.0);
  }
}
