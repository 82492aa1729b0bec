package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;

/** Faults of machines and links that scenarios, clients and loopback runs cause. */
final class ClusterFaults {
  private ClusterFaults() {}

  /** The machine's tasks and its agent stand still for a while. */
  static void hang(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.hung = true;
    cluster.after(ms, () -> worker.hung = false);
  }

  /** For a while the machine reaches no controller, while direct commands reach it. */
  static void dropOutbound(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.outboundDropped = true;
    cluster.after(ms, () -> worker.outboundDropped = false);
  }

  /** For a while all messages between the machine and the controllers are held back. */
  static void isolate(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    cluster.nodes.forEach(node -> cluster.cut(worker.addr, node.name, SimulatedCluster.Cut.HOLD));
    cluster.after(ms, () -> cluster.nodes.forEach(node -> cluster.heal(worker.addr, node.name)));
  }

  /**
   * For a while a controller is cut off.
   *
   * @param from {@code state}, {@code cloud}, {@code workers}, {@code peers} or {@code all}
   */
  static void cut(
      SimulatedCluster cluster, String node, String from, long ms, SimulatedCluster.Cut how) {
    List<String> ends = new ArrayList<>();
    boolean all = from.equals("all");
    if (all || from.equals("state")) {
      ends.add("state");
    }
    if (all || from.equals("cloud")) {
      ends.add("cloud");
    }
    if (all || from.equals("workers")) {
      ends.add(SimulatedCluster.ALL_WORKERS);
    }
    if (all || from.equals("peers")) {
      cluster.nodes.stream()
          .map(other -> other.name)
          .filter(name -> !name.equals(node))
          .forEach(ends::add);
    }
    if (all) {
      ends.add("user");
    }
    ends.forEach(end -> cluster.cut(node, end, how));
    cluster.after(ms, () -> ends.forEach(end -> cluster.heal(node, end)));
  }
}
