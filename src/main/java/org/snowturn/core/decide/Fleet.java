package org.snowturn.core.decide;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.Reports;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.SpotLosses;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.MalformedException;

/** Hires, replaces and returns machines, within the cloud's rate. */
public final class Fleet {
  private static final int TIMEOUT_MS = 5000;
  private static final int MOST_PER_HIRE = 50;

  /** Waiting work that spot machines can do within this time needs no ordinary ones. */
  private static final double DRAIN_S = 50;

  /** A machine is paid for this long in any case. */
  private static final long PAID_MS = 60_000;

  /** Room kept for new replicas, in the largest one's size, beside the share of what runs. */
  private static final int SPARE_REPLICAS = 4;

  private static final long MOVE_EVERY_MS = 1_500;

  /** Where more than a third of the fleet is sick, one goes each time. */
  private static final long SICK_EVERY_MS = 3_000;

  /** Between two deletions there is time for so many requests to the cloud. */
  private static final double DELETE_EVERY = 2.4;

  /** A kind that was refused is asked for again so soon after one of ours has ended. */
  private static final long FREED_MS = 2_000;

  /** In one go one surplus machine of so many is returned: after a burst there are hundreds. */
  private static final int RETURNED_OF = 100;

  /** Surplus machines looked at in one go, the least used first. */
  private static final int MOST_TRIED = 8;

  private record Kind(String type, int zone, boolean spot) {}

  private record Place(int zone, boolean spot) {}

  private static final class Hire {
    final String name;
    final Kind kind;
    final int count;
    int tries;

    Hire(String name, Kind kind, int count) {
      this.name = name;
      this.kind = kind;
      this.count = count;
    }
  }

  private final Calls calls;
  private final Settings settings;
  private final Tunables tunables;
  private final Catalog catalog;
  private final MachineBook machines;
  private final Ledger ledger;
  private final Reports reports;
  private final Placer placer;
  private final ZoneOutages darkZones;
  private final FleetPolicy policy;
  private final StandingFleet standing;
  private final SpotLosses spotLosses;
  private final long token;

  private final Map<Kind, Long> refusedUntil = new HashMap<>();
  private final Map<Kind, Integer> refusals = new HashMap<>();
  private final List<Hire> inFlight = new ArrayList<>();
  private final List<Hire> repeats = new ArrayList<>();
  private final double[] held = new double[2];
  private final int[] present;
  private final Map<Place, Double> heldInZone = new HashMap<>();
  private long countedAt;
  private double budget;
  private long filledAt;
  private long nextListAt;
  private boolean listing;
  private List<CloudMachine> pages = new ArrayList<>();
  private boolean listedOnce;
  private long hires;
  private int deletesInFlight;
  private long nextDeleteAt;
  private long cloudTroubleUntil;
  private double peakArrayCpus;
  private long peakAt;
  private long nextMoveAt;
  private long nextSickAt;

  public Fleet(
      Calls calls,
      Settings settings,
      Tunables tunables,
      Catalog catalog,
      MachineBook machines,
      Ledger ledger,
      Reports reports,
      Placer placer,
      ZoneOutages darkZones,
      FleetPolicy policy,
      StandingFleet standing,
      SpotLosses spotLosses,
      long token) {
    this.spotLosses = spotLosses;
    this.countedAt = calls.now();
    this.calls = calls;
    this.settings = settings;
    this.tunables = tunables;
    this.catalog = catalog;
    this.machines = machines;
    this.ledger = ledger;
    this.reports = reports;
    this.placer = placer;
    this.darkZones = darkZones;
    this.policy = policy;
    this.standing = standing;
    this.token = token;
    this.present = new int[machines.zoneCount()];
    this.filledAt = calls.now();
    this.budget = settings.cloudLimits().rps();
  }

  public void tick() {
    long now = calls.now();
    double rate = settings.cloudLimits().rps() * 0.85;
    budget = Math.min(rate * 1.5 + 0.5, budget + rate * (now - filledAt) / 1000.0);
    filledAt = now;
    delete();
    if (!listing && now >= nextListAt && spend()) {
      listing = true;
      pages = new ArrayList<>();
      list(null);
    }
    if (catalog.known() && listedOnce && now >= cloudTroubleUntil) {
      count();
      hire();
      giveBack();
    }
  }

  private boolean spend() {
    if (budget < 1) {
      return false;
    }
    budget -= 1;
    return true;
  }

