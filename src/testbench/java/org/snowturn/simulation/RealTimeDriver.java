package org.snowturn.simulation;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a simulated cluster in real time, by the monotonic clock, on one thread. Requests and
 * responses of other processes are passed in with {@link #post} and handled on the same thread, so
 * the simulation needs no locks.
 */
final class RealTimeDriver {
  private static final Logger LOG = LoggerFactory.getLogger(RealTimeDriver.class);
  private static final long MAX_IDLE_MS = 20;

  /** Number of posted actions after which events that are due get their turn. */
  private static final int MAX_ACTIONS_PER_ROUND = 500;

  private static final long INVARIANT_CHECK_INTERVAL_MS = 500;

  private final SimulatedCluster cluster;
  private final BlockingQueue<Runnable> actions = new LinkedBlockingQueue<>();
  private final long startNanos = System.nanoTime();
  private final Thread thread;
  private volatile boolean isStopped;
  private long nextInvariantCheckMs;

  /** Creates a driver with a thread of the given name, which {@link #start} starts. */
  RealTimeDriver(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Stops the thread. Actions that have not run are dropped. */
  void stop() {
    isStopped = true;
  }

  /** Queues an action to run on the thread of this driver. */
  void post(Runnable action) {
    actions.add(action);
  }

  private long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void run() {
    while (!isStopped) {
      try {
        Runnable next = actions.poll(cluster.msUntilNextEvent(MAX_IDLE_MS), TimeUnit.MILLISECONDS);
        cluster.runDueEvents(nowMs());
        for (int n = 0; next != null && n < MAX_ACTIONS_PER_ROUND; n++) {
          runAction(next);
          next = actions.poll();
        }
        if (next != null) {
          runAction(next);
        }
        checkInvariants();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        reportFailure(e);
      }
    }
  }

  private void checkInvariants() {
    if (cluster.now >= nextInvariantCheckMs) {
      nextInvariantCheckMs = cluster.now + INVARIANT_CHECK_INTERVAL_MS;
      cluster.invariants.check();
    }
  }

  private void runAction(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      reportFailure(e);
    }
  }

  /** Reports an error of the simulation itself as a violated rule, so that the run fails. */
  private void reportFailure(RuntimeException e) {
    LOG.error("simulated cluster: an action or event threw an exception", e);
    cluster.invariants.reportViolation("world_failed", e.toString());
  }
}
