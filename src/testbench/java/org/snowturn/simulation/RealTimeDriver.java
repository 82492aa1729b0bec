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
  private static final long LONGEST_SLEEP_MS = 20;
  private static final int AT_ONCE = 500;
  private static final long RULES_EVERY_MS = 500;

  private final SimulatedCluster cluster;
  private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final long beganNanos = System.nanoTime();
  private final Thread thread;
  private volatile boolean stopped;
  private long rulesAt;

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
    stopped = true;
  }

  /** Runs something on the world's thread, soon. */
  void post(Runnable run) {
    inbox.add(run);
  }

  private long nowMs() {
    return (System.nanoTime() - beganNanos) / 1_000_000;
  }

  private void run() {
    while (!stopped) {
      try {
        Runnable next = inbox.poll(cluster.idleMs(LONGEST_SLEEP_MS), TimeUnit.MILLISECONDS);
        cluster.runDue(nowMs());
        for (int n = 0; next != null && n < AT_ONCE; n++) {
          safely(next);
          next = inbox.poll();
        }
        if (next != null) {
          safely(next);
        }
        checkRules();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        failed(e);
      }
    }
  }

  private void checkRules() {
    if (cluster.now >= rulesAt) {
      rulesAt = cluster.now + RULES_EVERY_MS;
      cluster.invariants.check();
    }
  }

  private void safely(Runnable run) {
    try {
      run.run();
    } catch (RuntimeException e) {
      failed(e);
    }
  }

  /** A fault of the world itself: it counts as a broken rule, so that no run passes over it. */
  private void failed(RuntimeException e) {
    LOG.error("the world failed", e);
    cluster.invariants.reportViolation("world_failed", e.toString());
  }
}