  private void list(String since) {
    String path = "/machines?most=500" + (since == null ? "" : "&since=" + since);
    calls.call(
        Effect.Target.CLOUD,
        null,
        "GET",
        path,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              CloudMachine.Page page = CloudMachine.Page.parse(body);
              pages.addAll(page.machines());
              if (page.more() && !page.machines().isEmpty()) {
                list(page.machines().get(page.machines().size() - 1).id());
                return;
              }
              listed(pages);
            } catch (MalformedException e) {
              calls.note("machine list ignored: " + e.getMessage());
            }
          }
          listing = false;
          nextListAt = calls.now() + (long) (1000 * Math.max(3, 4 / settings.cloudLimits().rps()));
        });
  }

  private void listed(List<CloudMachine> list) {
    long now = calls.now();
    listedOnce = true;
    for (CloudMachine c : list) {
      Machine m = machines.getOrCreate(c.id());
      if (m.deleted) {
        continue; // the list lags
      }
      if (m.gone) {
        calls.note(m.id + " is listed again");
        machines.revive(m);
      }
      // A new leader knows a machine's age from here only: counted from the takeover, idle machines
      // would be kept for another minute after each change of leader.
      long hiredAt = now - (long) (c.ageS() * 1000);
      m.firstSeenAt = m.firstSeenAt == 0 ? hiredAt : Math.min(m.firstSeenAt, hiredAt);
      m.listedAt = now;
      m.cloudState = c.state();
      if (m.type == null) {
        m.type = c.type();
        ledger.locate(m, machines.zone(c.zone()));
        m.spot = c.spot();
        m.shape = catalog.get(c.type());
        if (c.addr() != null) {
          m.addr = c.addr();
        }
      }
      if (c.state() == CloudMachine.State.FAILED && !m.deleting) {
        calls.note(m.id + " failed, says the cloud");
        reports.machineFailed(m);
        m.deleting = true;
      }
      boolean neverCameUp =
          m.lastReportAt == Job.UNKNOWN
              && m.bound.isEmpty()
              && c.state() == CloudMachine.State.STARTING
              && m.shape != null
              && c.ageS() > tunables.bootPatience() * m.shape.bootS() + 10;
      if (neverCameUp && !m.deleting) {
        calls.note(m.id + " never came up");
        m.deleting = true;
      }
    }
    long stale = (long) (1000 * (3 * settings.cloudLimits().listLagS() + 8));
    for (Machine m : machines.present()) {
      boolean silent =
          m.lastReportAt == Job.UNKNOWN || now - m.lastReportAt > Reports.lapseMs(settings);
      long known = Math.max(m.listedAt, m.firstSeenAt);
      if (!m.deleting && silent && m.bound.isEmpty() && now - known > stale) {
        machines.retire(m);
        freed(m);
      }
    }
  }

  /** Marks a machine for deletion: when the cloud confirms, all that was on it has ended. */
  public void discard(Machine m, String why) {
    if (!m.deleting && !m.gone) {
      calls.note(m.id + " is deleted: " + why);
      m.deleting = true;
      if (m.spot && m.suspect && m.takenAt == Long.MAX_VALUE) {
        spotLosses.taken();
      }
      ledger.somethingChanged();
    }
  }

  private void delete() {
    long now = calls.now();
    if (deletesInFlight >= 2 || now < nextDeleteAt) {
      return;
    }
    List<Machine> batch = new ArrayList<>();
    for (Machine m : machines.present()) {
      if (m.deleting && now >= m.deleteRetryAt && batch.size() < 100) {
        batch.add(m);
      }
    }
    if (batch.isEmpty() || !spend()) {
      return;
    }
    deletesInFlight++;
    // Machines that die one after another go together: else deletions alone would use up the
    // cloud's rate, and no replacement could be hired until the last had died.
    nextDeleteAt = now + (long) (1000 * DELETE_EVERY / settings.cloudLimits().rps());
    for (Machine m : batch) {
      m.deleteRetryAt = now + TIMEOUT_MS + 500;
      calls.events().info("delete").with("machine", m.id).with("bound", m.bound.size()).write();
    }
    calls.call(
        Effect.Target.CLOUD,
        null,
        "POST",
        "/machines/delete",
        CloudMachine.delete(batch.stream().map(m -> m.id).toList()),
        TIMEOUT_MS,
        (outcome, status, body) -> {
          deletesInFlight--;
          for (Machine m : batch) {
            if (outcome == Outcome.ANSWERED && status == 200) {
              calls.events().info("deleted").with("machine", m.id).write();
              machines.retire(m);
              m.deleted = true;
              freed(m);
              reports.machineDeleted(m);
            } else {
              m.deleteRetryAt = calls.now() + 1000;
            }
          }
        });
  }

  /** Counts what the machines hold, once a tick. */
  private void count() {
    held[0] = 0;
    held[1] = 0;
    heldInZone.clear();
    Arrays.fill(present, 0);
    int spotUp = 0;
    int notHired = 0;
    for (Machine m : machines.present()) {
      present[m.zone]++;
      notHired += !m.spot && !m.hired && m.lastReportAt != Job.UNKNOWN ? 1 : 0;
      if (counts(m)) {
        hold(m, 1);
        spotUp += m.spot && m.lastReportAt != Job.UNKNOWN ? 1 : 0;
      }
    }
    standing.seen(notHired);
    spotLosses.up(spotUp, (calls.now() - countedAt) / 1000.0);
    countedAt = calls.now();
  }

  private void hold(Machine m, int sign) {
    held[m.spot ? 1 : 0] += sign * m.shape.cpus();
    heldInZone.merge(new Place(m.zone, m.spot), sign * m.shape.cpus(), Double::sum);
  }

  /** What machines of a kind hold, up or on their way. */
  private double supply(boolean spot) {
    double cpus = held[spot ? 1 : 0];
    for (Hire h : inFlight) {
      if (h.kind.spot == spot && catalog.get(h.kind.type) != null) {
        cpus += h.count * catalog.get(h.kind.type).cpus();
      }
    }
    return cpus;
  }

  private boolean counts(Machine m) {
    return !m.gone
        && !m.deleting
        && !m.sick
        && !m.returning
        && !m.suspect
        && m.takenAt == Long.MAX_VALUE
        && m.shape != null
        && !(m.lastReportAt == Job.UNKNOWN && darkZones.dark(m.zone));
  }

  /** CPUs that the unfinished tasks need, memory counted by the leanest type's ratio. */
  private double need(boolean spot) {
    double ratio = 0;
    for (MachineType t : catalog.all()) {
      ratio = Math.max(ratio, t.memoryGb() / Math.max(1, t.cpus()));
    }
    double cpus = 0;
    for (Job j : ledger.jobs()) {
      if (!j.unwanted() && !j.waits() && j.spec.spot() == spot) {
        JobSpec s = j.spec;
        double each = Math.max(s.cpus(), ratio > 0 ? s.memoryGb() / ratio : 0);
        // A job that fails wherever it runs has no use for more than what it has.
        cpus += each * (j.suspect ? j.bound + 1 : j.state.length - j.done);
      }
    }
    return cpus;
  }

  private double largestReplica() {
    double cpus = 0;
    for (Job j : ledger.jobs()) {
      cpus = j.spec.service() ? Math.max(cpus, j.spec.cpus()) : cpus;
    }
    return cpus;
  }

  private double target(boolean spot) {
    double plenty = policy.plenty();
    if (plenty >= 1) {
      return Double.MAX_VALUE;
    }
    double need = need(spot);
    if (!spot) {
      double spare =
          need > 0 ? need * policy.serviceHeadroom() + SPARE_REPLICAS * largestReplica() : 0;
      return need + spare + overflow(plenty);
    }
    return arrayTarget(need);
  }

  private double arrayTarget(double need) {
    // A burst's machines stay a little: the next array finds them up and with their images.
    long now = calls.now();
    if (need >= peakArrayCpus || now - peakAt > 30_000) {
      peakArrayCpus = need;
      peakAt = now;
    }
    return Math.max(need, 0.6 * peakArrayCpus) * (1 + policy.arrayHeadroom());
  }

  /**
   * CPUs of ordinary machines for arrays: only where no more spot machines can be had, and only for
   * what these would take too long to work off, or as far as spare capacity is worth its price.
   */
  private double overflow(double plenty) {
    if (!allRefused(true)) {
      return 0;
    }
    double work = 0;
    for (Job j : ledger.jobs()) {
      if (j.wantsRoom() && j.spec.spot() && !j.suspect) {
        work += j.pending * j.spec.cpus() * Math.max(1, j.spec.estimateS());
      }
    }
    double spare = plenty * plenty * arrayTarget(need(true));
    return Math.max(0, Math.max(work / DRAIN_S, spare) - supply(true));
  }

  private void hire() {
    while (!repeats.isEmpty() && spend()) {
      send(repeats.remove(0));
    }
    for (boolean spot : new boolean[] {false, true}) {
      double target = target(spot);
      keep(spot, target);
      while (supply(spot) < target && inFlight.size() < 6) {
        Kind kind = choose(spot, target - supply(spot));
        if (kind == null || !spend()) {
          break;
        }
        MachineType type = catalog.get(kind.type);
        Hire h =
            new Hire(
                "r-" + token + "-" + ++hires,
                kind,
                darkZones.dark(kind.zone) ? 1 : count(type, target - supply(spot)));
        inFlight.add(h);
        send(h);
      }
    }
  }

  /** How many to ask for at once: what is short, shared among the zones. */
  private static int count(MachineType type, double shortage) {
    double machines = Math.ceil(shortage / Math.max(1, type.cpus()) / type.zones().size());
    return (int) Math.max(1, Math.min(MOST_PER_HIRE, machines));
  }

  private boolean allRefused(boolean spot) {
    for (MachineType t : catalog.all()) {
      for (String z : t.zones()) {
        if (calls.now()
            >= refusedUntil.getOrDefault(new Kind(t.name(), machines.zone(z), spot), 0L)) {
          return false;
        }
      }
    }
    return true;
  }

  private Kind choose(boolean spot, double shortage) {
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType t : catalog.all()) {
      for (String z : t.zones()) {
        int zone = machines.zone(z);
        Kind k = new Kind(t.name(), zone, spot);
        boolean refused = calls.now() < refusedUntil.getOrDefault(k, 0L);
        // One machine in a zone that is cut off will tell when it is back; more would be idle.
        boolean idle = darkZones.dark(zone) && (present[zone] > 0 || asked(zone));
        if (!machines.zoneKnown(zone) || refused || idle || asked(k)) {
          continue;
        }
        double price = spot ? t.spotPrice() : t.price();
        double used = Math.min(shortage, t.cpus());
        // Price of what would be used, then the zone with the least of this kind.
        double cost = price / Math.max(1, used) * (1 + 0.002 * zoneSupply(k));
        if (cost < bestCost) {
          best = k;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  private boolean asked(int zone) {
    return inFlight.stream().anyMatch(h -> h.kind.zone == zone);
  }

  /** One request of a kind at a time: its answer tells whether there is more. */
  private boolean asked(Kind k) {
    for (Hire h : inFlight) {
      if (h.kind.equals(k)) {
        return true;
      }
    }
    return false;
  }

  private double zoneSupply(Kind k) {
    return heldInZone.getOrDefault(new Place(k.zone, k.spot), 0.0);
  }

  private void send(Hire h) {
    h.tries++;
    calls
        .events()
        .info("hire")
        .with("request", h.name)
        .with("type", h.kind.type)
        .with("zone", machines.zoneName(h.kind.zone))
        .with("spot", h.kind.spot)
        .with("count", h.count)
        .with("try", h.tries)
        .write();
    calls.call(
        Effect.Target.CLOUD,
        null,
        "POST",
        "/machines",
        CloudMachine.hire(
            h.name, h.kind.type, machines.zoneName(h.kind.zone), h.kind.spot, h.count),
        TIMEOUT_MS,
        (outcome, status, body) -> hired(h, outcome, status, body));
  }

  private void hired(Hire h, Outcome outcome, int status, JsonNode body) {
    long now = calls.now();
    if (outcome == Outcome.ANSWERED && status == 200) {
      inFlight.remove(h);
      try {
        List<String> ids = CloudMachine.parseHired(body);
        for (String id : ids) {
          Machine m = machines.getOrCreate(id);
          m.hired = true;
          if (m.type == null) {
            m.type = h.kind.type;
            ledger.locate(m, h.kind.zone);
            m.spot = h.kind.spot;
            m.shape = catalog.get(h.kind.type);
          }
          m.firstSeenAt = m.firstSeenAt == 0 ? now : m.firstSeenAt;
        }
        calls.note(
            "hired "
                + ids.size()
                + " of "
                + h.count
                + " "
                + h.kind.type
                + " in "
                + machines.zoneName(h.kind.zone)
                + (h.kind.spot ? " (spot) " : " ")
                + ids);
        if (ids.size() < h.count) {
          refuse(h.kind, now);
        } else {
          refusals.remove(h.kind);
        }
      } catch (MalformedException e) {
        calls.note("answer to a hire ignored: " + e.getMessage());
      }
      return;
    }
    if (outcome == Outcome.UNKNOWN && h.tries < 4) {
      // The same name again: if it was executed, the same machines come back.
      repeats.add(h);
      return;
    }
    inFlight.remove(h);
    boolean noCapacity = body != null && "no capacity".equals(body.path("error").asText());
    if (noCapacity) {
      refuse(h.kind, now);
    } else {
      cloudTroubleUntil = now + 1000;
    }
  }

  /** One of our machines has ended: what it was may be had again. */
  private void freed(Machine m) {
    if (m.type != null) {
      Kind k = new Kind(m.type, m.zone, m.spot);
      refusals.remove(k);
      refusedUntil.computeIfPresent(k, (x, until) -> Math.min(until, calls.now() + FREED_MS));
    }
  }

  private void refuse(Kind k, long now) {
    int n = refusals.merge(k, 1, Integer::sum);
    refusedUntil.put(k, now + Math.min(30_000, 6_000L * n));
  }

  /** Takes machines that were to be returned back into use while they are needed. */
  private void keep(boolean spot, double target) {
    for (Machine m : machines.present()) {
      if (m.returning && !m.deleting && m.spot == spot && supply(spot) < target) {
        m.returning = false;
        hold(m, 1);
        ledger.somethingChanged();
      }
    }
  }

  /** Empties the least used machine that is not needed: arrays end soon, so it can be returned. */
  private void shrink(boolean spot, double target) {
    if (arraysWait()) {
      return; // what is paid for already may as well work
    }
    List<Machine> candidates = new ArrayList<>();
    for (Machine m : machines.present()) {
      if (m.spot == spot
          && counts(m)
          && m.lastReportAt != Job.UNKNOWN
          && calls.now() - m.firstSeenAt > PAID_MS / 2
          && supply(spot) - m.shape.cpus() >= target) {
        candidates.add(m);
      }
    }
    candidates.sort(Comparator.comparingDouble(m -> m.cpusUsed));
    int most = 1 + candidates.size() / RETURNED_OF;
    int tried = 0;
    for (Machine m : candidates) {
      if (supply(spot) - m.shape.cpus() < target) {
        continue;
      }
      if (spot || replicasCanMove(m)) {
        m.returning = true;
        hold(m, -1);
        most--;
      }
      if (most == 0 || ++tried == MOST_TRIED) {
        return;
      }
    }
  }

  private boolean arraysWait() {
    for (Job j : ledger.jobs()) {
      if (j.wantsRoom() && !j.spec.service() && !j.suspect) {
        return true;
      }
    }
    return false;
  }

  /** Whether each replica there could start at once on another machine, its image being there. */
  private boolean replicasCanMove(Machine m) {
    for (long ref : Reports.copy(m.bound)) {
      Job j = ledger.job(ref);
      if (j.spec.service() && !placer.couldStartElsewhere(j, m)) {
        return false;
      }
    }
    return true;
  }

  /** Moves one replica off a machine that is to be returned. */
  private void moveReplica() {
    if (calls.now() < nextMoveAt) {
      return;
    }
    for (Machine m : machines.present()) {
      if (!m.returning || m.deleting) {
        continue;
      }
      for (long ref : Reports.copy(m.bound)) {
        Job j = ledger.job(ref);
        int t = Ledger.task(ref);
        if (j.settled(t, calls.now()) && placer.couldStartElsewhere(j, m)) {
          calls.note(j.spec.id() + "/" + t + " moves off " + m.id);
          ledger.stop(j, t);
          nextMoveAt = calls.now() + MOVE_EVERY_MS;
          return;
        }
      }
    }
  }

  private void giveBack() {
    long now = calls.now();
    int present = 0;
    int sick = 0;
    for (Machine m : machines.present()) {
      present++;
      sick += m.sick ? 1 : 0;
    }
    shrink(false, target(false));
    shrink(true, target(true));
    moveReplica();
    for (Machine m : machines.present()) {
      if (m.deleting) {
        continue;
      }
      if (m.sick && (sick * 3 <= present || now >= nextSickAt)) {
        // Where most are sick, one after the other: what replaces them has to show that it is not.
        nextSickAt = now + SICK_EVERY_MS;
        discard(m, "every task fails there");
      }
      boolean idle =
          m.returning
              && m.bound.isEmpty()
              && m.unaccounted == 0
              && now - m.firstSeenAt > PAID_MS - 5_000
              && now - m.idleSince > tunables.idleReturnS() * 1000;
      if (idle) {
        discard(m, "not needed");
      }
    }
  }
}
