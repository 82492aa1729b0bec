package org.snowturn.core.connectivity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who reaches what, as far as this node has been told: a row for each peer. A row that has not been
 * renewed for a while says nothing, so a one-way link, a frozen peer or one of a version that tells
 * nothing counts as unknown. Nothing of it is a ground of authority: it only says who had better
 * claim leadership, and whom to ask for help.
 */
public final class ConnectivityMatrix {
  /** Rows come every 300 ms; three may be lost. */
  private static final long STALE_MS = 1_200;

  private static final long LATER_MS = 400;

  private record Row(Connectivity reach, long at) {}

  private final Map<String, Row> rows = new TreeMap<>();

  /**
   * A peer has told what it reaches.
   *
   * @param nowMs this node's steady clock
   * @return whether that is news: whether its state service or its workers came or went
   */
  public boolean told(String peer, Connectivity reach, long nowMs) {
    Row before = rows.put(peer, new Row(reach, nowMs));
    return before == null
        || before.reach.state() != reach.state()
        || before.reach.workers() != reach.workers();
  }

  /** Whether any peer has told lately what it reaches. */
  public boolean known(long nowMs) {
    return rows.values().stream().anyMatch(r -> fresh(r, nowMs));
  }

  /**
   * Whether a peer could serve where a node with this reach cannot, or hardly. Where both have
   * heard workers lately, it has to have heard them later, and by more than what probes and records
   * take: in the first seconds of a cut, all rows still show what was before it.
   */
  public boolean better(Connectivity mine, long nowMs) {
    for (Row r : rows.values()) {
      boolean serves = fresh(r, nowMs) && r.reach.serves();
      long heard = r.reach.workersMs() + (nowMs - r.at);
      boolean later = mine.workersMs() == Connectivity.NEVER || heard + LATER_MS < mine.workersMs();
      if (serves && (later || !mine.state())) {
        return true;
      }
    }
    return false;
  }

  /** A peer that the state service answers, one with workers rather than without; or null. */
  public String withState(long nowMs) {
    String found = null;
    for (Map.Entry<String, Row> e : rows.entrySet()) {
      Connectivity connectivity = e.getValue().reach;
      if (fresh(e.getValue(), nowMs)
          && connectivity.state()
          && (found == null || connectivity.workers())) {
        found = e.getKey();
      }
    }
    return found;
  }

  /** The rows that say something now, by the peers' names. */
  public Map<String, Connectivity> rows(long nowMs) {
    Map<String, Connectivity> out = new TreeMap<>();
    rows.forEach(
        (peer, row) -> {
          if (fresh(row, nowMs)) {
            out.put(peer, row.reach);
          }
        });
    return out;
  }

  private static boolean fresh(Row r, long nowMs) {
    return nowMs - r.at <= STALE_MS;
  }
}
