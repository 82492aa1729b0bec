package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/** What can go wrong with a region's network, outside and machines. From any thread. */
public final class LoopbackFaults {
  /** Stands for all machines at an end of a cut. */
  public static final String WORKERS = SimulatedCluster.ALL_WORKERS;

  private final SimulatedCluster cluster;
  private final RealTimeDriver loop;
  private final DirectedLinks links;

  LoopbackFaults(SimulatedCluster cluster, RealTimeDriver loop, DirectedLinks links) {
    this.cluster = cluster;
    this.loop = loop;
    this.links = links;
  }

  private void forAWhile(long ms, Runnable begin, Runnable end) {
    loop.post(
        () -> {
          begin.run();
          cluster.after(ms, end);
        });
  }

  /** Nothing gets from one end to the other; {@code workers} stands for all machines. */
  public void cut(String from, String to, long ms) {
    forAWhile(ms, () -> links.cut(from, to), () -> links.heal(from, to));
  }

  /** The state service refuses one controller alone. */
  public void refuseStateRequests(String controller, long ms) {
    loop.post(() -> cluster.state.refuse(controller, ms));
  }

  /** The state service is out for everybody. */
  public void startStateOutage(long ms) {
    loop.post(() -> cluster.state.outage(ms));
  }

  /** The state service answers so many times slower. */
  public void slowStateService(int times, long ms) {
    forAWhile(ms, () -> cluster.state.slowdown = times, () -> cluster.state.slowdown = 1);
  }

  /** That share of the transactions is carried out, and only the answer is lost. */
  public void loseStateReplies(double share, long ms) {
    forAWhile(ms, () -> cluster.state.loseReplies = share, () -> cluster.state.loseReplies = 0);
  }

  /** That share of the transactions gets no answer and is carried out seconds later. */
  public void delayTransactions(double share, long ms) {
    forAWhile(
        ms, () -> cluster.state.lateTransactions = share, () -> cluster.state.lateTransactions = 0);
  }

  /** Direct commands are held up for so long, or up to twice that. */
  public void delayCommands(long lateMs, long ms) {
    forAWhile(ms, () -> cluster.delayCommands(lateMs), () -> cluster.delayCommands(0));
  }

  /** A copy of each report comes once more, up to so much later. */
  public void duplicateHeartbeats(long mostMs, long ms) {
    forAWhile(ms, () -> cluster.duplicateHeartbeats(mostMs), () -> cluster.duplicateHeartbeats(0));
  }

  /** Check-ins wait so long on their way; direct answers do not. */
  public void delayHeartbeats(long lateMs, long ms) {
    forAWhile(ms, () -> cluster.heartbeatDelayMs = lateMs, () -> cluster.heartbeatDelayMs = 0);
  }

  private void onWorkers(int count, Consumer<SimulatedWorker> then) {
    loop.post(
        () -> {
          List<SimulatedWorker> up = new ArrayList<>(cluster.workers.values());
          up.removeIf(worker -> worker.dead || worker.hung);
          Collections.shuffle(up, cluster.random);
          up.stream().limit(count).forEach(then);
        });
  }

  /** Some machines stand still, with all that runs there. */
  public void hangWorkers(int count, long ms) {
    onWorkers(count, worker -> ClusterFaults.hang(cluster, worker, ms));
  }

  /** Some machines stop on their own. */
  public void killWorkers(int count) {
    onWorkers(count, worker -> cluster.cloud.fail(worker.rented));
  }

  /** The cloud takes some machines away. */
  public void reclaimWorkers(int count) {
    onWorkers(count, worker -> cluster.cloud.end(worker.rented.id));
  }

  /** Some machines fail whatever starts there. */
  public void failTasksOnWorkers(int count, long ms) {
    onWorkers(
        count,
        worker -> {
          worker.failing = true;
          cluster.after(ms, () -> worker.failing = false);
        });
  }

  /** Users call off so many jobs that run, within a fifth of a second. */
  public void cancelJobs(int count) {
    loop.post(() -> cluster.clients.cancelNow(count, 0));
  }
}
