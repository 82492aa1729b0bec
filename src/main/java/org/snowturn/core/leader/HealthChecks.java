package org.snowturn.core.leader;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.assignment.FailureHandler;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.connectivity.ConnectivityMonitor;
import org.snowturn.core.connectivity.WorkerSilence;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.Reachability;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.scheduling.Autoscaler;
import org.snowturn.core.scheduling.ZoneOutages;
import org.snowturn.wire.Heartbeat;

/**
 * A term's look at its machines: which are silent, which receive nothing, whose silence it is, and
 * what is replaced for it. It deletes, which is proof, and asks; it never takes anything for ended.
 */
final class HealthChecks {
  /** The time between two looks at all machines. */
  static final long SWEEP_MS = 250;

  /** So many messages of a machine may overtake one of its answers. */
  private static final int OVERTAKEN = 10;

  /** A worker that has just been given the token reports again within this time. */
  private static final long COMES_BACK_MS = 1_500;

  /** A machine that left a message unanswered gets no new work for so long, or until it reports. */
  private static final long UNANSWERED_MS = 1_500;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final HeartbeatProcessor heartbeats;
  private final FailureHandler failureHandler;
  private final Autoscaler autoscaler;
  private final ZoneOutages zoneOutages;
  private final LeaderRecovery takeover;
  private final ConnectivityMonitor connectivity;
  private final WorkerSilence hearing;
  private final long startedAt;
  private int haveBeenUp;

  /** How many machines report and have left several messages in a row unanswered. */
  private int deaf;

  /** How many machines answer direct messages and have not checked in for too long. */
  private int mutes;

  private long lateReports;

  HealthChecks(
      CoreRuntime runtime,
      Settings settings,
      MachineTypes machineTypes,
      MachineIndex machines,
      HeartbeatProcessor heartbeats,
      FailureHandler failureHandler,
      Autoscaler autoscaler,
      ZoneOutages zoneOutages,
      LeaderRecovery takeover,
      ConnectivityMonitor connectivity) {
    this.runtime = runtime;
    this.settings = settings;
    this.machineTypes = machineTypes;
    this.machines = machines;
    this.heartbeats = heartbeats;
    this.failureHandler = failureHandler;
    this.autoscaler = autoscaler;
    this.zoneOutages = zoneOutages;
    this.takeover = takeover;
    this.connectivity = connectivity;
    this.hearing = new WorkerSilence(SWEEP_MS, settings.workers().reportS());
    this.startedAt = runtime.now();
  }

  /**
   * Whether a check-in is earlier than one that has come already: a copy, or one that its worker
   * has given up. Whatever it is answered renews nothing.
   */
  boolean late(Machine machine, Heartbeat heartbeat) {
    boolean late =
        heartbeat.epoch() < machine.epoch()
            || (heartbeat.epoch() == machine.epoch() && machine.reachability.late(heartbeat.seq()));
    lateReports += late ? 1 : 0;
    return late;
  }

  /** A check-in has come that is not late. */
  void heard() {
    hearing.heard();
  }

