package org.snowturn.core.leader;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.assignment.TaskAssignments;

/** Collects the gauges of a term for the metrics endpoint. */
final class LeaderGauges {
  private final AssignmentServices services;
  private final SchedulingServices scheduling;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final HealthSweep healthSweep;
  private final CommandDispatcher dispatcher;
  private final HeartbeatHandler heartbeatHandler;

  LeaderGauges(
      AssignmentServices services,
      SchedulingServices scheduling,
      LeaderRecovery recovery,
      ReachabilityChecks reachability,
      HealthSweep healthSweep,
      CommandDispatcher dispatcher,
      HeartbeatHandler heartbeatHandler) {
    this.services = services;
    this.scheduling = scheduling;
    this.recovery = recovery;
    this.reachability = reachability;
    this.healthSweep = healthSweep;
    this.dispatcher = dispatcher;
    this.heartbeatHandler = heartbeatHandler;
  }

  /** Returns all gauges of the term, by metric name. */
  Map<String, Double> collect() {
    TaskAssignments assignments = services.assignments();
    TaskCounts tasks = TaskCounts.of(assignments.jobs());
    Map<String, Double> gauges = new HashMap<>();
    gauges.put(
        "snowturn.jobs.awaiting.dependencies",
        (double) services.dependencyGraph().waitingJobCount());
    gauges.put("snowturn.jobs.live", (double) assignments.jobs().size());
    gauges.put("snowturn.tasks.waiting", (double) tasks.waiting());
    gauges.put("snowturn.tasks.assigned", (double) tasks.assigned());
    gauges.put("snowturn.machines", (double) services.machines().present().size());
    gauges.put(
        "snowturn.machines.full.report",
        (double)
            services.machines().present().stream()
                .filter(machine -> machine.heartbeatUsage.isFull())
                .count());
    gauges.putAll(healthSweep.gauges());
    gauges.putAll(reachability.gauges());
    gauges.putAll(services.failureHandler().gauges());
    gauges.putAll(services.attemptGuard().gauges());
    gauges.put("snowturn.speculative.restarts", (double) scheduling.speculator().restarts());
    gauges.put("snowturn.writes.waiting", (double) services.writer().queuedRecordCount());
    gauges.put("snowturn.placements", (double) assignments.placements());
    gauges.put(
        "snowturn.placements.evaluations", (double) scheduling.scheduler().machineEvaluations());
    gauges.put("snowturn.command.queues.flushed", (double) dispatcher.flushCount());
    gauges.putAll(services.heartbeatCommands().gauges());
    gauges.putAll(heartbeatHandler.gauges());
    gauges.put(
        "snowturn.heartbeats.unknown.token",
        (double) services.heartbeatProcessor().unknownTokens());
    gauges.putAll(recovery.gauges());
    gauges.putAll(scheduling.scheduler().gauges());
    return gauges;
  }
}
