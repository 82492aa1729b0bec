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
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Priority;

/**
 * Makes room for waiting tasks by preempting others: of lower priority, or beyond the guarantee of
 * another team, or a settled replica that can start elsewhere at once.
 */
final class Preemptor {
  /** A preempted task ends within this time, or is not waited for. */
  private static final long PREEMPTION_MS = 300;

  /** How long a new service waits for room beside its image rather than fetch it elsewhere. */
  private static final long IMAGE_PATIENCE_MS = 1_500;

  /** How long room that is being made is waited for before more is made. */
  private static final long ROOM_WAIT_MS = 1_500;

  private static final double VICTIM_PENALTY_S = 10.0;
  private static final double RESOURCE_TOLERANCE = 1e-6;

  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final EvaluationCounter evaluations;
  private final BooleanSupplier preemptionAllowed;

  /** For what no room could be made in the present round. */
  private final List<FailedRequest> failedRequests = new ArrayList<>();

  private record FailedRequest(JobSpec spec, Priority priority, boolean withinGuarantee) {}

  /** In the present round, the machines with work of lower priority; found when needed. */
  private final Map<Priority, List<Machine>> preemptible = new EnumMap<>(Priority.class);

  /** The machines of the present round. */
  private List<Machine> usableInRound = List.of();

