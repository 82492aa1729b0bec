package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Priority;

/**
 * Makes room for waiting tasks by stopping others: of lower priority, or beyond the guarantee of
 * another team, or a settled replica that can start elsewhere at once.
 */
final class Preemptor {
  /**
   * Tasks that are stopped to make room beside an image end within this time, or are not waited
   * for.
   */
  private static final long STOPPED_MS = 300;

  /** How long a new service waits for room beside its image rather than fetch it elsewhere. */
  private static final long IMAGE_PATIENCE_MS = 1_500;

  /** How long room that is being made is waited for before more is made. */
  private static final long ROOM_MS = 1_500;

  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final TaskScheduler scheduler;
  private final BooleanSupplier mayStop;

  /** For what no room could be made in the present plan, and at which priority. */
  private final List<NoRoom> noRoom = new ArrayList<>();

  private record NoRoom(JobSpec spec, Priority priority, boolean within) {}

  /** In the present plan, the machines with work that a priority may stop; found when needed. */
  private final Map<Priority, List<Machine>> stoppable = new EnumMap<>(Priority.class);

  /** The machines of the present plan. */
  private List<Machine> planned = List.of();

  Preemptor(
      CoreRuntime runtime,
      TaskAssignments assignments,
      TaskScheduler scheduler,
      BooleanSupplier mayStop) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.scheduler = scheduler;
    this.mayStop = mayStop;
  }

  /** A plan begins, with these machines. */
  void begin(List<Machine> usable) {
    planned = usable;
    noRoom.clear();
    stoppable.clear();
  }

  /** Makes room, or waits for room being made, on a machine that has a new service's image. */
  boolean roomWithImage(Job job, List<Machine> usable) {
    if (runtime.wallMs() - job.releasedWall() > IMAGE_PATIENCE_MS || !mayStop.getAsBoolean()) {
      return false;
    }
    if (runtime.now() < job.preemptingUntil()) {
      // Where more replicas wait than room was made for, the others would wait for nothing.
      return runtime.now() < job.preemptingUntil() - ROOM_MS + STOPPED_MS;
    }
    List<Machine> having = new ArrayList<>();
    for (Machine machine : usable) {
      if (machine.images.containsKey(job.spec.image()) && scheduler.allowed(job, machine)) {
        having.add(machine);
      }
    }
    return makeRoom(job, having) || swap(job, having);
  }

  /** Moves a settled replica that can start elsewhere at once, to make room beside an image. */
  private boolean swap(Job job, List<Machine> having) {
    for (Machine machine : having) {
      if (runtime.now() < machine.preemptingUntil()) {
        continue;
      }
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        Job victim = assignments.job(ref);
        int task = TaskAssignments.task(ref);
        boolean movable =
            victim != job
                && victim.isMovable(task, runtime.now())
                && victim.spec.cpus() >= job.spec.cpus()
                && victim.spec.gpus() >= job.spec.gpus()
                && victim.spec.memoryGb() >= job.spec.memoryGb();
        if (movable && scheduler.couldStartElsewhere(victim, machine)) {
          runtime.note(
              victim.spec.id()
                  + "/"
                  + task
                  + " moves off "
                  + machine.id
                  + ", image of "
                  + job.spec.id()
                  + " there");
          machine.setPreemptingUntil(runtime.now() + ROOM_MS);
          job.setPreemptingUntil(machine.preemptingUntil());
          victim.failures.exclude(task, machine.index);
          assignments.stop(victim, task);
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Stops tasks of lower priority where that lets tasks of this job start: on one machine for each
   * waiting task, all at once, since one after the other a large service would wait for minutes.
   */
  boolean makeRoom(Job job, List<Machine> usable) {
    long now = runtime.now();
    if (now < job.preemptingUntil()) {
      return true; // room is being made already; see what it brings first
    }
    if (!mayStop.getAsBoolean()
        || (!job.isWithinGuarantee() && assignments.assignedBelow(job.priority()) == 0)
        || !assignments.quota().allows(job.spec)
        || knownNoRoom(job)) {
      return false;
    }
    List<Room> rooms = new ArrayList<>();
    for (Machine machine :
        (job.isWithinGuarantee() ? usable : withStoppable(job.priority(), usable))) {
      scheduler.looked();
      if (now >= machine.preemptingUntil() && scheduler.allowed(job, machine)) {
        List<Long> victims = victims(job, machine);
        if (victims != null) {
          rooms.add(
              new Room(machine, victims, scheduler.score(job, machine) + 10.0 * victims.size()));
        }
      }
    }
    if (rooms.isEmpty() && TaskScheduler.unconstrained(job.spec)) {
      noRoom.add(new NoRoom(job.spec, job.priority(), job.isWithinGuarantee()));
    }
    rooms.sort(Comparator.comparingDouble(Room::score));
    int[] inZone = job.copyOfAssignedInZone();
    int wanted = job.pending();
    for (Room r : rooms) {
      if (wanted == 0) {
        break;
      }
      if (job.spec.spread() && inZone[r.machine.zone()] >= job.spec.perZoneLimit()) {
        continue;
      }
      inZone[r.machine.zone()]++;
      wanted--;
      r.machine.setPreemptingUntil(now + ROOM_MS);
      job.setPreemptingUntil(r.machine.preemptingUntil());
      for (long ref : r.victims) {
        Job victim = assignments.job(ref);
        int task = TaskAssignments.task(ref);
        runtime.note(
            victim.spec.id()
                + "/"
                + task
                + " stopped on "
                + r.machine.id
                + " for "
                + job.spec.id());
        assignments.stop(victim, task);
      }
    }
    return now < job.preemptingUntil();
  }

  /**
   * Whether for a job that asks for no more, at no lower priority, no room could be made in this
   * plan. In a flood hundreds of jobs wait beside a few that may be stopped: looked for by each of
   * them on each machine, those few cost a leader seconds, and its lease.
   */
  private boolean knownNoRoom(Job job) {
    for (NoRoom n : noRoom) {
      // Whose work may be stopped for a guarantee depends on the team.
      boolean same =
          job.isWithinGuarantee() == n.within
              && (!job.isWithinGuarantee() || job.spec.team().equals(n.spec.team()));
      boolean noHigher = job.priority().compareTo(n.priority) >= 0;
      if (same && noHigher && TaskScheduler.asksNoLess(job.spec, n.spec)) {
        return true;
      }
    }
    return false;
  }

  private List<Machine> withStoppable(Priority priority, List<Machine> usable) {
    // What only some machines are asked for is not what the plan has found.
    boolean all = usable == planned;
    List<Machine> known = all ? stoppable.get(priority) : null;
    if (known == null) {
      known = new ArrayList<>();
      for (Machine machine : usable) {
        if (machine.assignedBelow(priority) > 0) {
          known.add(machine);
        }
      }
      if (all) {
        stoppable.put(priority, known);
      }
    }
    return known;
  }

  /** What would have to stop on a machine for one task to start there. */
  private record Room(Machine machine, List<Long> victims, double score) {}

  /**
   * Whether work may be stopped for a job: of lower priority, or, for a job within its team's
   * guarantee, whatever another team has beyond its own. Work within a guarantee is never stopped
   * for another team, nor what a floor has let go before others, but for production and guarantees.
   */
  private static boolean mayBeStopped(Job victim, Job job) {
    boolean sameTeam = victim.spec.team().equals(job.spec.team());
    if (victim.isWithinGuarantee() && !sameTeam) {
      return false;
    }
    if (job.isWithinGuarantee() && !sameTeam) {
      return true;
    }
    boolean keeps = victim.isByMinimumShare() && job.priority() != Priority.PRODUCTION;
    return victim.priority().compareTo(job.priority()) > 0 && !keeps;
  }

  /** The tasks whose end would make room, least loss first; null if there are not enough. */
  private List<Long> victims(Job job, Machine machine) {
    double cpus = job.spec.cpus() - machine.cpusFree();
    double memory = job.spec.memoryGb() - (machine.machineType().memoryGb() - machine.memoryUsed());
    double gpus = job.spec.gpus() - (machine.machineType().gpus() - machine.gpusUsed());
    List<Long> candidates = new ArrayList<>();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job victim = assignments.job(ref);
      if (mayBeStopped(victim, job)) {
        candidates.add(ref);
      }
    }
    candidates.sort(
        Comparator.<Long>comparingInt(r -> -assignments.job(r).priority().ordinal())
            .thenComparingLong(r -> -assignments.job(r).stateSince(TaskAssignments.task(r))));
    List<Long> out = new ArrayList<>();
    for (long ref : candidates) {
      if (cpus <= 1e-6 && memory <= 1e-6 && gpus <= 1e-6) {
        break;
      }
      Job victim = assignments.job(ref);
      cpus -= victim.spec.cpus();
      memory -= victim.spec.memoryGb();
      gpus -= victim.spec.gpus();
      out.add(ref);
    }
    return cpus <= 1e-6 && memory <= 1e-6 && gpus <= 1e-6 ? out : null;
  }
}
