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
  private static final long STALE_MS = 1_200;

  /** What probes and reports take: only a greater difference between two nodes says anything. */
  private static final long REPORT_DELAY_MS = 400;

  private record Row(Connectivity connectivity, long receivedAt) {
    boolean fresh(long nowMs) {
      return nowMs - receivedAt <= STALE_MS;
    }

    boolean betterThan(Connectivity mine, long nowMs) {
      if (!fresh(nowMs) || !connectivity.complete()) {
        return false;
      }
      long workersMs = connectivity.workersMs() + (nowMs - receivedAt);
      return !mine.stateService()
          || mine.workersMs() == Connectivity.NEVER
          || workersMs + REPORT_DELAY_MS < mine.workersMs();
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
    return before == null || !before.connectivity.sameLinks(connectivity);
  }

  /** Whether any peer has told lately what it reaches. */
  boolean anyFresh(long nowMs) {
    return rows.values().stream().anyMatch(row -> row.fresh(nowMs));
  }

  /**
   * Whether a peer could serve where a node with this connectivity cannot, or hardly. Where both
   * have heard workers lately, it has to have heard them later, and by more than what probes and
   * reports take: in the first seconds of a cut, all rows still show what was before it.
   */
  boolean anyBetterThan(Connectivity mine, long nowMs) {
    for (Row row : rows.values()) {
      if (row.betterThan(mine, nowMs)) {
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
      if (entry.getValue().fresh(nowMs)
          && connectivity.stateService()
          && (found == null || connectivity.workers())) {
        found = entry.getKey();
      }
    }
    return found;
  }

  /** What the peers reach whose rows say something now, by their names. */
  Map<String, Connectivity> fresh(long nowMs) {
    Map<String, Connectivity> fresh = new TreeMap<>();
    rows.forEach(
        (peer, row) -> {
          if (row.fresh(nowMs)) {
            fresh.put(peer, row.connectivity);
          }
        });
    return fresh;
  }
}
