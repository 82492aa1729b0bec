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
 * Preemption of tasks to make room for waiting ones. Tasks of lower priority and tasks beyond
 * another team's guarantee are preempted. A replica that has run for some time is relocated if it
 * can start on another machine at once.
 */
final class Preemptor {
  /** Maximum time that a replica waits for a preempted task to end before it goes elsewhere. */
  private static final long MAX_STOP_WAIT_MS = 300;

  /**
   * Maximum time after a service's release during which it waits for room on a machine with its
   * image instead of fetching the image elsewhere.
   */
  private static final long MAX_IMAGE_WAIT_MS = 1_500;

  /**
   * Time to wait for preempted tasks to end before more are preempted for the same job or on the
   * same machine.
   */
  private static final long PREEMPTION_INTERVAL_MS = 1_500;

  /** Penalty for each preempted task in the choice of a machine. */
  private static final double VICTIM_PENALTY_S = 10.0;

  /** Rounding tolerance for amounts of CPUs, GPUs and memory in GB. */
  private static final double RESOURCE_TOLERANCE = 1e-6;

  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final EvaluationCounter evaluations;
  private final BooleanSupplier isPreemptionAllowed;

  /** Unconstrained jobs for which no room could be made in the current round. */
  private final List<FailedRequest> failedRequests = new ArrayList<>();

  /** What a job asked for when no room could be made for it. */
  private record FailedRequest(JobSpec spec, Priority priority, boolean isWithinGuarantee) {}

  /** Machines with tasks below a priority, computed in the current round on first use. */
  private final Map<Priority, List<Machine>> preemptibleMachines = new EnumMap<>(Priority.class);

  /** All usable machines of the current round. */
  private List<Machine> machinesOfRound = List.of();

