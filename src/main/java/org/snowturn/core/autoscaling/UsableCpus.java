package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.ListedTaskSize;
import org.snowturn.wire.MachineType;

/**
 * What work needs of machines and can use of them. A machine whose heartbeat has no room for
 * another task cannot use the rest of its CPUs, and the waiting tasks need room in heartbeats
 * whatever CPUs are free. A task's memory is converted to CPUs by the highest ratio of memory to
 * CPUs of all types.
 */
final class UsableCpus {
  private final MachineTypes machineTypes;
  private final TaskAssignments assignments;
  private double gbPerCpu;
  private double waitingOnDemandBytes;
  private double waitingSpotBytes;

  UsableCpus(MachineTypes machineTypes, TaskAssignments assignments) {
    this.machineTypes = machineTypes;
    this.assignments = assignments;
  }

  /** Recounts the waiting work. */
  void recount() {
    gbPerCpu = 0;
    for (MachineType type : machineTypes.all()) {
      gbPerCpu = Math.max(gbPerCpu, type.memoryGb() / Math.max(1, type.cpus()));
    }
    waitingOnDemandBytes = countWaitingBytes(false);
    waitingSpotBytes = countWaitingBytes(true);
  }

  private double countWaitingBytes(boolean spot) {
    double bytes = 0;
    for (Job job : assignments.jobs()) {
      int waiting = needsCapacity(job, spot) ? requiredTasks(job) - job.assigned() : 0;
      if (waiting > 0) {
        int entryBytes = ListedTaskSize.maxBytes(job.spec) + ListedTaskSize.SPACED_LAYOUT_BYTES;
        bytes += (double) waiting * entryBytes;
      }
    }
    return bytes;
  }

  /** Returns whether the job needs capacity of all spot or of all on-demand machines. */
  static boolean needsCapacity(Job job, boolean spot) {
    return !job.isCancelled() && !job.awaitsDependencies() && job.spec.canUseSpot() == spot;
  }

  /**
   * Returns the number of tasks for which the job needs capacity. A suspect job, which fails on
   * every machine, needs its assigned tasks and one trial.
   */
  static int requiredTasks(Job job) {
    return job.failures.isSuspect() ? job.assigned() + 1 : job.taskCount() - job.done();
  }

  /** Returns the CPUs that a task takes, by its CPUs or its memory, whichever is more. */
  double cpusPerTask(JobSpec spec) {
    return inCpus(spec.cpus(), spec.memoryGb());
  }

  private double inCpus(double cpus, double memoryGb) {
    return Math.max(cpus, gbPerCpu > 0 ? memoryGb / gbPerCpu : 0);
  }

  /** Returns the CPUs of a machine of known type that its tasks and further ones can use. */
  double of(Machine machine) {
    double cpus = machine.machineType().cpus();
    return machine.heartbeatUsage.isFull()
        ? Math.min(cpus, inCpus(machine.cpusUsed(), machine.memoryUsedGb()))
        : cpus;
  }

  /** Returns the room in heartbeats that the waiting tasks of spot or on-demand machines need. */
  double waitingListBytes(boolean spot) {
    return spot ? waitingSpotBytes : waitingOnDemandBytes;
  }
}
