package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;

/** The number of CPUs that the fleet should have for the unfinished work, including headroom. */
final class CapacityDemand {
  /** Backlog that spot machines work off within this time is not given on-demand machines. */
  private static final double MAX_BACKLOG_S = 50;

  /** Number of replicas of the largest service for which on-demand headroom is held. */
  private static final int SPARE_REPLICAS = 4;

  /**
   * Time for which the machines of a burst are kept, so that the next array finds them up and with
   * its image.
   */
  private static final long PEAK_WINDOW_MS = 30_000;

  /** Share of the recent peak demand that is kept during that time. */
  private static final double PEAK_SHARE = 0.6;

  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final ScalingPolicy scalingPolicy;
  private final ProvisionedCapacity capacity;
  private final CapacityRefusals refusals;
  private final UsableCpus usableCpus;
  private double peakArrayCpus;
  private long peakRecordedAt;

  CapacityDemand(
      ClusterContext cluster,
      ScalingPolicy scalingPolicy,
      ProvisionedCapacity capacity,
      CapacityRefusals refusals,
      UsableCpus usableCpus) {
    this.runtime = cluster.runtime();
    this.assignments = cluster.assignments();
    this.scalingPolicy = scalingPolicy;
    this.capacity = capacity;
    this.refusals = refusals;
    this.usableCpus = usableCpus;
  }

  /**
   * Returns the number of CPUs that all spot or all on-demand machines together should have, or
   * {@link Double#MAX_VALUE} if the policy holds all capacity that can be rented.
   */
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

  /** Returns the number of CPUs that the unfinished tasks need. */
  private double requiredCpus(boolean spot) {
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      if (UsableCpus.needsCapacity(job, spot)) {
        cpus += usableCpus.cpusPerTask(job.spec) * UsableCpus.requiredTasks(job);
      }
    }
    return cpus;
  }

  private double largestReplicaCpus() {
    double cpus = 0;
    for (Job job : assignments.jobs()) {
      cpus = job.spec.isService() ? Math.max(cpus, job.spec.cpus()) : cpus;
    }
    return cpus;
  }

  /**
   * Returns the number of CPUs for arrays: the current demand or a share of its recent peak,
   * whichever is higher, plus headroom.
   */
  private double arrayTarget(double required) {
    long now = runtime.now();
    if (required >= peakArrayCpus || now - peakRecordedAt > PEAK_WINDOW_MS) {
      peakArrayCpus = required;
      peakRecordedAt = now;
    }
    return Math.max(required, PEAK_SHARE * peakArrayCpus) * (1 + scalingPolicy.arrayHeadroom());
  }

  /**
   * Returns the number of on-demand CPUs for arrays. It is 0 unless every spot pool is in back-off.
   * Then it covers the backlog that the spot machines would take longer than {@link #MAX_BACKLOG_S}
   * to work off, or the array headroom weighted by the square of {@code overprovisioning},
   * whichever is more.
   */
  private double spilloverCpus(double overprovisioning) {
    if (!refusals.isEveryPoolInBackoff(true)) {
      return 0;
    }
    double backlogCpuS = 0;
    for (Job job : assignments.jobs()) {
      if (job.hasPlaceableTasks() && job.spec.canUseSpot() && !job.failures.isSuspect()) {
        backlogCpuS += job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
      }
    }
    double headroom = overprovisioning * overprovisioning * arrayTarget(requiredCpus(true));
    return Math.max(0, Math.max(backlogCpuS / MAX_BACKLOG_S, headroom) - capacity.cpus(true));
  }
}
