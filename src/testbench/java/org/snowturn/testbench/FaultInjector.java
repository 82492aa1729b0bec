package org.snowturn.testbench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.snowturn.simulation.LoopbackFaults;
import org.snowturn.testbench.Deployment.Region;

/** Injects the faults of a plan into a region, each at its time, and ends them. */
final class FaultInjector {
  /** An action and the time at which the soak run's thread runs it. */
  private record ScheduledAction(long atMs, Action action) {}

  /** An action that may control processes and query the simulated cluster. */
  private interface Action {
    void run() throws IOException, InterruptedException, TimeoutException;
  }

  private static final String STATE_SERVICE = "state";
  private static final String CLOUD = "cloud";
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long MS_PER_S = 1_000;

  /** Time after the election of a leader at which its takeover is still in progress. */
  private static final long KILL_IN_TAKEOVER_DELAY_MS = 15;

  /** Maximum time that a fault waits for a new leader. */
  private static final long LEADER_TIMEOUT_MS = 15_000;

  private static final long POLL_INTERVAL_MS = 5;

  private final Deployment deployment;
  private final Region region;
  private final LoopbackFaults faults;
  private final Consumer<String> progress;
  private final List<ScheduledAction> scheduled = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  /**
   * Creates an injector whose time starts now.
   *
   * @param deployment the deployment that restarts controllers and cuts peer links
   * @param region the region in which the faults happen
   * @param progress receives a line for each fault when it begins
   */
  FaultInjector(Deployment deployment, Region region, Consumer<String> progress) {
    this.deployment = deployment;
    this.region = region;
    this.faults = region.cluster.faults();
    this.progress = progress;
  }

  private long nowMs() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  /** Injects all faults and returns when the last one has ended. */
  void play(List<SoakFault> plannedFaults)
      throws IOException, InterruptedException, TimeoutException {
    long endMs = 0;
    for (SoakFault fault : plannedFaults) {
      scheduled.add(new ScheduledAction(fault.atMs(), () -> inject(fault)));
      endMs = Math.max(endMs, fault.effectEndsMs());
    }
    while (!scheduled.isEmpty() || nowMs() < endMs) {
      ScheduledAction next = earliest();
      if (next != null && next.atMs <= nowMs()) {
        scheduled.remove(next);
        next.action.run();
      } else {
        long untilNextMs = next == null ? POLL_INTERVAL_MS : next.atMs - nowMs();
        // Negative if the time of the next action has come since the check above.
        Thread.sleep(Math.max(0, Math.min(POLL_INTERVAL_MS, untilNextMs)));
      }
    }
  }

  private ScheduledAction earliest() {
    ScheduledAction first = null;
    for (ScheduledAction candidate : scheduled) {
      first = first == null || candidate.atMs < first.atMs ? candidate : first;
    }
    return first;
  }

  private void schedule(long delayMs, Action action) {
    scheduled.add(new ScheduledAction(nowMs() + delayMs, action));
  }

  private void inject(SoakFault fault) throws IOException, InterruptedException, TimeoutException {
    progress.accept(nowMs() + " ms: " + fault.toPlanLine());
    switch (fault.kind()) {
      case KILL -> targets(fault).forEach(controller -> kill(controller, fault.durationMs()));
      case KILL_LEADERS -> killLeaders((int) fault.amount(), fault.durationMs());
      case KILL_IN_TAKEOVER -> killInTakeover(fault.durationMs());
      case PAUSE -> pause(fault);
      case CUT_TO_WORKERS -> cut(fault, true, LoopbackFaults.WORKERS);
      case CUT_FROM_WORKERS -> cut(fault, false, LoopbackFaults.WORKERS);
      case CUT_TO_STATE -> cut(fault, true, STATE_SERVICE);
      case CUT_FROM_STATE -> cut(fault, false, STATE_SERVICE);
      case CUT_CLOUD -> cut(fault, true, CLOUD);
      case CUT_TO_PEERS -> cutPeers(fault, true);
      case CUT_FROM_PEERS -> cutPeers(fault, false);
      case REFUSE ->
          targets(fault)
              .forEach(
                  controller -> faults.refuseStateRequests(controller.name, fault.durationMs()));
      case OUTAGE -> faults.startStateOutage(fault.durationMs());
      case SLOW_STATE -> faults.slowStateService((int) fault.amount(), fault.durationMs());
      case LOSE_ANSWERS -> faults.loseStateReplies(fault.amount(), fault.durationMs());
      case LATE_TRANSACTIONS -> faults.delayTransactions(fault.amount(), fault.durationMs());
      case LATE_COMMANDS -> faults.delayCommands(amountMs(fault), fault.durationMs());
      case COPY_COMMANDS -> faults.duplicateCommands(amountMs(fault), fault.durationMs());
      case COPY_REPORTS -> faults.duplicateHeartbeats(amountMs(fault), fault.durationMs());
      case SLOW_REPORTS -> faults.delayHeartbeats(amountMs(fault), fault.durationMs());
      case HANG_WORKERS -> faults.hangWorkers((int) fault.amount(), fault.durationMs());
      case KILL_WORKERS -> faults.killWorkers((int) fault.amount());
      case TAKE_WORKERS -> faults.reclaimWorkers((int) fault.amount());
      case SICK_WORKERS -> faults.failTasksOnWorkers((int) fault.amount(), fault.durationMs());
      case CANCEL_JOBS -> faults.cancelJobs((int) fault.amount());
      case LARGE_ARRAYS -> faults.submitLargeArrays((int) fault.amount(), fault.durationMs());
      default -> throw new IllegalStateException("no injection defined for " + fault);
    }
  }

