package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;

/**
 * Faults of a loopback cluster's network, state service and machines. The methods may be called
 * from any thread; durations are in milliseconds.
 */
public final class LoopbackFaults {
  /** Name that stands for all machines as one end of a cut. */
  public static final String WORKERS = SimulatedCluster.ALL_WORKERS;

  /** Number of tasks of the largest array that a user may submit. */
  private static final int LARGEST_ARRAY = 100_000;

  private static final int LARGE_ARRAY_RUN_MS = 3_000;

  /** Number of the first large array's id, above those of other jobs. */
  private static final int FIRST_LARGE_ARRAY = 700_000;

  private final SimulatedCluster cluster;
  private final RealTimeDriver driver;
  private final DirectedLinks links;
  private int largeArrays;

  /** Creates the faults of a cluster; they are applied on the thread of the driver. */
  LoopbackFaults(SimulatedCluster cluster, RealTimeDriver driver, DirectedLinks links) {
    this.cluster = cluster;
    this.driver = driver;
    this.links = links;
  }

  private void applyTemporarily(long ms, Runnable begin, Runnable end) {
    driver.post(
        () -> {
          begin.run();
          cluster.after(ms, end);
        });
  }

  /** Drops all messages from one end to the other; {@link #WORKERS} stands for all machines. */
  public void cut(String from, String to, long ms) {
    applyTemporarily(ms, () -> links.cut(from, to), () -> links.heal(from, to));
  }

  /** Makes the state service refuse the requests of one controller. */
  public void refuseStateRequests(String controller, long ms) {
    driver.post(() -> cluster.state.refuse(controller, ms));
  }

  /** Makes the state service unavailable to all controllers. */
  public void startStateOutage(long ms) {
    driver.post(() -> cluster.state.startOutage(ms));
  }

  /** Multiplies the response times of the state service by a factor. */
  public void slowStateService(int factor, long ms) {
    applyTemporarily(ms, () -> cluster.state.slowdown = factor, () -> cluster.state.slowdown = 1);
  }

  /** Executes a share of the transactions but loses their replies. */
  public void loseStateReplies(double share, long ms) {
    applyTemporarily(
        ms,
        () -> cluster.state.replyLossProbability = share,
        () -> cluster.state.replyLossProbability = 0);
  }

  /** Executes a share of the transactions seconds late and without a reply. */
  public void delayTransactions(double share, long ms) {
    applyTemporarily(
        ms,
        () -> cluster.state.lateTransactionProbability = share,
        () -> cluster.state.lateTransactionProbability = 0);
  }

  /** Delays direct commands by {@code delayMs} to twice {@code delayMs}. */
  public void delayCommands(long delayMs, long ms) {
    applyTemporarily(ms, () -> cluster.delayCommands(delayMs), () -> cluster.delayCommands(0));
  }

  /** Delivers each executed direct message once more, {@code delayMs} later. */
  public void duplicateCommands(long delayMs, long ms) {
    applyTemporarily(
        ms, () -> cluster.duplicateCommands(delayMs), () -> cluster.duplicateCommands(0));
  }

  /** Delivers a copy of each heartbeat once more, up to {@code maxDelayMs} later. */
  public void duplicateHeartbeats(long maxDelayMs, long ms) {
    applyTemporarily(
        ms, () -> cluster.duplicateHeartbeats(maxDelayMs), () -> cluster.duplicateHeartbeats(0));
  }

  /** Delays heartbeats by {@code delayMs}; replies to direct commands are not delayed. */
  public void delayHeartbeats(long delayMs, long ms) {
    applyTemporarily(
        ms, () -> cluster.heartbeatDelayMs = delayMs, () -> cluster.heartbeatDelayMs = 0);
  }

  private void applyToRandomWorkers(int count, Consumer<SimulatedWorker> action) {
    driver.post(
        () -> {
          List<SimulatedWorker> available = new ArrayList<>(cluster.workers.values());
          available.removeIf(worker -> worker.dead || worker.hung);
          Collections.shuffle(available, cluster.random);
          available.stream().limit(count).forEach(action);
        });
  }

  /** Freezes randomly chosen machines together with their tasks. */
  public void hangWorkers(int count, long ms) {
    applyToRandomWorkers(count, worker -> ClusterFaults.hang(cluster, worker, ms));
  }

  /** Makes randomly chosen machines fail. */
  public void killWorkers(int count) {
    applyToRandomWorkers(count, worker -> cluster.cloud.fail(worker.machine));
  }

  /** Makes the cloud reclaim randomly chosen machines. */
  public void reclaimWorkers(int count) {
    applyToRandomWorkers(count, worker -> cluster.cloud.terminate(worker.machine.id));
  }

  /** Makes every task fail that starts on some randomly chosen machines. */
  public void failTasksOnWorkers(int count, long ms) {
    applyToRandomWorkers(
        count,
        worker -> {
          worker.failing = true;
          cluster.after(ms, () -> worker.failing = false);
        });
  }

  /** Submits {@code count} arrays of the largest size, and cancels them later. */
  public void submitLargeArrays(int count, long cancelAfterMs) {
    driver.post(
        () -> {
          for (int i = 0; i < count; i++) {
            submitLargeArray(cancelAfterMs);
          }
        });
  }

  private void submitLargeArray(long cancelAfterMs) {
    String id = SimulatedJobs.id(FIRST_LARGE_ARRAY + largeArrays++);
    List<Settings.Team> teams = cluster.settings[0].teams();
    Map<String, String> options =
        Map.of(
            "tasks",
            "" + LARGEST_ARRAY,
            "cpus",
            "1",
            "rank",
            "low",
            "team",
            teams.get(cluster.random.nextInt(teams.size())).name());
    JobSpec spec = SimulatedJobs.spec(id, "batch", options);
    cluster.clients.submit(spec, LARGE_ARRAY_RUN_MS, Map.of());
    cluster.after(cancelAfterMs, () -> cluster.clients.cancel(id));
  }

  /** Cancels {@code count} running jobs within 200 ms. */
  public void cancelJobs(int count) {
    driver.post(() -> cluster.clients.cancelRunningJobs(count, 0));
  }
}
