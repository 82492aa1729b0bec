package org.snowturn.core.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.CloudMachine;

/** The deletion of machines, in batches that are repeated until the cloud confirms them. */
final class MachineTermination {
  private static final int TIMEOUT_MS = 5000;
  private static final int STATUS_OK = 200;
  private static final int MAX_BATCH = 100;
  private static final int MAX_CALLS_IN_FLIGHT = 2;

  /** Time between the timeout of a call without a reply and its repetition. */
  private static final long RETRY_MARGIN_MS = 500;

  /** Time between a failed deletion and its repetition. */
  private static final long RETRY_AFTER_FAILURE_MS = 1_000;

  /**
   * Calls that the cloud's rate allows between two deletions, which leaves calls to request
   * replacements.
   */
  private static final double CALLS_PER_INTERVAL = 2.4;

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final CloudCallBudget budget;
  private final CapacityRefusals refusals;
  private final PreemptionRate spotPreemptions;
  private final long intervalMs;
  private int callsInFlight;
  private long nextCallAt;

  MachineTermination(
      ClusterContext cluster,
      CloudCallBudget budget,
      CapacityRefusals refusals,
      PreemptionRate spotPreemptions) {
    this.runtime = cluster.runtime();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.heartbeats = cluster.heartbeats();
    this.budget = budget;
    this.refusals = refusals;
    this.spotPreemptions = spotPreemptions;
    this.intervalMs =
        (long) (1000 * CALLS_PER_INTERVAL / cluster.settings().cloudLimits().maxRps());
  }

  /**
   * Marks a machine for deletion. Once the cloud confirms the deletion, all its tasks have ended.
   */
  void terminate(Machine machine, String reason) {
    if (!machine.lifecycle.isTerminating() && !machine.lifecycle.isGone()) {
      runtime
          .events()
          .info(LogEvent.MACHINE_TERMINATING)
          .with(LogField.REASON, reason)
          .with(LogField.MACHINE, machine.id)
          .write();
      machine.lifecycle.beginTermination();
      if (machine.isSpot() && machine.isSuspected() && machine.preemptionAt() == Long.MAX_VALUE) {
        spotPreemptions.recordPreemption();
      }
      assignments.markChanged();
    }
  }

  /** Deletes a batch of marked machines, if the limits on calls allow it now. */
  void deleteMarked() {
    long now = runtime.now();
    if (callsInFlight >= MAX_CALLS_IN_FLIGHT || now < nextCallAt) {
      return;
    }
    List<Machine> batch = nextBatch(now);
    if (batch.isEmpty() || !budget.tryAcquire()) {
      return;
    }
    callsInFlight++;
    nextCallAt = now + intervalMs;
    for (Machine machine : batch) {
      machine.lifecycle.setTerminateRetryAt(now + TIMEOUT_MS + RETRY_MARGIN_MS);
      runtime
          .events()
          .info(LogEvent.TERMINATE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.ASSIGNED, machine.assigned.size())
          .write();
    }
    runtime.call(
        Effect.Target.CLOUD,
        null,
        "POST",
        "/machines/delete",
        CloudMachine.deletionRequest(batch.stream().map(machine -> machine.id).toList()),
        TIMEOUT_MS,
        (outcome, status, body) ->
            onReply(batch, outcome == Outcome.ANSWERED && status == STATUS_OK));
  }

  private List<Machine> nextBatch(long now) {
    List<Machine> batch = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.lifecycle.isTerminating()
          && now >= machine.lifecycle.terminateRetryAt()
          && batch.size() < MAX_BATCH) {
        batch.add(machine);
      }
    }
    return batch;
  }

  private void onReply(List<Machine> batch, boolean confirmed) {
    callsInFlight--;
    for (Machine machine : batch) {
      if (confirmed) {
        onConfirmed(machine);
      } else {
        machine.lifecycle.setTerminateRetryAt(runtime.now() + RETRY_AFTER_FAILURE_MS);
      }
    }
  }

  private void onConfirmed(Machine machine) {
    runtime.events().info(LogEvent.TERMINATED).with(LogField.MACHINE, machine.id).write();
    machines.remove(machine);
    machine.lifecycle.confirmTermination();
    refusals.recordRelease(machine);
    heartbeats.onMachineDeleted(machine);
  }
}
