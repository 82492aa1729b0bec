package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.ListedTaskSize;
import org.snowturn.wire.MachineType;

/**
 * The CPUs of a machine that work can use. A machine whose tasks are so small that its heartbeat
 * has no room for more of them cannot use the rest of its CPUs, and counts only with those that it
 * can. A task's memory is converted to CPUs by the highest ratio of memory to CPUs of all types.
 */
final class UsableCpus {
  private final MachineTypes machineTypes;
  private final TaskAssignments assignments;
  private double gbPerCpu;
  private Waiting onDemandWork = Waiting.NONE;
  private Waiting spotWork = Waiting.NONE;

  /**
   * The tasks that wait for capacity.
   *
   * @param cpus the CPUs that they need
   * @param listBytes the space that they need in heartbeats
   */
  private record Waiting(double cpus, double listBytes) {
    static final Waiting NONE = new Waiting(0, 0);

    /** Returns the CPUs that as many average tasks use as have room in this part of a heartbeat. */
    double cpusWithin(double freeBytes) {
      return listBytes == 0 ? Double.MAX_VALUE : Math.max(0, freeBytes) * cpus / listBytes;
    }
  }

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
    onDemandWork = countWaiting(false);
    spotWork = countWaiting(true);
  }

  private Waiting countWaiting(boolean spot) {
    double cpus = 0;
    double listBytes = 0;
    for (Job job : assignments.jobs()) {
      if (needsCapacity(job, spot)) {
        double waiting = Math.max(0, requiredTasks(job) - job.assigned());
        int entryBytes = ListedTaskSize.maxBytes(job.spec) + ListedTaskSize.SPACED_LAYOUT_BYTES;
        cpus += waiting * cpusPerTask(job.spec);
        listBytes += waiting * entryBytes;
      }
    }
    return new Waiting(cpus, listBytes);
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

  /** Returns the CPUs of a machine of known type that its tasks and the waiting ones can use. */
  double of(Machine machine) {
    double used = inCpus(machine.cpusUsed(), machine.memoryUsedGb());
    if (machine.heartbeatUsage.isFull()) {
      return Math.min(machine.machineType().cpus(), used);
    }
    double usable = used + work(machine.isSpot()).cpusWithin(machine.heartbeatUsage.freeBytes());
    return Math.min(machine.machineType().cpus(), usable);
  }

  /** Returns the CPUs of a new machine of a type that the waiting tasks can use. */
  double ofNew(MachineType type, boolean spot) {
    return Math.min(type.cpus(), work(spot).cpusWithin(ListedTaskSize.MAX_LIST_BYTES));
  }

  private Waiting work(boolean spot) {
    return spot ? spotWork : onDemandWork;
  }
}
