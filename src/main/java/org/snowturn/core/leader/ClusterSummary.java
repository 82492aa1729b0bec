package org.snowturn.core.leader;

import java.util.Map;
import java.util.TreeMap;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.EventLog;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.model.TaskStateCounts;

/** Writes a summary of jobs, tasks and machines to the log at regular intervals. */
final class ClusterSummary {
  private static final long INTERVAL_MS = 10_000;

  /** The machines of one kind, on-demand or spot, and their CPUs. */
  private static final class Capacity {
    private int upCount;
    private int downCount;
    private double cpus;
    private double cpusUsed;
  }

  private final CoreRuntime runtime;
  private final AssignmentServices services;
  private final SchedulingServices scheduling;
  private long nextWriteAt;

  ClusterSummary(CoreRuntime runtime, AssignmentServices services, SchedulingServices scheduling) {
    this.runtime = runtime;
    this.services = services;
    this.scheduling = scheduling;
  }

  /** Writes the summary if it is due. */
  void tick() {
    if (runtime.now() >= nextWriteAt) {
      nextWriteAt = runtime.now() + INTERVAL_MS;
      write();
    }
  }

  private void write() {
    EventLog.Line line = runtime.events().info(LogEvent.SUMMARY);
    addJobs(line);
    addMachines(line);
    line.with(LogField.RESTARTS, scheduling.speculator().restarts())
        .with(LogField.WRITES_WAITING, services.writer().queuedRecordCount())
        .write();
  }

  private void addJobs(EventLog.Line line) {
    TaskAssignments assignments = services.assignments();
    TaskCounts tasks = TaskCounts.of(assignments.jobs());
    TaskStateCounts states = new TaskStateCounts();
    for (Job job : assignments.jobs()) {
      job.countStates(states);
    }
    line.with(LogField.JOBS, assignments.jobs().size())
        .with(LogField.JOBS_AWAITING_DEPENDENCIES, services.dependencyGraph().waitingJobCount())
        .with(LogField.TASKS_WAITING, tasks.waiting())
        .with(LogField.TASKS_ASSIGNED, tasks.assigned())
        .with(LogField.TASKS_PLACING, states.of(TaskState.PLACING))
        .with(LogField.TASKS_STARTING, states.of(TaskState.STARTING))
        .with(LogField.TASKS_FETCHING, states.of(TaskState.FETCHING))
        .with(LogField.TASKS_RUNNING, states.of(TaskState.RUNNING));
  }

  private void addMachines(EventLog.Line line) {
    Capacity onDemand = new Capacity();
    Capacity spot = new Capacity();
    Map<String, Integer> downReasons = new TreeMap<>();
    for (Machine machine : services.machines().present()) {
      Capacity capacity = machine.isSpot() ? spot : onDemand;
      if (machine.isUsable(runtime.now())) {
        capacity.upCount++;
        capacity.cpus += machine.machineType().cpus();
        capacity.cpusUsed += machine.cpusUsed();
      } else {
        capacity.downCount++;
        downReasons.merge(machine.unusableReason(runtime.now()), 1, Integer::sum);
      }
    }
    line.with(LogField.ON_DEMAND_UP, onDemand.upCount)
        .with(LogField.ON_DEMAND_DOWN, onDemand.downCount)
        .with(LogField.ON_DEMAND_CPUS_USED, onDemand.cpusUsed)
        .with(LogField.ON_DEMAND_CPUS, onDemand.cpus)
        .with(LogField.SPOT_UP, spot.upCount)
        .with(LogField.SPOT_DOWN, spot.downCount)
        .with(LogField.SPOT_CPUS_USED, spot.cpusUsed)
        .with(LogField.SPOT_CPUS, spot.cpus)
        .with(LogField.DOWN_REASONS, downReasons.toString());
  }
}
