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
  public void refuse(String controller, long ms) {
    loop.post(() -> cluster.state.refuse(controller, ms));
  }

  /** The state service is out for everybody. */
  public void outage(long ms) {
    loop.post(() -> cluster.state.startOutage(ms));
  }

  /** The state service answers so many times slower. */
  public void slowState(int times, long ms) {
    forAWhile(ms, () -> cluster.state.slowdown = times, () -> cluster.state.slowdown = 1);
  }

  /** That share of the transactions is carried out, and only the answer is lost. */
  public void loseAnswers(double share, long ms) {
    forAWhile(ms, () -> cluster.state.replyLossProbability = share, () -> cluster.state.replyLossProbability = 0);
  }

  /** That share of the transactions gets no answer and is carried out seconds later. */
  public void lateTransactions(double share, long ms) {
    forAWhile(
        ms, () -> cluster.state.lateTransactionProbability = share, () -> cluster.state.lateTransactionProbability = 0);
  }

  /** Direct commands are held up for so long, or up to twice that. */
  public void lateCommands(long lateMs, long ms) {
    forAWhile(ms, () -> cluster.delayCommands(lateMs), () -> cluster.delayCommands(0));
  }

  /** A copy of each report comes once more, up to so much later. */
  public void copyReports(long mostMs, long ms) {
    forAWhile(ms, () -> cluster.duplicateHeartbeats(mostMs), () -> cluster.duplicateHeartbeats(0));
  }

  /** Check-ins wait so long on their way; direct answers do not. */
  public void slowReports(long lateMs, long ms) {
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
    onWorkers(count, worker -> cluster.cloud.fail(worker.machine));
  }

  /** The cloud takes some machines away. */
  public void takeWorkers(int count) {
    onWorkers(count, worker -> cluster.cloud.terminate(worker.machine.id));
  }

  /** Some machines fail whatever starts there. */
  public void sickWorkers(int count, long ms) {
    onWorkers(
        count,
        worker -> {
          worker.failing = true;
          cluster.after(ms, () -> worker.failing = false);
        });
  }

  /** Users call off so many jobs that run, within a fifth of a second. */
  public void cancelJobs(int count) {
    loop.post(() -> cluster.clients.cancelRunningJobs(count, 0));
  }
}
