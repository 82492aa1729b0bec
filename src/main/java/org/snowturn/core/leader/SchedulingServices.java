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

/** The parts of a term that choose machines for tasks and decide how many machines there are. */
record SchedulingServices(
    ExternallyManagedMachines externallyManaged,
    TaskScheduler scheduler,
    Speculator speculator,
    ZoneOutages zoneOutages,
    Autoscaler autoscaler) {

  /**
   * Creates the parts; none acts yet.
   *
   * @param mayPreempt whether enough machines are known for tasks to be stopped for others
   */
  static SchedulingServices create(
      LeaderDependencies node, Term term, AssignmentServices services, BooleanSupplier mayPreempt) {
    CoreRuntime runtime = node.runtime();
    Settings settings = node.settings();
    Tunables tunables = node.tunables();
    ExternallyManagedMachines externallyManaged =
        new ExternallyManagedMachines(runtime, services.writer());
    ScalingPolicy scalingPolicy =
        ScalingPolicy.of(
            settings, node.machineTypes()::quickestBootS, externallyManaged::hasMachines);
    TaskScheduler scheduler = newScheduler(node, services, scalingPolicy, mayPreempt);
    Speculator speculator =
        new Speculator(
            runtime,
            tunables,
            services.assignments(),
            services.machines(),
            scheduler,
            services.writer(),
            node.gate());
    ZoneOutages zoneOutages = new ZoneOutages(services.machines().zoneCount());
    Autoscaler autoscaler =
        new Autoscaler(
            new ClusterContext(
                runtime,
                settings,
                tunables,
                node.machineTypes(),
                services.machines(),
                services.assignments(),
                services.heartbeats()),
            scheduler,
            scalingPolicy,
            zoneOutages,
            externallyManaged,
            services.preemptionRate(),
            term.token());
    return new SchedulingServices(
        externallyManaged, scheduler, speculator, zoneOutages, autoscaler);
  }

  private static TaskScheduler newScheduler(
      LeaderDependencies node,
      AssignmentServices services,
      ScalingPolicy scalingPolicy,
      BooleanSupplier mayPreempt) {
    return new TaskScheduler(
        node.runtime(),
        node.settings(),
        services.assignments(),
        services.machines(),
        new SchedulingPolicy(
            new SchedulingOrder(node.settings(), node.tunables().urgentSlackS()),
            scalingPolicy::overprovisioning,
            node.tunables().beginWithinS(),
            mayPreempt),
        services.preemptionRate());
  }
}
