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
 * Tracks the connectivity of this node and of its peers, and exchanges reports of it with them. A
 * standby node receives messages from workers only while these look for a leader, so the leader
 * sends a sample of worker addresses, which the standby nodes probe regularly.
 */
public final class ConnectivityMonitor {
  /** Number of workers in a sample. */
  public static final int SAMPLE_SIZE = 6;

  private static final long SAMPLE_INTERVAL_MS = 3_000;
  private static final long REPORT_INTERVAL_MS = 300;
  private static final long PROBE_INTERVAL_MS = 500;
  private static final int PROBE_TIMEOUT_MS = 1_000;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final LongSupplier lastAnsweredRequestSentAt;
  private final ConnectivityMatrix matrix = new ConnectivityMatrix();
  private List<String> sample = List.of();
  private int probeCount;
  private long lastWorkerHeardAt = MonotonicTime.UNSET;
  private long nextProbeAt;
  private long nextReportAt;
  private long nextSampleAt;
  private Connectivity lastLogged;

  /**
   * Creates a monitor without any contact or report.
   *
   * @param lastAnsweredRequestSentAt supplies the time at which this node sent the last request
   *     that the state service answered, in milliseconds of the monotonic clock; {@link
   *     MonotonicTime#UNSET} if none was answered
   */
  public ConnectivityMonitor(
      Settings settings, CoreRuntime runtime, LongSupplier lastAnsweredRequestSentAt) {
    this.settings = settings;
    this.runtime = runtime;
    this.lastAnsweredRequestSentAt = lastAnsweredRequestSentAt;
  }

  /** Records that a worker sent a heartbeat to this node or answered it. */
  public void onWorkerHeard() {
    lastWorkerHeardAt = runtime.now();
  }

  /** Returns the connectivity of this node. */
  public Connectivity ownConnectivity() {
    return new Connectivity(ageMs(lastAnsweredRequestSentAt.getAsLong()), ageMs(lastWorkerHeardAt));
  }

  private int ageMs(long at) {
    return at == MonotonicTime.UNSET
        ? Connectivity.UNSET
        : (int) Math.min(Integer.MAX_VALUE, runtime.now() - at);
  }

  /** Returns whether a peer is better connected than this node. */
  public boolean hasBetterPeer() {
    return matrix.hasPeerBetterThan(ownConnectivity(), runtime.now());
  }

  /**
   * Returns whether a peer may be better connected than this node: either a report shows it, or no
   * peer has reported recently, so that it cannot be ruled out.
   */
  public boolean canPeerServe() {
    return hasBetterPeer() || !hasRecentPeerReport();
  }

  /** Returns whether any peer has reported its connectivity recently. */
  public boolean hasRecentPeerReport() {
    return matrix.hasFreshRow(runtime.now());
  }

  /** Returns the name of a peer that the state service answers; null if none is known. */
  public String peerWithStateService() {
    return matrix.peerWithStateService(runtime.now());
  }

  /**
   * Does what is due: a leader broadcasts a sample of workers, a standby node probes one worker,
   * and either reports its connectivity to the peers.
   *
   * @param isLeading whether this node is the leader
   * @param workers addresses of workers that this leader hears; empty on other nodes and while no
   *     sample is due
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

  /** Returns whether the next sample of workers is due on a leader. */
  public boolean isSampleDue() {
    return runtime.now() >= nextSampleAt;
  }

  /** Handles a connectivity report; one from an unknown node is ignored. */
  public void onReport(PeerMessage.ConnectivityReport received) {
    if (isPeer(received.from())
        && matrix.update(received.from(), received.connectivity(), runtime.now())) {
      logConnectivity(received.from(), received.connectivity());
    }
  }

  /** Handles the workers that a leader asks to probe; a sample of an unknown node is ignored. */
  public void onSample(PeerMessage.WorkerSample received) {
    if (isPeer(received.from())) {
      List<String> workers = received.addresses();
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

  /**
   * Returns the gauges by name. For this node and each peer with a recent report there are two,
   * which are 1 while the node reaches the state service and workers, respectively, and otherwise
   * 0.
   */
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
