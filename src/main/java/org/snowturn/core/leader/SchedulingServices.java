package org.snowturn.core.leader;

import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.autoscaling.Autoscaler;
import org.snowturn.core.autoscaling.ClusterContext;
import org.snowturn.core.autoscaling.ExternallyManagedMachines;
import org.snowturn.core.autoscaling.ScalingPolicy;
import org.snowturn.core.autoscaling.ZoneOutages;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.scheduling.SchedulingOrder;
import org.snowturn.core.scheduling.SchedulingPolicy;
import org.snowturn.core.scheduling.Speculator;
import org.snowturn.core.scheduling.TaskScheduler;

/**
 * The services of one term that choose machines for tasks and adjust the number of machines.
 *
 * @param externallyManagedMachines tells whether operators keep on-demand machines up themselves
 * @param scheduler chooses machines for waiting tasks
 * @param speculator restarts slow tasks on faster machines
 * @param zoneOutages detects outages of whole zones
 * @param autoscaler rents and terminates machines
 */
record SchedulingServices(
    ExternallyManagedMachines externallyManagedMachines,
    TaskScheduler scheduler,
    Speculator speculator,
    ZoneOutages zoneOutages,
    Autoscaler autoscaler) {

  /**
   * Creates the services of a term.
   *
   * @param canPreempt whether enough machines have been heard for tasks to be preempted
   */
  static SchedulingServices create(
      LeaderDependencies shared,
      Term term,
      AssignmentServices services,
      BooleanSupplier canPreempt) {
    CoreRuntime runtime = shared.runtime();
    Settings settings = shared.settings();
    Tunables tunables = shared.tunables();
    ExternallyManagedMachines externalMachines =
        new ExternallyManagedMachines(runtime, services.writer());
    ScalingPolicy scalingPolicy =
        ScalingPolicy.of(
            settings, shared.machineTypes()::shortestBootS, externalMachines::hasMachines);
    TaskScheduler scheduler = newScheduler(shared, services, scalingPolicy, canPreempt);
    Speculator speculator =
        new Speculator(
            runtime,
            tunables,
            services.assignments(),
            services.machines(),
            scheduler,
            services.writer(),
            shared.formatGate());
    ZoneOutages zoneOutages = new ZoneOutages(services.machines().zoneCount());
    Autoscaler autoscaler =
        new Autoscaler(
            new ClusterContext(
                runtime,
                settings,
                tunables,
                shared.machineTypes(),
                services.machines(),
                services.assignments(),
                services.heartbeatProcessor()),
            scheduler,
            scalingPolicy,
            zoneOutages,
            externalMachines,
            services.preemptionRate(),
            term.token());
    return new SchedulingServices(externalMachines, scheduler, speculator, zoneOutages, autoscaler);
  }

  private static TaskScheduler newScheduler(
      LeaderDependencies shared,
      AssignmentServices services,
      ScalingPolicy scalingPolicy,
      BooleanSupplier canPreempt) {
    return new TaskScheduler(
        shared.runtime(),
        shared.settings(),
        services.assignments(),
        services.machines(),
        new SchedulingPolicy(
            new SchedulingOrder(shared.settings(), shared.tunables().urgentSlackS()),
            scalingPolicy::overprovisioning,
            shared.tunables().beginWithinS(),
            canPreempt),
        services.preemptionRate());
  }
}