  /**
   * Creates a preemptor.
   *
   * @param isPreemptionAllowed whether tasks may be preempted now
   */
  Preemptor(
      CoreRuntime runtime,
      TaskAssignments assignments,
      PlacementConstraints constraints,
      PlacementScore score,
      EvaluationCounter evaluations,
      BooleanSupplier isPreemptionAllowed) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.constraints = constraints;
    this.score = score;
    this.evaluations = evaluations;
    this.isPreemptionAllowed = isPreemptionAllowed;
  }

  /** Starts a scheduling round on these machines and discards the results of the last one. */
  void beginRound(List<Machine> usableMachines) {
    machinesOfRound = usableMachines;
    failedRequests.clear();
    preemptibleMachines.clear();
  }

  /**
   * Makes room for a new service on machines that have its image.
   *
   * @return whether room is being made, so that the service waits instead of fetching the image
   */
  boolean makeRoomWithImage(Job job, List<Machine> usableMachines) {
    if (runtime.wallMs() - job.releasedWallMs() > MAX_IMAGE_WAIT_MS
        || !isPreemptionAllowed.getAsBoolean()) {
      return false;
    }
    if (runtime.now() < job.scheduling.preemptingUntil()) {
      // Room may have been made for only some waiting replicas; the others must not wait for it.
      return runtime.now()
          < job.scheduling.preemptingUntil() - PREEMPTION_INTERVAL_MS + MAX_STOP_WAIT_MS;
    }
    List<Machine> withImage = new ArrayList<>();
    for (Machine machine : usableMachines) {
      if (machine.images.containsKey(job.spec.image())
          && machine.heartbeatUsage.hasRoomFor(job.spec)
          && constraints.isAllowed(job, machine)) {
        withImage.add(machine);
      }
    }
    return makeRoom(job, withImage) || relocateReplica(job, withImage);
  }

  /**
   * Stops a replica of another job that can start elsewhere at once, to make room on a machine that
   * has the image.
   *
   * @return whether a replica was stopped
   */
  private boolean relocateReplica(Job job, List<Machine> withImage) {
    for (Machine machine : withImage) {
      if (runtime.now() >= machine.preemptingUntil() && relocateReplicaFrom(machine, job)) {
        return true;
      }
    }
    return false;
  }

  /** Stops one replica on the machine that frees enough for the job; returns false if none can. */
  private boolean relocateReplicaFrom(Machine machine, Job job) {
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job victim = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      boolean isMovable =
          victim != job
              && victim.isMovable(task, runtime.now())
              && victim.spec.cpus() >= job.spec.cpus()
              && victim.spec.gpus() >= job.spec.gpus()
              && victim.spec.memoryGb() >= job.spec.memoryGb();
      if (isMovable && constraints.canStartElsewhere(victim, machine)) {
        log(LogEvent.TASK_EVICTED, victim, task, machine, job);
        recordPreemption(job, machine);
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

  /** Defers further preemption for the job and on the machine until the tasks can have ended. */
  private void recordPreemption(Job job, Machine machine) {
    machine.setPreemptingUntil(runtime.now() + PREEMPTION_INTERVAL_MS);
    job.scheduling.setPreemptingUntil(machine.preemptingUntil());
  }

  /**
   * Preempts tasks so that waiting tasks of the job can start. One machine is chosen for each
   * waiting task, and all are preempted in the same call: one preemption after the other would make
   * a large service wait for minutes.
   *
   * @return whether room is being made
   */
  boolean makeRoom(Job job, List<Machine> usableMachines) {
    long now = runtime.now();
    if (now < job.scheduling.preemptingUntil()) {
      return true; // wait for the tasks that are already being preempted
    }
    if (!canPreemptFor(job)) {
      return false;
    }
    List<PreemptionOption> options = options(job, usableMachines);
    if (options.isEmpty() && PlacementConstraints.isUnconstrained(job.spec)) {
      failedRequests.add(
          new FailedRequest(job.spec, job.priority(), job.scheduling.isWithinGuarantee()));
    }
    options.sort(Comparator.comparingDouble(PreemptionOption::score));
    int[] assignedInZone = job.copyOfAssignedInZone();
    int wanted = job.pending();
    for (PreemptionOption option : options) {
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
    return now < job.scheduling.preemptingUntil();
  }

  /** Returns whether it is allowed and worthwhile to search for tasks to preempt for the job. */
  private boolean canPreemptFor(Job job) {
    return isPreemptionAllowed.getAsBoolean()
        && (job.scheduling.isWithinGuarantee() || assignments.assignedBelow(job.priority()) > 0)
        && assignments.quota().allows(job.spec)
        && !isKnownToFail(job);
  }

  /** Returns the machines on which preemption would let a task of the job start. */
  private List<PreemptionOption> options(Job job, List<Machine> usableMachines) {
    List<PreemptionOption> options = new ArrayList<>();
    List<Machine> machines =
        job.scheduling.isWithinGuarantee()
            ? usableMachines
            : machinesWithLowerPriority(job.priority(), usableMachines);
    for (Machine machine : machines) {
      evaluations.increment();
      // A preempted task stays in the machine's heartbeat for a while, so its entry is not freed.
      if (runtime.now() >= machine.preemptingUntil()
          && machine.heartbeatUsage.hasRoomFor(job.spec)
          && constraints.isAllowed(job, machine)) {
        List<Long> victims = victims(job, machine);
        if (victims != null) {
          double optionScore = score.score(job, machine) + VICTIM_PENALTY_S * victims.size();
          options.add(new PreemptionOption(machine, victims, optionScore));
        }
      }
    }
    return options;
  }

  /** Stops the tasks of the option. */
  private void preempt(Job job, PreemptionOption option) {
    recordPreemption(job, option.machine);
    for (long ref : option.victims) {
      Job victim = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      log(LogEvent.TASK_PREEMPTED, victim, task, option.machine, job);
      assignments.stop(victim, task);
    }
  }

  /**
   * Returns whether no room could be made in this round for a job of the same or a higher priority
   * that needs the same or less of each resource. Without this check, hundreds of waiting jobs
   * under overload would each search all machines in vain, for longer than the leader's lease
   * lasts.
   */
  private boolean isKnownToFail(Job job) {
    for (FailedRequest failed : failedRequests) {
      // For a guarantee, the tasks that may be preempted depend on the team.
      boolean hasSameVictims =
          job.scheduling.isWithinGuarantee() == failed.isWithinGuarantee
              && (!job.scheduling.isWithinGuarantee()
                  || job.spec.team().equals(failed.spec.team()));
      boolean hasNoHigherPriority = job.priority().compareTo(failed.priority) >= 0;
      if (hasSameVictims
          && hasNoHigherPriority
          && PlacementConstraints.isAtLeastAsDemanding(job.spec, failed.spec)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the machines with tasks of a lower priority than this. */
  private List<Machine> machinesWithLowerPriority(Priority priority, List<Machine> usableMachines) {
    // The result is only reused if it covers all machines of the round.
    boolean coversRound = usableMachines == machinesOfRound;
    List<Machine> found = coversRound ? preemptibleMachines.get(priority) : null;
    if (found == null) {
      found = new ArrayList<>();
      for (Machine machine : usableMachines) {
        if (machine.assignedBelow(priority) > 0) {
          found.add(machine);
        }
      }
      if (coversRound) {
        preemptibleMachines.put(priority, found);
      }
    }
    return found;
  }

  /** The tasks to preempt on a machine so that one task can start there, and the score. */
  private record PreemptionOption(Machine machine, List<Long> victims, double score) {}

  /**
   * Returns whether tasks of {@code victim} may be preempted for {@code job}. A job preempts tasks
   * of lower priority. A job within its team's guarantee also preempts tasks of other teams that
   * are beyond those teams' guarantees. Tasks within a guarantee are never preempted for another
   * team. Tasks placed by a minimum share are preempted only for production jobs and guarantees.
   */
  private static boolean isPreemptible(Job victim, Job job) {
    boolean isSameTeam = victim.spec.team().equals(job.spec.team());
    if (victim.scheduling.isWithinGuarantee() && !isSameTeam) {
      return false;
    }
    if (job.scheduling.isWithinGuarantee() && !isSameTeam) {
      return true;
    }
    boolean isProtected =
        victim.scheduling.hasPreemptionProtection() && job.priority() != Priority.PRODUCTION;
    return victim.priority().compareTo(job.priority()) > 0 && !isProtected;
  }

  /** Returns the tasks to preempt to fit one task of the job, or null if too few may be. */
  private List<Long> victims(Job job, Machine machine) {
    double missingCpus = job.spec.cpus() - machine.cpusFree();
    double missingMemoryGb =
        job.spec.memoryGb() - (machine.machineType().memoryGb() - machine.memoryUsedGb());
    double missingGpus = job.spec.gpus() - (machine.machineType().gpus() - machine.gpusUsed());
    List<Long> victims = new ArrayList<>();
    for (long ref : preemptibleTasks(job, machine)) {
      if (isEnoughFreed(missingCpus, missingMemoryGb, missingGpus)) {
        break;
      }
      JobSpec victim = assignments.job(ref).spec;
      missingCpus -= victim.cpus();
      missingMemoryGb -= victim.memoryGb();
      missingGpus -= victim.gpus();
      victims.add(ref);
    }
    return isEnoughFreed(missingCpus, missingMemoryGb, missingGpus) ? victims : null;
  }

  /** Returns whether no resource is missing any more. */
  private static boolean isEnoughFreed(
      double missingCpus, double missingMemoryGb, double missingGpus) {
    return missingCpus <= RESOURCE_TOLERANCE
        && missingMemoryGb <= RESOURCE_TOLERANCE
        && missingGpus <= RESOURCE_TOLERANCE;
  }

  /**
   * Returns the machine's tasks that may be preempted for the job, lowest priority first. Among
   * equals the most recently started comes first, since it loses the least work.
   */
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
            .thenComparingLong(
                ref -> -assignments.job(ref).runningSince(TaskAssignments.task(ref))));
    return tasks;
  }
}
