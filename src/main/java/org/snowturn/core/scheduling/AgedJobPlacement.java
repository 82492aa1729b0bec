package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/** Placement of long-waiting jobs ahead of others, with a machine reserved for one of them. */
final class AgedJobPlacement {
  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final JobPlacement placement;
  private final Aging aging;
  private final EvaluationCounter evaluations;
  private boolean isPlacing;

  /** Creates a placement for the jobs that {@code aging} selects. */
  AgedJobPlacement(
      CoreRuntime runtime,
      TaskAssignments assignments,
      PlacementConstraints constraints,
      JobPlacement placement,
      Aging aging,
      EvaluationCounter evaluations) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.constraints = constraints;
    this.placement = placement;
    this.aging = aging;
    this.evaluations = evaluations;
  }

  /** Returns whether the task that is being placed has priority because of its job's long wait. */
  boolean isPlacing() {
    return isPlacing;
  }

  /**
   * Places a batch of tasks of each long-waiting job, longest wait first, until these jobs have got
   * their share of the placements. Jobs that got a placement are marked as served by a minimum
   * share, so that only production jobs and guarantees preempt their tasks.
   */
  void place(List<Job> waiting, List<Machine> usableMachines) {
    long now = runtime.now();
    List<Job> longWaiting = aging.beginRound(waiting, (double) runtime.wallMs());
    aging.releaseStaleReservation(usableMachines, now);
    for (Job job : longWaiting) {
      if (!aging.isBelowShare(now)) {
        return;
      }
      int pendingBefore = job.pending();
      isPlacing = true;
      boolean hadCapacity = placement.place(job, usableMachines, Aging.batchSize(job));
      isPlacing = false;
      job.scheduling.setPreemptionProtection(
          job.scheduling.hasPreemptionProtection() || job.pending() < pendingBefore);
      if (!hadCapacity && job.pending() == pendingBefore && aging.canReserve(now)) {
        aging.reserve(job, machineToReserve(job, usableMachines), now);
      }
    }
  }

  /**
   * Returns the machine with the most free CPUs among those that will have room for a task of the
   * job once all tasks other than service replicas have ended, or null.
   */
  private Machine machineToReserve(Job job, List<Machine> usableMachines) {
    Machine best = null;
    for (Machine machine : usableMachines) {
      evaluations.increment();
      boolean hasMoreFreeCpus = best == null || machine.cpusFree() > best.cpusFree();
      if (hasMoreFreeCpus
          && constraints.isAllowed(job, machine)
          && fitsBesideReplicas(job.spec, machine)) {
        best = machine;
      }
    }
    return best;
  }

  /**
   * Returns whether a task fits on the machine beside its service replicas, which run until their
   * job is cancelled.
   */
  private boolean fitsBesideReplicas(JobSpec spec, Machine machine) {
    double availableCpus = machine.machineType().cpus();
    double availableMemoryGb = machine.machineType().memoryGb();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      JobSpec assigned = assignments.job(ref).spec;
      availableCpus -= assigned.isService() ? assigned.cpus() : 0;
      availableMemoryGb -= assigned.isService() ? assigned.memoryGb() : 0;
    }
    return spec.cpus() <= availableCpus && spec.memoryGb() <= availableMemoryGb;
  }
}
