package org.snowturn.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.snowturn.lab.Deployment.Part;
import org.snowturn.sim.RegionFaults;

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
  private final Part part;
  private final RegionFaults faults;
  private final Consumer<String> progress;
  private final List<Step> later = new ArrayList<>();
  private final long beganNanos = System.nanoTime();

  FaultInjector(Deployment deployment, Part part, Consumer<String> progress) {
    this.deployment = deployment;
    this.part = part;
    this.faults = part.region.faults();
    this.progress = progress;
  }

  private long nowMs() {
    return (System.nanoTime() - beganNanos) / 1_000_000;
  }

  /** Plays all faults; returns when the last one is over. */
  void play(List<SoakFault> plan) throws IOException, InterruptedException, TimeoutException {
    long end = 0;
    for (SoakFault f : plan) {
      later.add(new Step(f.atMs(), () -> begin(f)));
      end = Math.max(end, f.atMs() + f.forMs());
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

  private void begin(SoakFault f) throws IOException, InterruptedException, TimeoutException {
    progress.accept(nowMs() + " " + f.line());
    switch (f.kind()) {
      case KILL -> targets(f).forEach(c -> kill(c, f.forMs()));
      case KILL_LEADERS -> killLeaders((int) f.amount(), f.forMs());
      case KILL_IN_TAKEOVER -> killInTakeover(f.forMs());
      case PAUSE -> pause(f);
      case CUT_TO_WORKERS -> cut(f, true, RegionFaults.WORKERS);
      case CUT_FROM_WORKERS -> cut(f, false, RegionFaults.WORKERS);
      case CUT_TO_STATE -> cut(f, true, STATE);
      case CUT_FROM_STATE -> cut(f, false, STATE);
      case CUT_CLOUD -> cut(f, true, CLOUD);
      case CUT_TO_PEERS -> cutPeers(f, true);
      case CUT_FROM_PEERS -> cutPeers(f, false);
      case REFUSE -> targets(f).forEach(c -> faults.refuse(c.name, f.forMs()));
      case OUTAGE -> faults.outage(f.forMs());
      case SLOW_STATE -> faults.slowState((int) f.amount(), f.forMs());
      case LOSE_ANSWERS -> faults.loseAnswers(f.amount(), f.forMs());
      case LATE_TRANSACTIONS -> faults.lateTransactions(f.amount(), f.forMs());
      case LATE_COMMANDS -> faults.lateCommands(amountMs(f), f.forMs());
      case COPY_REPORTS -> faults.copyReports(amountMs(f), f.forMs());
      case SLOW_REPORTS -> faults.slowReports(amountMs(f), f.forMs());
      case HANG_WORKERS -> faults.hangWorkers((int) f.amount(), f.forMs());
      case KILL_WORKERS -> faults.killWorkers((int) f.amount());
      case TAKE_WORKERS -> faults.takeWorkers((int) f.amount());
      case SICK_WORKERS -> faults.sickWorkers((int) f.amount(), f.forMs());
      case CANCEL_JOBS -> faults.cancelJobs((int) f.amount());
      default -> throw new IllegalStateException(f.toString());
    }
  }

  private static long amountMs(SoakFault f) {
    return Math.max(1, Math.round(f.amount() * 1000));
  }

  private List<ControllerProcess> targets(SoakFault f) throws TimeoutException {
    String leader = part.region.leaderByKey();
    return switch (f.target()) {
      case SoakFault.ALL -> part.controllers;
      case SoakFault.LEADER ->
          part.controllers.stream().filter(c -> c.name.equals(leader)).toList();
      default -> part.controllers.stream().filter(c -> !c.name.equals(leader)).limit(1).toList();
    };
  }

  private void kill(ControllerProcess c, long backMs) {
    if (c.alive()) {
      c.kill();
      after(
          backMs,
          () -> {
            if (!c.alive()) {
              deployment.start(c);
            }
          });
    }
  }

  private void killLeaders(int count, long backMs) throws TimeoutException {
    String leader = part.region.leaderByKey();
    ControllerProcess c = leader == null ? null : part.named(leader);
    if (c != null) {
      kill(c, backMs);
    }
    if (count > 1) {
      after(backMs, () -> whenSomebodyElseLeads(leader, () -> killLeaders(count - 1, backMs)));
    }
  }

  private void killInTakeover(long backMs) throws TimeoutException {
    String old = part.region.leaderByKey();
    ControllerProcess c = old == null ? null : part.named(old);
    if (c != null) {
      kill(c, backMs);
    }
    whenSomebodyElseLeads(
        old,
        () ->
            after(
                IN_TAKEOVER_MS,
                () -> {
                  String leader = part.region.leaderByKey();
                  if (leader != null) {
                    kill(part.named(leader), backMs);
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
          String now = part.region.leaderByKey();
          if (now != null && !now.equals(than)) {
            then.run();
          } else if (nowMs() < untilMs) {
            whenSomebodyElseLeads(than, untilMs, then);
          }
        });
  }

  private void pause(SoakFault f) throws IOException, InterruptedException, TimeoutException {
    for (ControllerProcess c : targets(f)) {
      c.pause(true);
      after(f.forMs(), () -> c.pause(false));
    }
  }

  private void cut(SoakFault f, boolean outwards, String other) throws TimeoutException {
    for (ControllerProcess c : targets(f)) {
      faults.cut(outwards ? c.name : other, outwards ? other : c.name, f.forMs());
    }
  }

  private void cutPeers(SoakFault f, boolean outwards) throws TimeoutException {
    for (ControllerProcess c : targets(f)) {
      for (ControllerProcess peer : part.controllers) {
        if (peer != c) {
          String from = outwards ? c.name : peer.name;
          String to = outwards ? peer.name : c.name;
          deployment.cutPeers(from, to, true);
          after(f.forMs(), () -> deployment.cutPeers(from, to, false));
        }
      }
    }
  }
}
