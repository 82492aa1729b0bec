package org.snowturn.core.autoscaling;

import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.scheduling.TaskScheduler;

/** Scales the fleet out and in, within the cloud's request rate, and deletes failed machines. */
public final class Autoscaler {
  private final MachineTypes machineTypes;
  private final CloudCallBudget budget;
  private final MachineInventory inventory;
  private final MachineTermination termination;
  private final ProvisionedCapacity capacity;
  private final MachineRentals rentals;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;

  /**
   * Knows nothing of the cloud's machines yet.
   *
   * @param spotPreemptions is told of the uptime and the losses of spot machines
   * @param token the fencing token of the term
   */
  public Autoscaler(
      ClusterContext cluster,
      TaskScheduler scheduler,
      ScalingPolicy scalingPolicy,
      ZoneOutages zoneOutages,
      ExternallyManagedMachines externallyManaged,
      PreemptionRate spotPreemptions,
      long token) {
    machineTypes = cluster.machineTypes();
    budget = new CloudCallBudget(cluster.runtime(), cluster.settings().cloudLimits().maxRps());
    CapacityRefusals refusals =
        new CapacityRefusals(cluster.runtime(), machineTypes, cluster.machines());
    OpenScaleOutRequests openRequests = new OpenScaleOutRequests(machineTypes);
    capacity =
        new ProvisionedCapacity(
            cluster.runtime(),
            cluster.machines(),
            openRequests,
            zoneOutages,
            externallyManaged,
            spotPreemptions);
    CapacityDemand demand = new CapacityDemand(cluster, scalingPolicy, capacity, refusals);
    PoolSelector poolSelector =
        new PoolSelector(
            machineTypes, cluster.machines(), capacity, openRequests, refusals, zoneOutages);
    inventory = new MachineInventory(cluster, budget, refusals);
    termination = new MachineTermination(cluster, budget, refusals, spotPreemptions);
    rentals = new MachineRentals(cluster, openRequests, refusals, budget, token);
    scaleOut = new ScaleOut(cluster, demand, capacity, openRequests, poolSelector, rentals);
    ReplicaRelocation relocation = new ReplicaRelocation(cluster, scheduler);
    scaleIn = new ScaleIn(cluster, demand, capacity, relocation, termination);
  }

  /** Acts on the time that has passed: deletes, lists, rents and returns machines. */
  public void tick() {
    budget.refill();
    termination.deleteMarked();
    inventory.refreshIfDue();
    if (machineTypes.isLoaded() && inventory.isLoaded() && !rentals.isPaused()) {
      capacity.recount();
      scaleOut.run();
      scaleIn.run();
    }
  }

  /**
   * Marks a machine for deletion: when the cloud confirms it, all that was there has ended.
   *
   * @param reason for the log
   */
  public void terminate(Machine machine, String reason) {
    termination.terminate(machine, reason);
  }
}
