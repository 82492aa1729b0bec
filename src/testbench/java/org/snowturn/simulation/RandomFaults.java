package org.snowturn.simulation;

import java.util.List;
import java.util.Random;

/**
 * Source of random jobs and random faults, drawn from the cluster's seed. At the end time all
 * faults are healed.
 */
final class RandomFaults {
  private static final int MIN_PAUSE_MS = 500;
  private static final int PAUSE_SPREAD_MS = 5_000;

  private final SimulatedCluster cluster;
  private final Random random;
  private long endMs;

  /** Creates a source of faults that is inactive before {@link #start} is called. */
  RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random;
  }

  /** Schedules jobs and faults until {@code endMs} of simulated time. */
  void start(long endMs) {
    this.endMs = endMs;
    cluster.after(
        2000,
        () ->
            new RandomJobs(cluster, List.of("u", "t"), MIN_PAUSE_MS, PAUSE_SPREAD_MS)
                .submitUntil(endMs));
    cluster.after(8000, this::injectFault);
    cluster.after(endMs, this::heal);
  }

  private SimulatedCluster.Node randomNode() {
    return cluster.nodes.get(random.nextInt(cluster.nodes.size()));
  }

  private SimulatedWorker randomWorker() {
    List<SimulatedWorker> available =
        cluster.workers.values().stream().filter(worker -> !worker.dead && !worker.hung).toList();
    return available.isEmpty() ? null : available.get(random.nextInt(available.size()));
  }

  private void injectFault() {
    if (cluster.now > endMs) {
      return;
    }
    int durationMs = 1000 + random.nextInt(18_000);
    SimulatedCluster.Cut how =
        random.nextBoolean() ? SimulatedCluster.Cut.HOLD : SimulatedCluster.Cut.DROP;
    SimulatedWorker worker = randomWorker();
    SimulatedCluster.Node node =
        random.nextBoolean() && cluster.leader() != null ? cluster.leader() : randomNode();
    switch (random.nextInt(13)) {
      case 0 -> node.crash(durationMs / 4);
      case 1 -> cluster.nodes.forEach(other -> other.crash(durationMs / 4));
      case 2 -> node.pause(durationMs);
      case 3 -> cluster.state.startOutage(durationMs);
      case 4 -> cut(node.name, List.of("state"), how, durationMs);
      case 5 -> cut(node.name, List.copyOf(cluster.workers.keySet()), how, durationMs);
      case 6 ->
          cut(
              node.name,
              cluster.nodes.stream()
                  .map(other -> other.name)
                  .filter(name -> !name.equals(node.name))
                  .toList(),
              how,
              durationMs);
      case 7 -> cluster.state.refuse(node.name, durationMs);
      case 8 -> {
        cluster.state.replyLossProbability = 0.3;
        cluster.state.lateTransactionProbability = 0.2;
        cluster.after(
            durationMs,
            () -> {
              cluster.state.replyLossProbability = 0;
              cluster.state.lateTransactionProbability = 0;
            });
      }
      case 9 -> {
        cluster.delayCommands(3000 + random.nextInt(40_000));
        cluster.after(durationMs, () -> cluster.delayCommands(0));
      }
      case 10 -> {
        if (worker != null) {
          worker.hung = true;
          cluster.after(durationMs, () -> worker.hung = false);
        }
      }
      case 11 -> {
        if (worker != null) {
          cluster.cloud.fail(worker.machine);
        }
      }
      default -> {
        if (worker != null) {
          cut(
              worker.addr,
              cluster.nodes.stream().map(controller -> controller.name).toList(),
              how,
              durationMs);
        }
      }
    }
    cluster.after(2000 + random.nextInt(9000), this::injectFault);
  }

  private void cut(String end, List<String> others, SimulatedCluster.Cut how, long durationMs) {
    others.forEach(other -> cluster.cut(end, other, how));
    cluster.after(durationMs, () -> others.forEach(other -> cluster.heal(end, other)));
  }

  private void heal() {
    cluster.healAll();
    cluster.state.heal();
    cluster.delayCommands(0);
    cluster.workers.values().forEach(worker -> worker.hung = false);
  }
}
