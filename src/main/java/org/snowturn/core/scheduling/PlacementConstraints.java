package org.snowturn.core.scheduling;

import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.wire.JobSpec;

/**
 * Where tasks of a job may run. Constraints are tested against every task that may still be on a
 * machine, so they hold at the instant of the start whatever became of the others.
 */
final class PlacementConstraints {
  private final CoreRuntime runtime;
  private final MachineIndex machines;

  PlacementConstraints(CoreRuntime runtime, MachineIndex machines) {
    this.runtime = runtime;
    this.machines = machines;
  }

  /** Whether the machine has room for one more task of the job and the constraints allow it. */
  boolean fits(Job job, Machine machine) {
    return machine.hasRoom(job.spec) && isAllowed(job, machine);
  }

  /** Whether the job's constraints allow one more task of it on the machine, room aside. */
  boolean isAllowed(Job job, Machine machine) {
    return isMachineAllowed(job.spec, machine)
        && isWithinZoneLimit(job, machine)
        && isInSharedZone(job, machine);
  }

  private boolean isMachineAllowed(JobSpec spec, Machine machine) {
    if (machine.isSpot() && !spec.canUseSpot()) {
      return false;
    }
    if (spec.allowedMachineTypes() != null
        && !spec.allowedMachineTypes().contains(machine.type())) {
      return false;
    }
    return spec.zone() == null || machines.zone(spec.zone()) == machine.zone();
  }

  private static boolean isWithinZoneLimit(Job job, Machine machine) {
    return !job.spec.spreadAcrossZones()
        || job.assignedInZone(machine.zone()) < job.spec.maxTasksPerZone();
  }

  /** Whether the machine is in the zone of the job's other tasks, where all must share one. */
  private static boolean isInSharedZone(Job job, Machine machine) {
    if (!job.spec.singleZone()) {
      return true;
    }
    if (job.assigned() == 0 && job.gangZone() >= 0 && job.gangZone() != machine.zone()) {
      return false;
    }
    return job.assigned() == job.assignedInZone(machine.zone());
  }

  /** Whether a replica on {@code from} could start on another machine without an image fetch. */
  boolean canStartElsewhere(Job job, Machine from) {
    for (Machine machine : machines.present()) {
      boolean ready =
          machine != from
              && machine.usable(runtime.now())
              && machine.hasRoom(job.spec)
              && machine.images.containsKey(job.spec.image());
      if (ready && (machine.zone() == from.zone() || isAllowed(job, machine))) {
        return true;
      }
    }
    return false;
  }

  /** Whether any machine with room for a task of the job may take it, spot machines aside. */
  static boolean isUnconstrained(JobSpec spec) {
    return spec.allowedMachineTypes() == null
        && spec.zone() == null
        && !spec.spreadAcrossZones()
        && !spec.singleZone();
  }

  /** Whether a machine with no room for a task of {@code other} has none for one of the job. */
  static boolean isNoSmaller(JobSpec spec, JobSpec other) {
    return spec.cpus() >= other.cpus()
        && spec.memoryGb() >= other.memoryGb()
        && spec.gpus() >= other.gpus()
        && (other.canUseSpot() || !spec.canUseSpot());
  }
}
