package org.snowturn.core.term;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.act.Failures;
import org.snowturn.core.act.Reports;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.decide.Fleet;
import org.snowturn.core.decide.ZoneOutages;
import org.snowturn.core.evidence.Reachability;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.reach.ConnectivityMonitor;
import org.snowturn.core.reach.WorkerSilence;
import org.snowturn.wire.Report;

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

  private final Calls calls;
  private final Settings settings;
  private final Catalog catalog;
  private final MachineBook machines;
  private final Reports reports;
  private final Failures failures;
  private final Fleet fleet;
  private final ZoneOutages darkZones;
  private final TermRecovery takeover;
  private final ConnectivityMonitor surroundings;
  private final WorkerSilence hearing;
  private final long startedAt;
  private int haveBeenUp;

  /** How many machines report and have left several messages in a row unanswered. */
  private int deaf;

  /** How many machines answer direct messages and have not checked in for too long. */
  private int mutes;

  private long lateReports;

  HealthChecks(
      Calls calls,
      Settings settings,
      Catalog catalog,
      MachineBook machines,
      Reports reports,
      Failures failures,
      Fleet fleet,
      ZoneOutages darkZones,
      TermRecovery takeover,
      ConnectivityMonitor surroundings) {
    this.calls = calls;
    this.settings = settings;
    this.catalog = catalog;
    this.machines = machines;
    this.reports = reports;
    this.failures = failures;
    this.fleet = fleet;
    this.darkZones = darkZones;
    this.takeover = takeover;
    this.surroundings = surroundings;
    this.hearing = new WorkerSilence(SWEEP_MS, settings.workers().reportS());
    this.startedAt = calls.now();
  }

  /**
   * Whether a check-in is earlier than one that has come already: a copy, or one that its worker
   * has given up. Whatever it is answered renews nothing.
   */
  boolean late(Machine m, Report r) {
    boolean late = r.session() < m.session || (r.session() == m.session && m.contact.late(r.seq()));
    lateReports += late ? 1 : 0;
    return late;
  }

  /** A check-in has come that is not late. */
  void heard() {
    hearing.heard();
  }

  /** That check-in was taken in. */
  void checkedIn(Machine m, Report r) {
    if (r.session() == m.session) {
      m.contact.checkedIn(r.seq(), calls.now(), Reports.inTimeMs(settings));
    }
    prove(m);
  }

  /** The machine has answered a message; its report has not been taken in yet. */
  void answered(Machine m, Report r) {
    hearing.heard();
    surroundings.workerHeard();
    m.probing = false;
    if (m.contact.answersAnew(isBefore(m, r))) {
      fleet.discard(m, "has started anew");
    }
  }

  /**
   * Asks a machine that reports whether it receives anything. One that is new to this leader is
   * given the time to come back with the token; a new leader's are asked by the takeover, in its
   * order.
   */
  private void prove(Machine m) {
    boolean inTurn =
        m.acknowledged
            || (takeover.mostHeard() && m.contact.answeredFor(calls.now()) > COMES_BACK_MS);
    if (inTurn && m.addr != null && m.outbox.idle() && m.contact.toAsk(calls.now())) {
      m.outbox.ask();
    }
  }

  /** Whether an answer is older than what is known by more than what overtakes it on the way. */
  private static boolean isBefore(Machine m, Report r) {
    return r.session() < m.session || (r.session() == m.session && r.seq() + OVERTAKEN < m.seq);
  }

  /** A message to the machine got no answer. */
  void unanswered(Machine m) {
    // Commands count as well as probes: a dead machine with free room is given new ones again and
    // again, and would never be probed.
    m.blockedUntil = Math.max(m.blockedUntil, calls.now() + UNANSWERED_MS);
    takeover.unanswered(m);
    hearing.unanswered();
    if (m.contact.inVain() == Reachability.DEAF_AFTER) {
      calls.note(m.id + " has left " + Reachability.DEAF_AFTER + " messages in a row unanswered");
    }
    if (m.probing || (hasBeenUp(m) && quiet(m))) {
      m.probing = false;
      if (m.suspect && m.lastReportAt != Job.UNKNOWN && replaceable()) {
        fleet.discard(m, "silent");
      }
      m.suspect = true;
    }
  }

  /**
   * Whether a machine that this leader has not heard yet may be replaced: asked in vain, or silent
   * for longer than its way to a new leader takes.
   */
  private boolean neverHeard(Machine m) {
    return (turnedOver() || takeover.askedInVain(m))
        && hearing.hears(calls.now())
        && darkZones.inReach();
  }

  /** Whether workers have had the time to find this leader. */
  private boolean turnedOver() {
    return calls.now() - startedAt > Reports.turnOverMs(settings);
  }

  /** Whether silence is the machines' own, as the last sweep had it. */
  private boolean replaceable() {
    return turnedOver() && hearing.hears(calls.now()) && darkZones.inReach();
  }

  /** Heard by this leader, or recorded by an earlier one. */
  private static boolean hasBeenUp(Machine m) {
    return m.lastReportAt != Job.UNKNOWN || m.recorded;
  }

  /** Whether a machine that has been up should have been heard again by now. */
  private boolean quiet(Machine m) {
    return m.lastReportAt != Job.UNKNOWN
        ? calls.now() > m.quietFrom
        : takeover.askedInVain(m) || turnedOver();
  }

  /**
   * Looks at all machines.
   *
   * @return why this node had better leave its place, or null
   */
  String sweep() {
    long now = calls.now();
    if (cutOffFromWorkers()) {
      return "no worker reaches this node any more";
    }
    int heard = 0;
    int silent = 0;
    int up = 0;
    int deafNow = 0;
    int muteNow = 0;
    darkZones.begin();
    for (Machine m : machines.present()) {
      if (m.shape == null && m.type != null) {
        m.shape = catalog.get(m.type);
      }
      reports.lapse(m);
      if (!hasBeenUp(m)) {
        continue;
      }
      up += m.deleting ? 0 : 1;
      boolean quiet = quiet(m);
      // Those that have not been heard yet count once they have left a question unanswered: else
      // the first that are asked often enough would be judged by the few that were heard.
      boolean doubtful = m.lastReportAt == Job.UNKNOWN && takeover.doubtful(m);
      if (quiet || doubtful || m.lastReportAt != Job.UNKNOWN) {
        darkZones.count(m, quiet || doubtful);
      }
      if (m.lastReportAt == Job.UNKNOWN) {
        if (!quiet) {
          continue;
        }
        if (m.bound.isEmpty()
            && now - startedAt > 2 * Reports.lapseMs(settings)
            && m.listedAt == Job.UNKNOWN) {
          machines.retire(m);
        } else if (neverHeard(m)) {
          fleet.discard(m, "not heard of since the change of leader");
        }
        continue;
      }
      boolean mute = m.mute(now);
      silent += (quiet || mute) && !m.deleting ? 1 : 0;
      heard += quiet || mute ? 0 : 1;
      muteNow += mute && !quiet ? 1 : 0;
      failures.review(m);
      if (!quiet && !m.deleting && !m.contact.proven()) {
        prove(m);
        deafNow += m.contact.inVain() >= Reachability.DEAF_AFTER ? 1 : 0;
        if (m.contact.deaf(now, deafMs()) && deaf * 2 < haveBeenUp && replaceable()) {
          fleet.discard(m, "reports, but receives nothing");
        }
      }
      boolean muteForLong = now - Reports.lapseMs(settings) > m.checkInDueAt;
      if (!quiet && !m.deleting && muteForLong && mutes * 2 < haveBeenUp && replaceable()) {
        fleet.discard(m, "reaches no controller");
      }
      if (quiet && !m.probing && !m.deleting && m.addr != null) {
        if (now > m.takenAt) {
          if (replaceable()) {
            fleet.discard(m, "taken back");
          }
        } else if (m.outbox.idle()) {
          m.probing = true;
          m.outbox.ask();
        }
      }
    }
    darkZones.end();
    haveBeenUp = up;
    deaf = deafNow;
    mutes = muteNow;
    boolean cutOff = silent >= 3 && heard * 4 < silent;
    boolean leave =
        cutOff
            && now - startedAt > 2 * Reports.lapseMs(settings)
            && !settings.peers().isEmpty()
            && surroundings.otherMayServe();
    return leave ? "most machines are out of reach" : null;
  }

  /** So long a machine may receive nothing, or this node be unable to reach it, until it goes. */
  private long deafMs() {
    return Math.max(Reports.quietMs(settings), (long) (500 * settings.workers().leaseS()));
  }

  /** Whether this node should leave its place since no worker reaches it and a peer is reached. */
  private boolean cutOffFromWorkers() {
    hearing.sweep(haveBeenUp, calls.now());
    boolean turnedOver = turnedOver();
    int toAsk = turnedOver ? 0 : hearing.wantsAsked();
    List<Machine> all = toAsk == 0 ? List.of() : machines.present();
    for (int i = 0; i < all.size(); i += Math.max(1, all.size() / toAsk)) {
      if (all.get(i).addr != null && hasBeenUp(all.get(i))) {
        all.get(i).outbox.ask();
      }
    }
    boolean unheard = hearing.deaf(turnedOver) && !settings.peers().isEmpty();
    return hearing.handOver(unheard, surroundings.otherMayServe());
  }

  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.machines.deaf", (double) deaf,
        "snowturn.machines.mute", (double) mutes,
        "snowturn.reports.late", (double) lateReports);
  }
}
