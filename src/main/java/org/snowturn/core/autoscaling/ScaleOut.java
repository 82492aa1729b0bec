package org.snowturn.core.autoscaling;

import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;

/** The addition of machines while the fleet has less room for tasks than demanded. */
final class ScaleOut {
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final CapacityDemand demand;
  private final ProvisionedCapacity capacity;
  private final OpenScaleOutRequests openRequests;
  private final PoolSelector poolSelector;
  private final MachineRentals rentals;

  ScaleOut(
      ClusterContext cluster,
      CapacityDemand demand,
      ProvisionedCapacity capacity,
      OpenScaleOutRequests openRequests,
      PoolSelector poolSelector,
      MachineRentals rentals) {
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.demand = demand;
    this.capacity = capacity;
    this.openRequests = openRequests;
    this.poolSelector = poolSelector;
    this.rentals = rentals;
  }

  /**
   * Cancels the scale-in of machines that are needed again, and requests more if these are too few.
   */
  void run() {
    rentals.sendRetries();
    scaleOut(false);
    scaleOut(true);
  }

  private void scaleOut(boolean spot) {
    double targetCpus = demand.targetCpus(spot);
    cancelScaleIn(spot, targetCpus);
    while (isTooSmall(spot, targetCpus) && openRequests.canAdd()) {
      double missingCpus = Math.max(0, targetCpus - capacity.cpus(spot));
      CapacityPool pool = poolSelector.select(spot, missingCpus);
      if (pool == null) {
        return;
      }
      int count = poolSelector.machineCount(pool, missingCpus, capacity.missingMachines(spot));
      if (!rentals.tryRequest(pool, count)) {
        return;
      }
    }
  }

  /** Returns whether the fleet lacks CPUs, or room in heartbeats for the waiting tasks. */
  private boolean isTooSmall(boolean spot, double targetCpus) {
    return capacity.cpus(spot) < targetCpus || capacity.missingMachines(spot) > 0;
  }

  private void cancelScaleIn(boolean spot, double targetCpus) {
    for (Machine machine : machines.present()) {
      if (machine.lifecycle.isScalingIn()
          && !machine.lifecycle.isTerminating()
          && machine.isSpot() == spot
          && isTooSmall(spot, targetCpus)) {
        machine.lifecycle.cancelScaleIn();
        capacity.add(machine);
        assignments.markChanged();
      }
    }
  }
}
