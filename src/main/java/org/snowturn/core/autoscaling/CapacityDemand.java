package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;

/** How many CPUs the fleet should have for the unfinished work, and the headroom beside it. */
final class CapacityDemand {
  /** Waiting work that spot machines can do within this time needs no on-demand ones. */
  private static final double MAX_BACKLOG_S = 50;

  /** On-demand headroom for new replicas, counted in the largest one's size. */
  private static final int SPARE_REPLICAS = 4;

  /** After a burst its machines stay for a while: the next array finds them up, with images. */
  private static final long PEAK_WINDOW_MS = 30_000;

  private static final double PEAK_SHARE = 0.6;

  private final CoreRuntime runtime;
  private final MachineTypes machineTypes;
  private final TaskAssignments assignments;
  private final ScalingPolicy scalingPolicy;
  private final ProvisionedCapacity capacity;
  private final CapacityRefusals refusals;
  private double peakArrayCpus;
  private long peakAt;

  CapacityDemand(
      ClusterContext cluster,
      ScalingPolicy scalingPolicy,
      ProvisionedCapacity capacity,
      CapacityRefusals refusals) {
    this.runtime = cluster.runtime();
    this.machineTypes = cluster.machineTypes();
    this.assignments = cluster.assignments();
    this.scalingPolicy = scalingPolicy;
    this.capacity = capacity;
    this.refusals = refusals;
  }

  /** The CPUs that all spot or all on-demand machines together should have. */
  double targetCpus(boolean spot) {
    double overprovisioning = scalingPolicy.overprovisioning();
    if (overprovisioning >= 1) {
      return Double.MAX_VALUE;
    }
    double required = requiredCpus(spot);
    if (spot) {
      return arrayTarget(required);
    }
    double headroom =
        required > 0
            ? required * scalingPolicy.serviceHeadroom() + SPARE_REPLICAS * largestReplicaCpus()
            : 0;
    return required + headroom + spilloverCpus(overprovisioning);
  }

  /** CPUs that the unfinished tasks need; memory is converted by the leanest type's ratio. */
  private double requiredCpus(boolean spot) {
    double gbPerCpu = 0;
    for (MachineType type : machineTypes.all()) {
      gbPerCpu = Math.max(gbPerCpu, type.memoryGb() / Math.max(1, type.cpus()));
    }
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      if (!job.isCancelled() && !job.awaitsDependencies() && job.spec.spot() == spot) {
        JobSpec spec = job.spec;
        double cpusPerTask = Math.max(spec.cpus(), gbPerCpu > 0 ? spec.memoryGb() / gbPerCpu : 0);
        cpus += cpusPerTask * requiredTasks(job);
      }
    }
    return cpus;
  }

  /** A job that fails wherever it runs has no use for more than what it has. */
  private static int requiredTasks(Job job) {
    return job.failures.isSuspect() ? job.assigned() + 1 : job.taskCount() - job.done();
  }

  private double largestReplicaCpus() {
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      cpus = job.spec.service() ? Math.max(cpus, job.spec.cpus()) : cpus;
    }
    return cpus;
  }

  private double arrayTarget(double required) {
    long now = runtime.now();
    if (required >= peakArrayCpus || now - peakAt > PEAK_WINDOW_MS) {
      peakArrayCpus = required;
      peakAt = now;
    }
    return Math.max(required, PEAK_SHARE * peakArrayCpus) * (1 + scalingPolicy.arrayHeadroom());
  }

  /**
   * CPUs of on-demand machines for arrays: only where no more spot machines can be had, and only
   * for what these would take too long to work off, or as far as headroom is worth its price.
   */
  private double spilloverCpus(double overprovisioning) {
    if (!refusals.isEveryPoolInBackoff(true)) {
      return 0;
    }
    double backlogCpuS = 0;
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && job.spec.spot() && !job.failures.isSuspect()) {
        backlogCpuS += job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
      }
    }
    double headroom = overprovisioning * overprovisioning * arrayTarget(requiredCpus(true));
    return Math.max(0, Math.max(backlogCpuS / MAX_BACKLOG_S, headroom) - capacity.cpus(true));
  }
}
