package org.snowturn.core.scheduling;

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
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.MalformedException;

/** Hires, replaces and returns machines, within the cloud's rate. */
public final class Autoscaler {
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

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Tunables tunables;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final TaskScheduler scheduler;
  private final ZoneOutages zoneOutages;
  private final ScalingPolicy scalingPolicy;
  private final ExternallyManagedMachines externallyManaged;
  private final PreemptionRate spotLosses;
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

  public Autoscaler(
      CoreRuntime runtime,
      Settings settings,
      Tunables tunables,
      MachineTypes machineTypes,
      MachineIndex machines,
      TaskAssignments assignments,
      HeartbeatProcessor heartbeats,
      TaskScheduler scheduler,
      ZoneOutages zoneOutages,
      ScalingPolicy scalingPolicy,
      ExternallyManagedMachines externallyManaged,
      PreemptionRate spotLosses,
      long token) {
    this.spotLosses = spotLosses;
    this.countedAt = runtime.now();
    this.runtime = runtime;
    this.settings = settings;
    this.tunables = tunables;
    this.machineTypes = machineTypes;
    this.machines = machines;
    this.assignments = assignments;
    this.heartbeats = heartbeats;
    this.scheduler = scheduler;
    this.zoneOutages = zoneOutages;
    this.scalingPolicy = scalingPolicy;
    this.externallyManaged = externallyManaged;
    this.token = token;
    this.present = new int[machines.zoneCount()];
    this.filledAt = runtime.now();
    this.budget = settings.cloudLimits().rps();
  }

