package org.snowturn.simulation;

import java.util.HashMap;
import java.util.Map;

/** Ways that are cut in one direction; all machines together count as one end. */
final class DirectedLinks implements SimulatedCluster.Links {
  private record Direction(String from, String to) {}

  private final SimulatedCluster cluster;

  /** How many cuts there are on each way: they may overlap. */
  private final Map<Direction, Integer> cuts = new HashMap<>();

  DirectedLinks(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** From now on nothing gets from one end to the other. */
  void cut(String from, String to) {
    cuts.merge(new Direction(from, to), 1, Integer::sum);
  }

  /** Undoes one cut. */
  void heal(String from, String to) {
    cuts.computeIfPresent(new Direction(from, to), (way, n) -> n > 1 ? n - 1 : null);
  }

  @Override
  public long delayMs(String from, String to) {
    if (cuts.isEmpty()) {
      return 0;
    }
    return cuts.containsKey(new Direction(linkEnd(from), linkEnd(to))) ? LOST : 0;
  }

  private String linkEnd(String name) {
    return cluster.workers.containsKey(name) ? SimulatedCluster.ALL_WORKERS : name;
  }
}
