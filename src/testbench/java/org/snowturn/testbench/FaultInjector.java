package org.snowturn.testbench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.snowturn.simulation.LoopbackFaults;
import org.snowturn.testbench.Deployment.Region;

/** Makes the faults of a plan happen to a deployment, each at its time, and undoes them. */
final class FaultInjector {
  /** What is to be done at a time, on the soak run's thread. */
  private record Step(long atMs, Action action) {}

  private interface Action {
    void run() throws IOException, InterruptedException, TimeoutException;
  }

  private static final String STATE = "state";
  private static final String CLOUD = "cloud";

  /** A new leader has not finished its takeover so soon after it has won. */
  private static final long IN_TAKEOVER_MS = 15;

  /** So long somebody is waited for who leads. */
  private static final long LONGEST_WAIT_MS = 15_000;

  private static final long LOOK_MS = 5;

  private final Deployment deployment;
  private final Region part;
  private final LoopbackFaults faults;
  private final Consumer<String> progress;
  private final List<Step> later = new ArrayList<>();
  private final long beganNanos = System.nanoTime();

  FaultInjector(Deployment deployment, Region part, Consumer<String> progress) {
    this.deployment = deployment;
    this.part = part;
    this.faults = part.cluster.faults();
    this.progress = progress;
  }

  private long nowMs() {
    return (System.nanoTime() - beganNanos) / 1_000_000;
  }

  /** Plays all faults; returns when the last one is over. */
  void play(List<SoakFault> plan) throws IOException, InterruptedException, TimeoutException {
    long end = 0;
    for (SoakFault fault : plan) {
      later.add(new Step(fault.atMs(), () -> begin(fault)));
      end = Math.max(end, fault.atMs() + fault.durationMs());
    }
    while (!later.isEmpty() || nowMs() < end) {
      Step next = earliest();
      if (next != null && next.atMs <= nowMs()) {
        later.remove(next);
        next.action.run();
      } else {
        Thread.sleep(next == null ? LOOK_MS : Math.min(LOOK_MS, next.atMs - nowMs()));
      }
    }
  }

  private Step earliest() {
    Step first = null;
    for (Step s : later) {
      first = first == null || s.atMs < first.atMs ? s : first;
    }
    return first;
  }

  private void after(long ms, Action action) {
    later.add(new Step(nowMs() + ms, action));
  }

  private void begin(SoakFault fault) throws IOException, InterruptedException, TimeoutException {
    progress.accept(nowMs() + " " + fault.toPlanLine());
    switch (fault.kind()) {
      case KILL -> targets(fault).forEach(controller -> kill(controller, fault.durationMs()));
      case KILL_LEADERS -> killLeaders((int) fault.amount(), fault.durationMs());
      case KILL_IN_TAKEOVER -> killInTakeover(fault.durationMs());
      case PAUSE -> pause(fault);
      case CUT_TO_WORKERS -> cut(fault, true, LoopbackFaults.WORKERS);
      case CUT_FROM_WORKERS -> cut(fault, false, LoopbackFaults.WORKERS);
      case CUT_TO_STATE -> cut(fault, true, STATE);
      case CUT_FROM_STATE -> cut(fault, false, STATE);
      case CUT_CLOUD -> cut(fault, true, CLOUD);
      case CUT_TO_PEERS -> cutPeers(fault, true);
      case CUT_FROM_PEERS -> cutPeers(fault, false);
      case REFUSE ->
          targets(fault).forEach(controller -> faults.refuse(controller.name, fault.durationMs()));
      case OUTAGE -> faults.outage(fault.durationMs());
      case SLOW_STATE -> faults.slowState((int) fault.amount(), fault.durationMs());
      case LOSE_ANSWERS -> faults.loseAnswers(fault.amount(), fault.durationMs());
      case LATE_TRANSACTIONS -> faults.lateTransactions(fault.amount(), fault.durationMs());
      case LATE_COMMANDS -> faults.lateCommands(amountMs(fault), fault.durationMs());
      case COPY_REPORTS -> faults.copyReports(amountMs(fault), fault.durationMs());
      case SLOW_REPORTS -> faults.slowReports(amountMs(fault), fault.durationMs());
      case HANG_WORKERS -> faults.hangWorkers((int) fault.amount(), fault.durationMs());
      case KILL_WORKERS -> faults.killWorkers((int) fault.amount());
      case TAKE_WORKERS -> faults.takeWorkers((int) fault.amount());
      case SICK_WORKERS -> faults.sickWorkers((int) fault.amount(), fault.durationMs());
      case CANCEL_JOBS -> faults.cancelJobs((int) fault.amount());
      default -> throw new IllegalStateException(fault.toString());
    }
  }