  /** Returns the amount of a fault with a delay in seconds, in ms and at least 1. */
  private static long amountMs(SoakFault fault) {
    return Math.max(1, Math.round(fault.amount() * MS_PER_S));
  }

  /** Returns the controllers that a fault happens to: all, the leader or the first standby. */
  private List<ControllerProcess> targets(SoakFault fault) throws TimeoutException {
    String leader = region.cluster.leaderByKey();
    return switch (fault.target()) {
      case SoakFault.ALL -> region.controllers;
      case SoakFault.LEADER ->
          region.controllers.stream().filter(controller -> controller.name.equals(leader)).toList();
      default ->
          region.controllers.stream()
              .filter(controller -> !controller.name.equals(leader))
              .limit(1)
              .toList();
    };
  }

  /** Kills a running controller and restarts it after the delay. */
  private void kill(ControllerProcess controller, long restartDelayMs) {
    if (controller.isAlive()) {
      controller.kill();
      schedule(
          restartDelayMs,
          () -> {
            if (!controller.isAlive()) {
              deployment.start(controller);
            }
          });
    }
  }

  /** Kills the leader, then each of its successors, until {@code count} leaders are killed. */
  private void killLeaders(int count, long restartDelayMs) throws TimeoutException {
    String leader = region.cluster.leaderByKey();
    ControllerProcess controller = leader == null ? null : region.findController(leader);
    if (controller != null) {
      kill(controller, restartDelayMs);
    }
    if (count > 1) {
      schedule(
          restartDelayMs,
          () -> runWhenLeaderChanged(leader, () -> killLeaders(count - 1, restartDelayMs)));
    }
  }

  /** Kills the leader, and its successor during the takeover. */
  private void killInTakeover(long restartDelayMs) throws TimeoutException {
    String previousLeader = region.cluster.leaderByKey();
    ControllerProcess controller =
        previousLeader == null ? null : region.findController(previousLeader);
    if (controller != null) {
      kill(controller, restartDelayMs);
    }
    runWhenLeaderChanged(
        previousLeader,
        () ->
            schedule(
                KILL_IN_TAKEOVER_DELAY_MS,
                () -> {
                  String leader = region.cluster.leaderByKey();
                  if (leader != null) {
                    kill(region.findController(leader), restartDelayMs);
                  }
                }));
  }

  /** Runs the action once another controller leads; drops it after {@link #LEADER_TIMEOUT_MS}. */
  private void runWhenLeaderChanged(String previousLeader, Action action) {
    runWhenLeaderChanged(previousLeader, nowMs() + LEADER_TIMEOUT_MS, action);
  }

  private void runWhenLeaderChanged(String previousLeader, long untilMs, Action action) {
    schedule(
        POLL_INTERVAL_MS,
        () -> {
          String leader = region.cluster.leaderByKey();
          if (leader != null && !leader.equals(previousLeader)) {
            action.run();
          } else if (nowMs() < untilMs) {
            runWhenLeaderChanged(previousLeader, untilMs, action);
          }
        });
  }

  private void pause(SoakFault fault) throws IOException, InterruptedException, TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      controller.setPaused(true);
      schedule(fault.durationMs(), () -> controller.setPaused(false));
    }
  }

  /** Cuts one direction between the targets and a service or all workers. */
  private void cut(SoakFault fault, boolean isOutbound, String other) throws TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      faults.cut(
          isOutbound ? controller.name : other,
          isOutbound ? other : controller.name,
          fault.durationMs());
    }
  }

  /** Cuts one direction between the targets and each of their peers. */
  private void cutPeers(SoakFault fault, boolean isOutbound) throws TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      for (ControllerProcess peer : region.controllers) {
        if (peer != controller) {
          String from = isOutbound ? controller.name : peer.name;
          String to = isOutbound ? peer.name : controller.name;
          deployment.setPeerLinkCut(from, to, true);
          schedule(fault.durationMs(), () -> deployment.setPeerLinkCut(from, to, false));
        }
      }
    }
  }
}