  /** That check-in was taken in. */
  void checkedIn(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.epoch() == machine.epoch()) {
      machine.reachability.checkedIn(
          heartbeat.seq(), runtime.now(), HeartbeatProcessor.heartbeatDueMs(settings));
    }
    prove(machine);
  }

  /** The machine has answered a message; its report has not been taken in yet. */
  void answered(Machine machine, Heartbeat heartbeat) {
    hearing.heard();
    connectivity.workerHeard();
    machine.probeSettled();
    if (machine.reachability.answersAnew(isBefore(machine, heartbeat))) {
      autoscaler.discard(machine, "has started anew");
    }
  }

  /**
   * Asks a machine that reports whether it receives anything. One that is new to this leader is
   * given the time to come back with the token; a new leader's are asked by the takeover, in its
   * order.
   */
  private void prove(Machine machine) {
    boolean inTurn =
        machine.isAcknowledged()
            || (takeover.mostHeard()
                && machine.reachability.answeredFor(runtime.now()) > COMES_BACK_MS);
    if (inTurn
        && machine.addr() != null
        && machine.commands().idle()
        && machine.reachability.toAsk(runtime.now())) {
      machine.commands().probe();
    }
  }

  /** Whether an answer is older than what is known by more than what overtakes it on the way. */
  private static boolean isBefore(Machine machine, Heartbeat heartbeat) {
    return heartbeat.epoch() < machine.epoch()
        || (heartbeat.epoch() == machine.epoch()
            && heartbeat.seq() + OVERTAKEN < machine.heartbeatSeq());
  }

  /** A message to the machine got no answer. */
  void unanswered(Machine machine) {
    // Commands count as well as probes: a dead machine with free room is given new ones again and
    // again, and would never be probed.
    machine.setBlockedUntil(Math.max(machine.blockedUntil(), runtime.now() + UNANSWERED_MS));
    takeover.unanswered(machine);
    hearing.unanswered();
    if (machine.reachability.inVain() == Reachability.DEAF_AFTER) {
      runtime.note(
          machine.id + " has left " + Reachability.DEAF_AFTER + " messages in a row unanswered");
    }
    if (machine.isProbing() || (hasBeenUp(machine) && quiet(machine))) {
      machine.probeSettled();
      if (machine.isSuspected() && machine.lastHeartbeatAt() != Job.UNKNOWN && replaceable()) {
        autoscaler.discard(machine, "silent");
      }
      machine.suspect();
    }
  }

  /**
   * Whether a machine that this leader has not heard yet may be replaced: asked in vain, or silent
   * for longer than its way to a new leader takes.
   */
  private boolean neverHeard(Machine machine) {
    return (turnedOver() || takeover.askedInVain(machine))
        && hearing.hears(runtime.now())
        && zoneOutages.inReach();
  }

  /** Whether workers have had the time to find this leader. */
  private boolean turnedOver() {
    return runtime.now() - startedAt > HeartbeatProcessor.reassignmentMs(settings);
  }

  /** Whether silence is the machines' own, as the last sweep had it. */
  private boolean replaceable() {
    return turnedOver() && hearing.hears(runtime.now()) && zoneOutages.inReach();
  }

  /** Heard by this leader, or recorded by an earlier one. */
  private static boolean hasBeenUp(Machine machine) {
    return machine.lastHeartbeatAt() != Job.UNKNOWN || machine.isRegistered();
  }

  /** Whether a machine that has been up should have been heard again by now. */
  private boolean quiet(Machine machine) {
    return machine.lastHeartbeatAt() != Job.UNKNOWN
        ? runtime.now() > machine.silentFrom()
        : takeover.askedInVain(machine) || turnedOver();
  }

  /**
   * Looks at all machines.
   *
   * @return why this node had better leave its place, or null
   */
  String sweep() {
    long now = runtime.now();
    if (cutOffFromWorkers()) {
      return "no worker reaches this node any more";
    }
    int heard = 0;
    int silent = 0;
    int up = 0;
    int deafNow = 0;
    int muteNow = 0;
    zoneOutages.begin();
    for (Machine machine : machines.present()) {
      if (machine.machineType() == null && machine.type() != null) {
        machine.setMachineType(machineTypes.get(machine.type()));
      }
      heartbeats.leaseExpired(machine);
      if (!hasBeenUp(machine)) {
        continue;
      }
      up += machine.isTerminating() ? 0 : 1;
      boolean quiet = quiet(machine);
      // Those that have not been heard yet count once they have left a question unanswered: else
      // the first that are asked often enough would be judged by the few that were heard.
      boolean doubtful = machine.lastHeartbeatAt() == Job.UNKNOWN && takeover.doubtful(machine);
      if (quiet || doubtful || machine.lastHeartbeatAt() != Job.UNKNOWN) {
        zoneOutages.count(machine, quiet || doubtful);
      }
      if (machine.lastHeartbeatAt() == Job.UNKNOWN) {
        if (!quiet) {
          continue;
        }
        if (machine.assigned.isEmpty()
            && now - startedAt > 2 * HeartbeatProcessor.leaseExpiryMs(settings)
            && machine.listedAt() == Job.UNKNOWN) {
          machines.remove(machine);
        } else if (neverHeard(machine)) {
          autoscaler.discard(machine, "not heard of since the change of leader");
        }
        continue;
      }
      boolean mute = machine.missesHeartbeats(now);
      silent += (quiet || mute) && !machine.isTerminating() ? 1 : 0;
      heard += quiet || mute ? 0 : 1;
      muteNow += mute && !quiet ? 1 : 0;
      failureHandler.review(machine);
      if (!quiet && !machine.isTerminating() && !machine.reachability.proven()) {
        prove(machine);
        deafNow += machine.reachability.inVain() >= Reachability.DEAF_AFTER ? 1 : 0;
        if (machine.reachability.deaf(now, deafMs()) && deaf * 2 < haveBeenUp && replaceable()) {
          autoscaler.discard(machine, "reports, but receives nothing");
        }
      }
      boolean muteForLong =
          now - HeartbeatProcessor.leaseExpiryMs(settings) > machine.heartbeatDueAt();
      if (!quiet
          && !machine.isTerminating()
          && muteForLong
          && mutes * 2 < haveBeenUp
          && replaceable()) {
        autoscaler.discard(machine, "reaches no controller");
      }
      if (quiet && !machine.isProbing() && !machine.isTerminating() && machine.addr() != null) {
        if (now > machine.preemptionAt()) {
          if (replaceable()) {
            autoscaler.discard(machine, "taken back");
          }
        } else if (machine.commands().idle()) {
          machine.probeSent();
          machine.commands().probe();
        }
      }
    }
    zoneOutages.end();
    haveBeenUp = up;
    deaf = deafNow;
    mutes = muteNow;
    boolean cutOff = silent >= 3 && heard * 4 < silent;
    boolean leave =
        cutOff
            && now - startedAt > 2 * HeartbeatProcessor.leaseExpiryMs(settings)
            && !settings.peers().isEmpty()
            && connectivity.otherMayServe();
    return leave ? "most machines are out of reach" : null;
  }

  /** So long a machine may receive nothing, or this node be unable to reach it, until it goes. */
  private long deafMs() {
    return Math.max(
        HeartbeatProcessor.silenceLimitMs(settings), (long) (500 * settings.workers().leaseS()));
  }

  /** Whether this node should leave its place since no worker reaches it and a peer is reached. */
  private boolean cutOffFromWorkers() {
    hearing.sweep(haveBeenUp, runtime.now());
    boolean turnedOver = turnedOver();
    int toAsk = turnedOver ? 0 : hearing.wantsAsked();
    List<Machine> all = toAsk == 0 ? List.of() : machines.present();
    for (int i = 0; i < all.size(); i += Math.max(1, all.size() / toAsk)) {
      if (all.get(i).addr() != null && hasBeenUp(all.get(i))) {
        all.get(i).commands().probe();
      }
    }
    boolean unheard = hearing.deaf(turnedOver) && !settings.peers().isEmpty();
    return hearing.handOver(unheard, connectivity.otherMayServe());
  }

  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.machines.deaf", (double) deaf,
        "snowturn.machines.mute", (double) mutes,
        "snowturn.reports.late", (double) lateReports);
  }
}
