package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;

/** Temporary faults of machines and links, shared by scenarios, clients and loopback runs. */
final class ClusterFaults {
  private ClusterFaults() {}

  /** Freezes the machine's agent and its tasks for a time. */
  static void hang(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.hung = true;
    cluster.after(ms, () -> worker.hung = false);
  }

  /** Drops what the machine sends to controllers for a time; direct commands still reach it. */
  static void dropOutbound(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.outboundDropped = true;
    cluster.after(ms, () -> worker.outboundDropped = false);
  }

  /** Holds back all messages between the machine and the controllers for a time. */
  static void isolate(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    cluster.nodes.forEach(node -> cluster.cut(worker.addr, node.name, SimulatedCluster.Cut.HOLD));
    cluster.after(ms, () -> cluster.nodes.forEach(node -> cluster.heal(worker.addr, node.name)));
  }

  /**
   * Cuts a controller off from other parts of the cluster for a time.
   *
   * @param from {@code state}, {@code cloud}, {@code workers}, {@code peers} or {@code all}
   * @param ms duration in milliseconds
   * @param how whether messages are dropped, or held and delivered when the cut ends
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
