package org.snowturn.core.scheduling;

import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.ListedTaskSize;

/**
 * Rules for the machines on which tasks of a job may run. Constraints are checked against every
 * task that may still be on a machine, so they hold when the task starts, whether or not the other
 * tasks have ended by then.
 */
final class PlacementConstraints {
  private final CoreRuntime runtime;
  private final MachineIndex machines;

  /** Creates the constraints for these machines. */
  PlacementConstraints(CoreRuntime runtime, MachineIndex machines) {
    this.runtime = runtime;
    this.machines = machines;
  }

  /**
   * Returns whether the machine has room for one more task of the job and the constraints allow it.
   */
  boolean fits(Job job, Machine machine) {
    return machine.hasCapacityFor(job.spec) && isAllowed(job, machine);
  }

  /**
   * Returns whether the job's constraints allow one more of its tasks on the machine. Does not
   * check the machine's free resources.
   */
  boolean isAllowed(Job job, Machine machine) {
    return isMachineAllowed(job.spec, machine)
        && isWithinZoneLimit(job, machine)
        && isInSharedZone(job, machine);
  }

  /** Returns whether the machine's type, zone and spot status suit the job. */
  private boolean isMachineAllowed(JobSpec spec, Machine machine) {
    if (machine.isSpot() && !spec.canUseSpot()) {
      return false;
    }
    if (spec.allowedMachineTypes() != null
        && !spec.allowedMachineTypes().contains(machine.type())) {
      return false;
    }
    return spec.zone() == null || machines.zoneIndex(spec.zone()) == machine.zone();
  }

  /** Returns whether the machine's zone can take one more task of a job that is spread out. */
  private static boolean isWithinZoneLimit(Job job, Machine machine) {
    return !job.spec.spreadAcrossZones()
        || job.assignedInZone(machine.zone()) < job.spec.maxTasksPerZone();
  }

  /**
   * Returns whether the machine is in the zone that a single-zone job uses; always true for jobs
   * without this constraint.
   */
  private static boolean isInSharedZone(Job job, Machine machine) {
    if (!job.spec.singleZone()) {
      return true;
    }
    if (job.assigned() == 0
        && job.scheduling.gangZone() >= 0
        && job.scheduling.gangZone() != machine.zone()) {
      return false;
    }
    return job.assigned() == job.assignedInZone(machine.zone());
  }

  /**
   * Returns whether a replica on {@code from} could start on another machine without an image
   * fetch.
   */
  boolean canStartElsewhere(Job job, Machine from) {
    for (Machine machine : machines.present()) {
      boolean canStartAtOnce =
          machine != from
              && machine.isUsable(runtime.now())
              && machine.hasCapacityFor(job.spec)
              && machine.images.containsKey(job.spec.image());
      if (canStartAtOnce && (machine.zone() == from.zone() || isAllowed(job, machine))) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the job may run on every machine with room, spot machines aside. */
  static boolean isUnconstrained(JobSpec spec) {
    return spec.allowedMachineTypes() == null
        && spec.zone() == null
        && !spec.spreadAcrossZones()
        && !spec.singleZone();
  }

  /**
   * Returns whether a task of {@code spec} needs at least as much of each resource as one of {@code
   * other}, and may run on spot machines only if the other may. A machine without room for the
   * other then has none for this one.
   */
  static boolean isAtLeastAsDemanding(JobSpec spec, JobSpec other) {
    return spec.cpus() >= other.cpus()
        && spec.memoryGb() >= other.memoryGb()
        && spec.gpus() >= other.gpus()
        && ListedTaskSize.maxBytes(spec) >= ListedTaskSize.maxBytes(other)
        && (other.canUseSpot() || !spec.canUseSpot());
  }
}