  Preemptor(
      CoreRuntime runtime,
      TaskAssignments assignments,
      PlacementConstraints constraints,
      PlacementScore score,
      EvaluationCounter evaluations,
      BooleanSupplier preemptionAllowed) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.constraints = constraints;
    this.score = score;
    this.evaluations = evaluations;
    this.preemptionAllowed = preemptionAllowed;
  }

  /** Starts a scheduling round with these machines. */
  void beginRound(List<Machine> usable) {
    usableInRound = usable;
    failedRequests.clear();
    preemptible.clear();
  }

  /** Makes room, or waits for room being made, on a machine that has a new service's image. */
  boolean makeRoomWithImage(Job job, List<Machine> usable) {
    if (runtime.wallMs() - job.releasedWall() > IMAGE_PATIENCE_MS
        || !preemptionAllowed.getAsBoolean()) {
      return false;
    }
    if (runtime.now() < job.preemptingUntil()) {
      // Where more replicas wait than room was made for, the others would wait for nothing.
      return runtime.now() < job.preemptingUntil() - ROOM_WAIT_MS + PREEMPTION_MS;
    }
    List<Machine> withImage = new ArrayList<>();
    for (Machine machine : usable) {
      if (machine.images.containsKey(job.spec.image()) && constraints.isAllowed(job, machine)) {
        withImage.add(machine);
      }
    }
    return makeRoom(job, withImage) || relocateReplica(job, withImage);
  }

  /** Stops a settled replica that can start elsewhere at once, to make room beside an image. */
  private boolean relocateReplica(Job job, List<Machine> withImage) {
    for (Machine machine : withImage) {
      if (runtime.now() >= machine.preemptingUntil() && relocateReplicaFrom(machine, job)) {
        return true;
      }
    }
    return false;
  }

  private boolean relocateReplicaFrom(Machine machine, Job job) {
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job victim = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      boolean movable =
          victim != job
              && victim.isMovable(task, runtime.now())
              && victim.spec.cpus() >= job.spec.cpus()
              && victim.spec.gpus() >= job.spec.gpus()
              && victim.spec.memoryGb() >= job.spec.memoryGb();
      if (movable && constraints.canStartElsewhere(victim, machine)) {
        log(LogEvent.TASK_EVICTED, victim, task, machine, job);
        recordPreempting(job, machine);
        victim.failures.exclude(task, machine.index);
        assignments.stop(victim, task);
        return true;
      }
    }
    return false;
  }

  private void log(LogEvent event, Job victim, int task, Machine machine, Job forJob) {
    runtime
        .events()
        .info(event)
        .with(LogField.JOB, victim.spec.id())
        .with(LogField.TASK, task)
        .with(LogField.MACHINE, machine.id)
        .with(LogField.FOR_JOB, forJob.spec.id())
        .write();
  }

  private void recordPreempting(Job job, Machine machine) {
    machine.setPreemptingUntil(runtime.now() + ROOM_WAIT_MS);
    job.setPreemptingUntil(machine.preemptingUntil());
  }

  /**
   * Preempts tasks of lower priority where that lets tasks of this job start: on one machine for
   * each waiting task, all at once, since one after the other a large service would wait for
   * minutes. Tells whether room is being made.
   */
  boolean makeRoom(Job job, List<Machine> usable) {
    long now = runtime.now();
    if (now < job.preemptingUntil()) {
      return true; // see first what it brings
    }
    if (!mayPreemptFor(job)) {
      return false;
    }
    List<Option> options = options(job, usable);
    if (options.isEmpty() && PlacementConstraints.isUnconstrained(job.spec)) {
      failedRequests.add(new FailedRequest(job.spec, job.priority(), job.isWithinGuarantee()));
    }
    options.sort(Comparator.comparingDouble(Option::score));
    int[] assignedInZone = job.copyOfAssignedInZone();
    int wanted = job.pending();
    for (Option option : options) {
      if (wanted == 0) {
        break;
      }
      int zone = option.machine.zone();
      if (!job.spec.spreadAcrossZones() || assignedInZone[zone] < job.spec.maxTasksPerZone()) {
        assignedInZone[zone]++;
        wanted--;
        preempt(job, option);
      }
    }
    return now < job.preemptingUntil();
  }

  private boolean mayPreemptFor(Job job) {
    return preemptionAllowed.getAsBoolean()
        && (job.isWithinGuarantee() || assignments.assignedBelow(job.priority()) > 0)
        && assignments.quota().allows(job.spec)
        && !isKnownToFail(job);
  }

  private List<Option> options(Job job, List<Machine> usable) {
    List<Option> options = new ArrayList<>();
    List<Machine> machines =
        job.isWithinGuarantee() ? usable : withLowerPriority(job.priority(), usable);
    for (Machine machine : machines) {
      evaluations.increment();
      if (runtime.now() >= machine.preemptingUntil() && constraints.isAllowed(job, machine)) {
        List<Long> victims = victims(job, machine);
        if (victims != null) {
          double optionScore = score.score(job, machine) + VICTIM_PENALTY_S * victims.size();
          options.add(new Option(machine, victims, optionScore));
        }
      }
    }
    return options;
  }

  private void preempt(Job job, Option option) {
    recordPreempting(job, option.machine);
    for (long ref : option.victims) {
      Job victim = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      log(LogEvent.TASK_PREEMPTED, victim, task, option.machine, job);
      assignments.stop(victim, task);
    }
  }

  /**
   * Whether for a job that asks for no more, at no lower priority, no room could be made in this
   * round. Else, under overload, hundreds of waiting jobs would each search all machines in vain,
   * for longer than the leader's lease lasts.
   */
  private boolean isKnownToFail(Job job) {
    for (FailedRequest failed : failedRequests) {
      // Whose work may be preempted for a guarantee depends on the team.
      boolean sameVictims =
          job.isWithinGuarantee() == failed.withinGuarantee
              && (!job.isWithinGuarantee() || job.spec.team().equals(failed.spec.team()));
      boolean noHigher = job.priority().compareTo(failed.priority) >= 0;
      if (sameVictims && noHigher && PlacementConstraints.isNoSmaller(job.spec, failed.spec)) {
        return true;
      }
    }
    return false;
  }

  private List<Machine> withLowerPriority(Priority priority, List<Machine> usable) {
    boolean wholeRound = usable == usableInRound; // only then is the result kept for others
    List<Machine> found = wholeRound ? preemptible.get(priority) : null;
    if (found == null) {
      found = new ArrayList<>();
      for (Machine machine : usable) {
        if (machine.assignedBelow(priority) > 0) {
          found.add(machine);
        }
      }
      if (wholeRound) {
        preemptible.put(priority, found);
      }
    }
    return found;
  }

  /** What would have to be preempted on a machine for one task to start there. */
  private record Option(Machine machine, List<Long> victims, double score) {}

  /**
   * Whether work may be preempted for a job: of lower priority, or, for a job within its team's
   * guarantee, whatever another team has beyond its own. Work within a guarantee is never preempted
   * for another team, nor what a minimum share has let go before others, but for production and
   * guarantees.
   */
  private static boolean isPreemptible(Job victim, Job job) {
    boolean sameTeam = victim.spec.team().equals(job.spec.team());
    if (victim.isWithinGuarantee() && !sameTeam) {
      return false;
    }
    if (job.isWithinGuarantee() && !sameTeam) {
      return true;
    }
    boolean isProtected = victim.isByMinimumShare() && job.priority() != Priority.PRODUCTION;
    return victim.priority().compareTo(job.priority()) > 0 && !isProtected;
  }

  /** The tasks whose end would make room, least loss first; null if there are not enough. */
  private List<Long> victims(Job job, Machine machine) {
    double cpus = job.spec.cpus() - machine.cpusFree();
    double memoryGb =
        job.spec.memoryGb() - (machine.machineType().memoryGb() - machine.memoryUsed());
    double gpus = job.spec.gpus() - (machine.machineType().gpus() - machine.gpusUsed());
    List<Long> victims = new ArrayList<>();
    for (long ref : preemptibleTasks(job, machine)) {
      if (isEnough(cpus, memoryGb, gpus)) {
        break;
      }
      JobSpec victim = assignments.job(ref).spec;
      cpus -= victim.cpus();
      memoryGb -= victim.memoryGb();
      gpus -= victim.gpus();
      victims.add(ref);
    }
    return isEnough(cpus, memoryGb, gpus) ? victims : null;
  }

  private static boolean isEnough(double missingCpus, double missingMemoryGb, double missingGpus) {
    return missingCpus <= RESOURCE_TOLERANCE
        && missingMemoryGb <= RESOURCE_TOLERANCE
        && missingGpus <= RESOURCE_TOLERANCE;
  }

  /** Of the lowest priority first, among these the latest started. */
  private List<Long> preemptibleTasks(Job job, Machine machine) {
    List<Long> tasks = new ArrayList<>();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      if (isPreemptible(assignments.job(ref), job)) {
        tasks.add(ref);
      }
    }
    tasks.sort(
        Comparator.<Long, Priority>comparing(
                ref -> assignments.job(ref).priority(), Comparator.reverseOrder())
            .thenComparingLong(ref -> -assignments.job(ref).stateSince(TaskAssignments.task(ref))));
    return tasks;
  }
}