  public void tick() {
    long now = runtime.now();
    double rate = settings.cloudLimits().rps() * 0.85;
    budget = Math.min(rate * 1.5 + 0.5, budget + rate * (now - filledAt) / 1000.0);
    filledAt = now;
    delete();
    if (!listing && now >= nextListAt && spend()) {
      listing = true;
      pages = new ArrayList<>();
      list(null);
    }
    if (machineTypes.known() && listedOnce && now >= cloudTroubleUntil) {
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
    runtime.call(
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
              runtime.note("machine list ignored: " + e.getMessage());
            }
          }
          listing = false;
          nextListAt =
              runtime.now() + (long) (1000 * Math.max(3, 4 / settings.cloudLimits().rps()));
        });
  }

  private void listed(List<CloudMachine> list) {
    long now = runtime.now();
    listedOnce = true;
    for (CloudMachine c : list) {
      Machine machine = machines.getOrAdd(c.id());
      if (machine.isTerminationConfirmed()) {
        continue; // the list lags
      }
      if (machine.isTerminated()) {
        runtime.note(machine.id + " is listed again");
        machines.restore(machine);
      }
      // A new leader knows a machine's age from here only: counted from the takeover, idle machines
      // would be kept for another minute after each change of leader.
      long hiredAt = now - (long) (c.ageS() * 1000);
      machine.setFirstSeenAt(
          machine.firstSeenAt() == 0 ? hiredAt : Math.min(machine.firstSeenAt(), hiredAt));
      machine.setListedAt(now);
      machine.setCloudState(c.state());
      if (machine.type() == null) {
        machine.setType(c.type());
        assignments.setZone(machine, machines.zone(c.zone()));
        machine.setSpot(c.spot());
        machine.setMachineType(machineTypes.get(c.type()));
        if (c.addr() != null) {
          machine.setAddr(c.addr());
        }
      }
      if (c.state() == CloudMachine.State.FAILED && !machine.isTerminating()) {
        runtime.note(machine.id + " failed, says the cloud");
        heartbeats.machineFailed(machine);
        machine.beginTermination();
      }
      boolean neverCameUp =
          machine.lastHeartbeatAt() == Job.UNKNOWN
              && machine.assigned.isEmpty()
              && c.state() == CloudMachine.State.STARTING
              && machine.machineType() != null
              && c.ageS() > tunables.bootPatience() * machine.machineType().bootS() + 10;
      if (neverCameUp && !machine.isTerminating()) {
        runtime.note(machine.id + " never came up");
        machine.beginTermination();
      }
    }
    long stale = (long) (1000 * (3 * settings.cloudLimits().listLagS() + 8));
    for (Machine machine : machines.present()) {
      boolean silent =
          machine.lastHeartbeatAt() == Job.UNKNOWN
              || now - machine.lastHeartbeatAt() > HeartbeatProcessor.leaseExpiryMs(settings);
      long known = Math.max(machine.listedAt(), machine.firstSeenAt());
      if (!machine.isTerminating() && silent && machine.assigned.isEmpty() && now - known > stale) {
        machines.remove(machine);
        freed(machine);
      }
    }
  }

  /** Marks a machine for deletion: when the cloud confirms, all that was on it has ended. */
  public void discard(Machine machine, String why) {
    if (!machine.isTerminating() && !machine.isTerminated()) {
      runtime.note(machine.id + " is deleted: " + why);
      machine.beginTermination();
      if (machine.isSpot() && machine.isSuspected() && machine.preemptionAt() == Long.MAX_VALUE) {
        spotLosses.recordPreemption();
      }
      assignments.markChanged();
    }
  }

  private void delete() {
    long now = runtime.now();
    if (deletesInFlight >= 2 || now < nextDeleteAt) {
      return;
    }
    List<Machine> batch = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.isTerminating() && now >= machine.terminateRetryAt() && batch.size() < 100) {
        batch.add(machine);
      }
    }
    if (batch.isEmpty() || !spend()) {
      return;
    }
    deletesInFlight++;
    // Machines that die one after another go together: else deletions alone would use up the
    // cloud's rate, and no replacement could be hired until the last had died.
    nextDeleteAt = now + (long) (1000 * DELETE_EVERY / settings.cloudLimits().rps());
    for (Machine machine : batch) {
      machine.setTerminateRetryAt(now + TIMEOUT_MS + 500);
      runtime
          .events()
          .info(LogEvent.TERMINATE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.ASSIGNED, machine.assigned.size())
          .write();
    }
    runtime.call(
        Effect.Target.CLOUD,
        null,
        "POST",
        "/machines/delete",
        CloudMachine.delete(batch.stream().map(machine -> machine.id).toList()),
        TIMEOUT_MS,
        (outcome, status, body) -> {
          deletesInFlight--;
          for (Machine machine : batch) {
            if (outcome == Outcome.ANSWERED && status == 200) {
              runtime.events().info(LogEvent.TERMINATED).with(LogField.MACHINE, machine.id).write();
              machines.remove(machine);
              machine.confirmTermination();
              freed(machine);
              heartbeats.machineDeleted(machine);
            } else {
              machine.setTerminateRetryAt(runtime.now() + 1000);
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
    for (Machine machine : machines.present()) {
      present[machine.zone()]++;
      notHired +=
          !machine.isSpot()
                  && !machine.isRentedByThisTerm()
                  && machine.lastHeartbeatAt() != Job.UNKNOWN
              ? 1
              : 0;
      if (counts(machine)) {
        hold(machine, 1);
        spotUp += machine.isSpot() && machine.lastHeartbeatAt() != Job.UNKNOWN ? 1 : 0;
      }
    }
    externallyManaged.seen(notHired);
    spotLosses.recordUptime(spotUp, (runtime.now() - countedAt) / 1000.0);
    countedAt = runtime.now();
  }

  private void hold(Machine machine, int sign) {
    held[machine.isSpot() ? 1 : 0] += sign * machine.machineType().cpus();
    heldInZone.merge(
        new Place(machine.zone(), machine.isSpot()),
        sign * machine.machineType().cpus(),
        Double::sum);
  }

  /** What machines of a kind hold, up or on their way. */
  private double supply(boolean spot) {
    double cpus = held[spot ? 1 : 0];
    for (Hire h : inFlight) {
      if (h.kind.spot == spot && machineTypes.get(h.kind.type) != null) {
        cpus += h.count * machineTypes.get(h.kind.type).cpus();
      }
    }
    return cpus;
  }

  private boolean counts(Machine machine) {
    return !machine.isTerminated()
        && !machine.isTerminating()
        && !machine.isQuarantined()
        && !machine.isScalingIn()
        && !machine.isSuspected()
        && machine.preemptionAt() == Long.MAX_VALUE
        && machine.machineType() != null
        && !(machine.lastHeartbeatAt() == Job.UNKNOWN && zoneOutages.dark(machine.zone()));
  }

  /** CPUs that the unfinished tasks need, memory counted by the leanest type's ratio. */
  private double need(boolean spot) {
    double ratio = 0;
    for (MachineType type : machineTypes.all()) {
      ratio = Math.max(ratio, type.memoryGb() / Math.max(1, type.cpus()));
    }
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      if (!job.isCancelled() && !job.awaitsDependencies() && job.spec.spot() == spot) {
        JobSpec spec = job.spec;
        double each = Math.max(spec.cpus(), ratio > 0 ? spec.memoryGb() / ratio : 0);
        // A job that fails wherever it runs has no use for more than what it has.
        cpus += each * (job.isSuspect() ? job.assigned() + 1 : job.taskCount() - job.done());
      }
    }
    return cpus;
  }

  private double largestReplica() {
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      cpus = job.spec.service() ? Math.max(cpus, job.spec.cpus()) : cpus;
    }
    return cpus;
  }

  private double target(boolean spot) {
    double plenty = scalingPolicy.plenty();
    if (plenty >= 1) {
      return Double.MAX_VALUE;
    }
    double need = need(spot);
    if (!spot) {
      double spare =
          need > 0 ? need * scalingPolicy.serviceHeadroom() + SPARE_REPLICAS * largestReplica() : 0;
      return need + spare + overflow(plenty);
    }
    return arrayTarget(need);
  }

  private double arrayTarget(double need) {
    // A burst's machines stay a little: the next array finds them up and with their images.
    long now = runtime.now();
    if (need >= peakArrayCpus || now - peakAt > 30_000) {
      peakArrayCpus = need;
      peakAt = now;
    }
    return Math.max(need, 0.6 * peakArrayCpus) * (1 + scalingPolicy.arrayHeadroom());
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
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && job.spec.spot() && !job.isSuspect()) {
        work += job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
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
        MachineType type = machineTypes.get(kind.type);
        Hire h =
            new Hire(
                "r-" + token + "-" + ++hires,
                kind,
                zoneOutages.dark(kind.zone) ? 1 : count(type, target - supply(spot)));
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
    for (MachineType type : machineTypes.all()) {
      for (String z : type.zones()) {
        if (runtime.now()
            >= refusedUntil.getOrDefault(new Kind(type.name(), machines.zone(z), spot), 0L)) {
          return false;
        }
      }
    }
    return true;
  }

  private Kind choose(boolean spot, double shortage) {
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : machineTypes.all()) {
      for (String z : type.zones()) {
        int zone = machines.zone(z);
        Kind k = new Kind(type.name(), zone, spot);
        boolean refused = runtime.now() < refusedUntil.getOrDefault(k, 0L);
        // One machine in a zone that is cut off will tell when it is back; more would be idle.
        boolean idle = zoneOutages.dark(zone) && (present[zone] > 0 || asked(zone));
        if (!machines.zoneKnown(zone) || refused || idle || asked(k)) {
          continue;
        }
        double price = spot ? type.spotPrice() : type.price();
        double used = Math.min(shortage, type.cpus());
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
    runtime
        .events()
        .info(LogEvent.SCALE_OUT)
        .with(LogField.REQUEST, h.name)
        .with(LogField.TYPE, h.kind.type)
        .with(LogField.ZONE, machines.zoneName(h.kind.zone))
        .with(LogField.SPOT, h.kind.spot)
        .with(LogField.COUNT, h.count)
        .with(LogField.TRY, h.tries)
        .write();
    runtime.call(
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
    long now = runtime.now();
    if (outcome == Outcome.ANSWERED && status == 200) {
      inFlight.remove(h);
      try {
        List<String> ids = CloudMachine.parseHired(body);
        for (String id : ids) {
          Machine machine = machines.getOrAdd(id);
          machine.markRentedByThisTerm();
          if (machine.type() == null) {
            machine.setType(h.kind.type);
            assignments.setZone(machine, h.kind.zone);
            machine.setSpot(h.kind.spot);
            machine.setMachineType(machineTypes.get(h.kind.type));
          }
          machine.setFirstSeenAt(machine.firstSeenAt() == 0 ? now : machine.firstSeenAt());
        }
        runtime.note(
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
        runtime.note("answer to a hire ignored: " + e.getMessage());
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
  private void freed(Machine machine) {
    if (machine.type() != null) {
      Kind k = new Kind(machine.type(), machine.zone(), machine.isSpot());
      refusals.remove(k);
      refusedUntil.computeIfPresent(k, (x, until) -> Math.min(until, runtime.now() + FREED_MS));
    }
  }

  private void refuse(Kind k, long now) {
    int n = refusals.merge(k, 1, Integer::sum);
    refusedUntil.put(k, now + Math.min(30_000, 6_000L * n));
  }

  /** Takes machines that were to be returned back into use while they are needed. */
  private void keep(boolean spot, double target) {
    for (Machine machine : machines.present()) {
      if (machine.isScalingIn()
          && !machine.isTerminating()
          && machine.isSpot() == spot
          && supply(spot) < target) {
        machine.cancelScaleIn();
        hold(machine, 1);
        assignments.markChanged();
      }
    }
  }

  /** Empties the least used machine that is not needed: arrays end soon, so it can be returned. */
  private void shrink(boolean spot, double target) {
    if (arraysWait()) {
      return; // what is paid for already may as well work
    }
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.isSpot() == spot
          && counts(machine)
          && machine.lastHeartbeatAt() != Job.UNKNOWN
          && runtime.now() - machine.firstSeenAt() > PAID_MS / 2
          && supply(spot) - machine.machineType().cpus() >= target) {
        candidates.add(machine);
      }
    }
    candidates.sort(Comparator.comparingDouble(machine -> machine.cpusUsed()));
    int most = 1 + candidates.size() / RETURNED_OF;
    int tried = 0;
    for (Machine machine : candidates) {
      if (supply(spot) - machine.machineType().cpus() < target) {
        continue;
      }
      if (spot || replicasCanMove(machine)) {
        machine.beginScaleIn();
        hold(machine, -1);
        most--;
      }
      if (most == 0 || ++tried == MOST_TRIED) {
        return;
      }
    }
  }

  private boolean arraysWait() {
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && !job.spec.service() && !job.isSuspect()) {
        return true;
      }
    }
    return false;
  }

  /** Whether each replica there could start at once on another machine, its image being there. */
  private boolean replicasCanMove(Machine machine) {
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      if (job.spec.service() && !scheduler.couldStartElsewhere(job, machine)) {
        return false;
      }
    }
    return true;
  }

  /** Moves one replica off a machine that is to be returned. */
  private void moveReplica() {
    if (runtime.now() < nextMoveAt) {
      return;
    }
    for (Machine machine : machines.present()) {
      if (!machine.isScalingIn() || machine.isTerminating()) {
        continue;
      }
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        Job job = assignments.job(ref);
        int task = TaskAssignments.task(ref);
        if (job.isMovable(task, runtime.now()) && scheduler.couldStartElsewhere(job, machine)) {
          runtime.note(job.spec.id() + "/" + task + " moves off " + machine.id);
          assignments.stop(job, task);
          nextMoveAt = runtime.now() + MOVE_EVERY_MS;
          return;
        }
      }
    }
  }

  private void giveBack() {
    long now = runtime.now();
    int present = 0;
    int sick = 0;
    for (Machine machine : machines.present()) {
      present++;
      sick += machine.isQuarantined() ? 1 : 0;
    }
    shrink(false, target(false));
    shrink(true, target(true));
    moveReplica();
    for (Machine machine : machines.present()) {
      if (machine.isTerminating()) {
        continue;
      }
      if (machine.isQuarantined() && (sick * 3 <= present || now >= nextSickAt)) {
        // Where most are sick, one after the other: what replaces them has to show that it is not.
        nextSickAt = now + SICK_EVERY_MS;
        discard(machine, "every task fails there");
      }
      boolean idle =
          machine.isScalingIn()
              && machine.assigned.isEmpty()
              && machine.unaccounted() == 0
              && now - machine.firstSeenAt() > PAID_MS - 5_000
              && now - machine.idleSince() > tunables.idleReturnS() * 1000;
      if (idle) {
        discard(machine, "not needed");
      }
    }
  }
}
