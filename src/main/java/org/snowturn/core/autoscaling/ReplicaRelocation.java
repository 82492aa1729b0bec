package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.scheduling.TaskScheduler;

/** Moves replicas of services off machines that are to be returned, one at a time. */
final class ReplicaRelocation {
  private static final long INTERVAL_MS = 1_500;

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final TaskScheduler scheduler;
  private long nextAt;

  ReplicaRelocation(ClusterContext cluster, TaskScheduler scheduler) {
    this.runtime = cluster.runtime();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.scheduler = scheduler;
  }

  /** Whether each replica there could start at once on another machine that has its image. */
  boolean isPossibleForAll(Machine machine) {
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      if (job.spec.isService() && !scheduler.canStartElsewhere(job, machine)) {
        return false;
      }
    }
    return true;
  }

  /** Stops one replica that can start elsewhere, on any machine that is to be returned. */
  void relocateOne() {
    if (runtime.now() < nextAt) {
      return;
    }
    for (Machine machine : machines.present()) {
      if (machine.isScalingIn() && !machine.isTerminating() && relocateOneFrom(machine)) {
        return;
      }
    }
  }

  private boolean relocateOneFrom(Machine machine) {
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (job.isMovable(task, runtime.now()) && scheduler.canStartElsewhere(job, machine)) {
        runtime
            .events()
            .info(LogEvent.TASK_EVICTED)
            .with(LogField.JOB, job.spec.id())
            .with(LogField.TASK, task)
            .with(LogField.MACHINE, machine.id)
            .with(LogField.REASON, "scale_in")
            .write();
        assignments.stop(job, task);
        nextAt = runtime.now() + INTERVAL_MS;
        return true;
      }
    }
    return false;
  }
}