  private static long amountMs(SoakFault fault) {
    return Math.max(1, Math.round(fault.amount() * 1000));
  }

  private List<ControllerProcess> targets(SoakFault fault) throws TimeoutException {
    String leader = part.cluster.leaderByKey();
    return switch (fault.target()) {
      case SoakFault.ALL -> part.controllers;
      case SoakFault.LEADER ->
          part.controllers.stream().filter(controller -> controller.name.equals(leader)).toList();
      default ->
          part.controllers.stream()
              .filter(controller -> !controller.name.equals(leader))
              .limit(1)
              .toList();
    };
  }

  private void kill(ControllerProcess controller, long backMs) {
    if (controller.isAlive()) {
      controller.kill();
      after(
          backMs,
          () -> {
            if (!controller.isAlive()) {
              deployment.start(controller);
            }
          });
    }
  }

  private void killLeaders(int count, long backMs) throws TimeoutException {
    String leader = part.cluster.leaderByKey();
    ControllerProcess controller = leader == null ? null : part.findController(leader);
    if (controller != null) {
      kill(controller, backMs);
    }
    if (count > 1) {
      after(backMs, () -> whenSomebodyElseLeads(leader, () -> killLeaders(count - 1, backMs)));
    }
  }

  private void killInTakeover(long backMs) throws TimeoutException {
    String old = part.cluster.leaderByKey();
    ControllerProcess controller = old == null ? null : part.findController(old);
    if (controller != null) {
      kill(controller, backMs);
    }
    whenSomebodyElseLeads(
        old,
        () ->
            after(
                IN_TAKEOVER_MS,
                () -> {
                  String leader = part.cluster.leaderByKey();
                  if (leader != null) {
                    kill(part.findController(leader), backMs);
                  }
                }));
  }

  private void whenSomebodyElseLeads(String than, Action then) {
    whenSomebodyElseLeads(than, nowMs() + LONGEST_WAIT_MS, then);
  }

  private void whenSomebodyElseLeads(String than, long untilMs, Action then) {
    after(
        LOOK_MS,
        () -> {
          String now = part.cluster.leaderByKey();
          if (now != null && !now.equals(than)) {
            then.run();
          } else if (nowMs() < untilMs) {
            whenSomebodyElseLeads(than, untilMs, then);
          }
        });
  }

  private void pause(SoakFault fault) throws IOException, InterruptedException, TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      controller.setPaused(true);
      after(fault.durationMs(), () -> controller.setPaused(false));
    }
  }

  private void cut(SoakFault fault, boolean outwards, String other) throws TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      faults.cut(
          outwards ? controller.name : other,
          outwards ? other : controller.name,
          fault.durationMs());
    }
  }

  private void cutPeers(SoakFault fault, boolean outwards) throws TimeoutException {
    for (ControllerProcess controller : targets(fault)) {
      for (ControllerProcess peer : part.controllers) {
        if (peer != controller) {
          String from = outwards ? controller.name : peer.name;
          String to = outwards ? peer.name : controller.name;
          deployment.setPeerLinkCut(from, to, true);
          after(fault.durationMs(), () -> deployment.setPeerLinkCut(from, to, false));
        }
      }
    }
  }
}
