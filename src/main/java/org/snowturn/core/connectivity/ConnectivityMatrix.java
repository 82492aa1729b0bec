package org.snowturn.core.connectivity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Connectivity of each peer by its own last report, one row per peer. A row expires if it is not
 * renewed, so the connectivity of a peer behind a one-way link, of a frozen peer and of one whose
 * version sends no reports is unknown. The matrix never grants authority: it only tells which node
 * should claim leadership and which peer can relay requests.
 */
final class ConnectivityMatrix {
  /** Maximum age of a row. Reports come every 300 ms, and three in a row may be lost. */
  private static final long MAX_ROW_AGE_MS = 1_200;

  /**
   * Maximum delay that probes and reports add to the age of a contact. A smaller difference between
   * two nodes is not significant.
   */
  private static final long MAX_REPORT_DELAY_MS = 400;

  private record Row(Connectivity connectivity, long receivedAt) {
    boolean isFresh(long nowMs) {
      return nowMs - receivedAt <= MAX_ROW_AGE_MS;
    }

    boolean isBetterThan(Connectivity own, long nowMs) {
      if (!isFresh(nowMs) || !connectivity.canLead()) {
        return false;
      }
      long sinceWorkerHeardMs = connectivity.sinceWorkerHeardMs() + (nowMs - receivedAt);
      return !own.canReachStateService()
          || own.sinceWorkerHeardMs() == Connectivity.UNSET
          || sinceWorkerHeardMs + MAX_REPORT_DELAY_MS < own.sinceWorkerHeardMs();
    }
  }

  private final Map<String, Row> rows = new TreeMap<>();

  /**
   * Replaces the row of a peer.
   *
   * @param peer name of the peer that sent the report
   * @param connectivity connectivity that the peer reported
   * @param nowMs present time of the monotonic clock, in milliseconds
   * @return whether this is the peer's first row, or its links to the state service or to workers
   *     have come up or gone down
   */
  boolean update(String peer, Connectivity connectivity, long nowMs) {
    Row before = rows.put(peer, new Row(connectivity, nowMs));
    return before == null || !before.connectivity.hasSameLinks(connectivity);
  }

  /** Returns whether any peer has a row that has not expired. */
  boolean hasFreshRow(long nowMs) {
    return rows.values().stream().anyMatch(row -> row.isFresh(nowMs));
  }

  /**
   * Returns whether a peer is better connected than a node with the given connectivity. The peer
   * must reach both the state service and workers. If the node reaches the state service and has
   * heard workers, the peer must have heard workers more recently by more than {@link
   * #MAX_REPORT_DELAY_MS}: in the first seconds of a network partition all rows still show the
   * state before it.
   */
  boolean hasPeerBetterThan(Connectivity own, long nowMs) {
    for (Row row : rows.values()) {
      if (row.isBetterThan(own, nowMs)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the name of a peer that the state service answers, preferably one that reaches workers
   * too; null if there is none.
   */
  String peerWithStateService(long nowMs) {
    String found = null;
    for (Map.Entry<String, Row> entry : rows.entrySet()) {
      Connectivity connectivity = entry.getValue().connectivity;
      if (entry.getValue().isFresh(nowMs)
          && connectivity.canReachStateService()
          && (found == null || connectivity.canReachWorkers())) {
        found = entry.getKey();
      }
    }
    return found;
  }

  /** Returns the connectivity of each peer whose row has not expired, by peer name. */
  Map<String, Connectivity> freshRows(long nowMs) {
    Map<String, Connectivity> fresh = new TreeMap<>();
    rows.forEach(
        (peer, row) -> {
          if (row.isFresh(nowMs)) {
            fresh.put(peer, row.connectivity);
          }
        });
    return fresh;
  }
}
