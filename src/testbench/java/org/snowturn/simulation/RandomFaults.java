package org.snowturn.simulation;

import java.util.List;
import java.util.Random;

/** Random jobs and random faults, drawn from the world's seed, until a time; then all is healed. */
final class RandomFaults {
  private static final int LEAST_PAUSE_MS = 500;
  private static final int MORE_PAUSE_MS = 5_000;

  private final SimulatedCluster cluster;
  private final Random random;
  private long end;

  RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random;
  }

  void start(long endMs) {
    end = endMs;
    cluster.after(
        2000,
        () ->
            new RandomJobs(cluster, List.of("u", "t"), LEAST_PAUSE_MS, MORE_PAUSE_MS)
                .submitUntil(endMs));
    cluster.after(8000, this::fault);
    cluster.after(endMs, this::heal);
  }

  private SimulatedCluster.Node node() {
    return cluster.nodes.get(random.nextInt(cluster.nodes.size()));
  }

  private SimulatedWorker worker() {
    List<SimulatedWorker> up =
        cluster.workers.values().stream().filter(worker -> !worker.dead && !worker.hung).toList();
    return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
  }

  private void fault() {
    if (cluster.now > end) {
      return;
    }
    int ms = 1000 + random.nextInt(18_000);
    SimulatedCluster.Cut how =
        random.nextBoolean() ? SimulatedCluster.Cut.HOLD : SimulatedCluster.Cut.DROP;
    SimulatedWorker w = worker();
    SimulatedCluster.Node n =
        random.nextBoolean() && cluster.leader() != null ? cluster.leader() : node();
    switch (random.nextInt(13)) {
      case 0 -> n.crash(ms / 4);
      case 1 -> cluster.nodes.forEach(x -> x.crash(ms / 4));
      case 2 -> n.pause(ms);
      case 3 -> cluster.state.outage(ms);
      case 4 -> cut(n.name, List.of("state"), how, ms);
      case 5 -> cut(n.name, List.copyOf(cluster.workers.keySet()), how, ms);
      case 6 ->
          cut(
              n.name,
              cluster.nodes.stream().map(x -> x.name).filter(x -> !x.equals(n.name)).toList(),
              how,
              ms);
      case 7 -> cluster.state.refuse(n.name, ms);
      case 8 -> {
        cluster.state.loseReplies = 0.3;
        cluster.state.lateTransactions = 0.2;
        cluster.after(
            ms,
            () -> {
              cluster.state.loseReplies = 0;
              cluster.state.lateTransactions = 0;
            });
      }
      case 9 -> {
        cluster.delayCommands(3000 + random.nextInt(40_000));
        cluster.after(ms, () -> cluster.delayCommands(0));
      }
      case 10 -> {
        if (w != null) {
          w.hung = true;
          cluster.after(ms, () -> w.hung = false);
        }
      }
      case 11 -> {
        if (w != null) {
          cluster.cloud.fail(w.rented);
        }
      }
      default -> {
        if (w != null) {
          cut(w.addr, cluster.nodes.stream().map(x -> x.name).toList(), how, ms);
        }
      }
    }
    cluster.after(2000 + random.nextInt(9000), this::fault);
  }

  private void cut(String a, List<String> others, SimulatedCluster.Cut how, long ms) {
    others.forEach(b -> cluster.cut(a, b, how));
    cluster.after(ms, () -> others.forEach(b -> cluster.heal(a, b)));
  }

  private void heal() {
    cluster.healAll();
    cluster.state.heal();
    cluster.delayCommands(0);
    cluster.workers.values().forEach(worker -> worker.hung = false);
  }
}
