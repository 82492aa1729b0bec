package org.snowturn.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * Links that can be cut in one direction. All machines together count as one end of a link, named
 * {@link SimulatedCluster#ALL_WORKERS}.
 */
final class DirectedLinks implements SimulatedCluster.LinkDelays {
  /** One direction of a link between two ends. */
  private record Direction(String from, String to) {}

  private final SimulatedCluster cluster;

  /** Number of cuts in effect for each direction; cuts may overlap. */
  private final Map<Direction, Integer> cuts = new HashMap<>();

  DirectedLinks(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Drops all messages from one end to the other until the cut is healed. */
  void cut(String from, String to) {
    cuts.merge(new Direction(from, to), 1, Integer::sum);
  }

  /** Removes one cut; the direction stays cut while other cuts remain. */
  void heal(String from, String to) {
    cuts.computeIfPresent(
        new Direction(from, to), (direction, count) -> count > 1 ? count - 1 : null);
  }

  @Override
  public long delayMs(String from, String to) {
    if (cuts.isEmpty()) {
      return 0;
    }
    return cuts.containsKey(new Direction(linkEnd(from), linkEnd(to))) ? LOST : 0;
  }

  /** Returns the end of a link that a controller, service or machine belongs to. */
  private String linkEnd(String name) {
    return cluster.workers.containsKey(name) ? SimulatedCluster.ALL_WORKERS : name;
  }
}
