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

/** The relocation of service replicas off machines that are being scaled in, one at a time. */
final class ReplicaRelocation {
  /** Minimum time between two relocations. */
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

  /**
   * Returns whether each replica on the machine could start at once on another machine that has its
   * image.
   */
  boolean isPossibleForAll(Machine machine) {
    for (long taskRef : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(taskRef);
      if (job.spec.isService() && !scheduler.canStartElsewhere(job, machine)) {
        return false;
      }
    }
    return true;
  }

  /** Stops one replica that can start elsewhere, on any machine that is being scaled in. */
  void relocateOne() {
    if (runtime.now() < nextAt) {
      return;
    }
    for (Machine machine : machines.present()) {
      if (machine.lifecycle.isScalingIn()
          && !machine.lifecycle.isTerminating()
          && relocateOneFrom(machine)) {
        return;
      }
    }
  }

  private boolean relocateOneFrom(Machine machine) {
    for (long taskRef : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(taskRef);
      int task = TaskAssignments.task(taskRef);
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
