package org.snowturn.core.connectivity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who reaches what, as far as this node has been told: a row for each peer. A row that has not been
 * renewed for a while says nothing, so a one-way link, a frozen peer or one of a version that tells
 * nothing counts as unknown. Nothing of it is a ground of authority: it only says who had better
 * claim leadership, and whom to ask for help.
 */
final class ConnectivityMatrix {
  /** Rows come every 300 ms; three may be lost. */
  private static final long MAX_ROW_AGE_MS = 1_200;

  /** What probes and reports take: only a greater difference between two nodes says anything. */
  private static final long REPORT_DELAY_MS = 400;

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
          || own.sinceWorkerHeardMs() == Connectivity.NEVER
          || sinceWorkerHeardMs + REPORT_DELAY_MS < own.sinceWorkerHeardMs();
    }
  }

  private final Map<String, Row> rows = new TreeMap<>();

  /**
   * A peer has told what it reaches.
   *
   * @param nowMs this node's steady clock
   * @return whether its links to the state service or to workers have come or gone
   */
  boolean update(String peer, Connectivity connectivity, long nowMs) {
    Row before = rows.put(peer, new Row(connectivity, nowMs));
    return before == null || !before.connectivity.hasSameLinks(connectivity);
  }

  /** Whether any peer has told lately what it reaches. */
  boolean hasFreshRow(long nowMs) {
    return rows.values().stream().anyMatch(row -> row.isFresh(nowMs));
  }

  /**
   * Whether a peer could serve where a node with this connectivity cannot, or hardly. Where both
   * have heard workers lately, it has to have heard them later, and by more than what probes and
   * reports take: in the first seconds of a cut, all rows still show what was before it.
   */
  boolean hasPeerBetterThan(Connectivity own, long nowMs) {
    for (Row row : rows.values()) {
      if (row.isBetterThan(own, nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** A peer that the state service answers, one with workers rather than without; or null. */
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

  /** What the peers reach whose rows say something now, by their names. */
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
