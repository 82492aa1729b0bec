package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/** Places some tasks of jobs that have waited for long, and reserves a machine for one of them. */
final class LongWaitPlacement {
  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final PlacementConstraints constraints;
  private final JobPlacement placement;
  private final Aging aging;
  private final EvaluationCounter evaluations;
  private boolean placing;

  LongWaitPlacement(
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

  /** Whether what is placed now goes first since it has waited for long. */
  boolean isPlacing() {
    return placing;
  }

  /** Places tasks of the jobs that have waited longest, up to their share of the placements. */
  void place(List<Job> waiting, List<Machine> usable) {
    long now = runtime.now();
    List<Job> longWaiting = aging.beginRound(waiting, (double) runtime.wallMs());
    aging.reviewReservation(usable, now);
    for (Job job : longWaiting) {
      if (!aging.isBelowShare(now)) {
        return;
      }
      int pendingBefore = job.pending();
      placing = true;
      boolean hadRoom = placement.place(job, usable, Aging.batchSize(job));
      placing = false;
      job.setByMinimumShare(job.isByMinimumShare() || job.pending() < pendingBefore);
      if (!hadRoom && job.pending() == pendingBefore && aging.mayReserve(now)) {
        aging.reserve(job, machineToReserve(job, usable), now);
      }
    }
  }

  /** Of the machines that will have room for a task once their arrays end, the emptiest. */
  private Machine machineToReserve(Job job, List<Machine> usable) {
    Machine best = null;
    for (Machine machine : usable) {
      evaluations.increment();
      boolean better = best == null || machine.cpusFree() > best.cpusFree();
      if (better && constraints.isAllowed(job, machine) && fitsBesideReplicas(job.spec, machine)) {
        best = machine;
      }
    }
    return best;
  }

  /** Replicas stay for as long as their users want them. */
  private boolean fitsBesideReplicas(JobSpec spec, Machine machine) {
    double cpus = machine.machineType().cpus();
    double memoryGb = machine.machineType().memoryGb();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      JobSpec assigned = assignments.job(ref).spec;
      cpus -= assigned.isService() ? assigned.cpus() : 0;
      memoryGb -= assigned.isService() ? assigned.memoryGb() : 0;
    }
    return spec.cpus() <= cpus && spec.memoryGb() <= memoryGb;
  }
}
