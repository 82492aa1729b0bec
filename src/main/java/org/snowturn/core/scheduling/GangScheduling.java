package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/** Placement check for gangs, whose tasks only make progress when all of them run at once. */
final class GangScheduling {
  private final MachineIndex machines;
  private final PlacementConstraints constraints;

  /** Creates a check for these machines and constraints. */
  GangScheduling(MachineIndex machines, PlacementConstraints constraints) {
    this.machines = machines;
    this.constraints = constraints;
  }

  /**
   * Returns whether all tasks of the gang fit on the machines, and sets the zone to use for a gang
   * that must run in a single zone.
   */
  boolean fits(Job job, List<Machine> usableMachines) {
    job.scheduling.setGangZone(-1);
    if (job.assigned() > 0) {
      return false; // only tasks of the same attempt can run together: wait until all have ended
    }
    int[] fittingTasksByZone = new int[machines.zoneCount()];
    int totalFittingTasks = 0;
    for (Machine machine : usableMachines) {
      if (constraints.isAllowed(job, machine)) {
        int fittingTasks = machine.maxTasksThatFit(job.spec);
        fittingTasksByZone[machine.zone()] += fittingTasks;
        totalFittingTasks += fittingTasks;
      }
    }
    if (!job.spec.singleZone()) {
      return totalFittingTasks >= job.pending();
    }
    for (int zone = 0; zone < fittingTasksByZone.length; zone++) {
      if (fittingTasksByZone[zone] >= job.pending()) {
        job.scheduling.setGangZone(zone);
        return true;
      }
    }
    return false;
  }
}
