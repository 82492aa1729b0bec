package org.snowturn.simulation;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives a world by the steady clock, on one thread. Whatever comes from outside (requests, answers
 * from real processes) is handed in by {@link #post} and runs on that thread too, so the stand-ins
 * need no locks.
 */
final class RealTimeDriver {
  private static final Logger LOG = LoggerFactory.getLogger(RealTimeDriver.class);
  private static final long MAX_IDLE_MS = 20;
  private static final int MAX_ACTIONS_PER_ROUND = 500;
  private static final long INVARIANT_CHECK_INTERVAL_MS = 500;

  private final SimulatedCluster cluster;
  private final BlockingQueue<Runnable> actions = new LinkedBlockingQueue<>();
  private final long startNanos = System.nanoTime();
  private final Thread thread;
  private volatile boolean isStopped;
  private long nextInvariantCheckMs;

  RealTimeDriver(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Ends the thread; what still waits is dropped. */
  void stop() {
    isStopped = true;
  }

  /** Runs something on the world's thread, soon. */
  void post(Runnable action) {
    actions.add(action);
  }

  private long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void run() {
    while (!isStopped) {
      try {
        Runnable next = actions.poll(cluster.idleMs(MAX_IDLE_MS), TimeUnit.MILLISECONDS);
        cluster.runDue(nowMs());
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

  /** A fault of the world itself: it counts as a broken rule, so that no run passes over it. */
  private void reportFailure(RuntimeException e) {
    LOG.error("the world failed", e);
    cluster.invariants.reportViolation("world_failed", e.toString());
  }
}
