package org.snowturn.core.autoscaling;

import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.scheduling.TaskScheduler;

/**
 * The scaling of the fleet: rents machines, returns them and deletes failed ones, within the
 * cloud's limit on the rate of requests.
 */
public final class Autoscaler {
  private final MachineTypes machineTypes;
  private final CloudCallBudget budget;
  private final MachineInventory inventory;
  private final MachineTermination termination;
  private final UsableCpus usableCpus;
  private final ProvisionedCapacity capacity;
  private final MachineRentals rentals;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;

  /**
   * Creates an autoscaler for one term of leadership. It does not scale until the cloud's list of
   * machines has been read.
   *
   * @param spotPreemptions collects the uptime and the preemptions of spot machines
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
    usableCpus = new UsableCpus(machineTypes, cluster.assignments());
    OpenScaleOutRequests openRequests = new OpenScaleOutRequests(machineTypes);
    capacity =
        new ProvisionedCapacity(
            cluster.runtime(),
            cluster.machines(),
            openRequests,
            zoneOutages,
            externallyManaged,
            spotPreemptions,
            usableCpus);
    CapacityDemand demand =
        new CapacityDemand(cluster, scalingPolicy, capacity, refusals, usableCpus);
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

  /** Sends the calls that are due: deletes, lists, rents and returns machines. */
  public void tick() {
    budget.refill();
    termination.deleteMarked();
    inventory.refreshIfDue();
    if (machineTypes.isLoaded() && inventory.isLoaded() && !rentals.isPaused()) {
      usableCpus.recount();
      capacity.recount();
      scaleOut.run();
      scaleIn.run();
    }
  }

  /**
   * Marks a machine for deletion. Once the cloud confirms the deletion, all its tasks have ended.
   *
   * @param reason the reason that is written to the log
   */
  public void terminate(Machine machine, String reason) {
    termination.terminate(machine, reason);
  }
}
