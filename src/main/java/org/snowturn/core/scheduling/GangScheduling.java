package org.snowturn.core.scheduling;

import java.util.List;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/** Whether a gang can be placed: whole or not at all, since its tasks wait for each other. */
final class GangScheduling {
  private final MachineIndex machines;
  private final PlacementConstraints constraints;

  GangScheduling(MachineIndex machines, PlacementConstraints constraints) {
    this.machines = machines;
    this.constraints = constraints;
  }

  /** Whether all of the gang's tasks fit; sets the zone of a gang that must be in one. */
  boolean fits(Job job, List<Machine> usable) {
    job.setGangZone(-1);
    if (job.assigned() > 0) {
      return false; // its tasks only meet tasks of their own attempt: wait until all have ended
    }
    int[] roomByZone = new int[machines.zoneCount()];
    int totalRoom = 0;
    for (Machine machine : usable) {
      if (constraints.isAllowed(job, machine)) {
        int room = machine.roomFor(job.spec);
        roomByZone[machine.zone()] += room;
        totalRoom += room;
      }
    }
    if (!job.spec.singleZone()) {
      return totalRoom >= job.pending();
    }
    for (int zone = 0; zone < roomByZone.length; zone++) {
      if (roomByZone[zone] >= job.pending()) {
        job.setGangZone(zone);
        return true;
      }
    }
    return false;
  }
}
