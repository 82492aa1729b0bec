package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PriorityCounts;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.wire.Command;
import org.snowturn.wire.Priority;
import org.snowturn.wire.StateMessage.Condition;

/**
 * The assignments of tasks to machines. All tasks are assigned, released and completed here, so
 * that the resources, quotas, zones and stored records always agree.
 */
public final class TaskAssignments {
  /** Time for which no tasks are placed of a job whose record the state service has rejected. */
  private static final long REJECTED_RECORD_BACKOFF_MS = 20_000;

  /** Time added to a job's checkpoint write time when a task is stopped. */
  private static final int CHECKPOINT_MARGIN_S = 1;

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final Quota quota;
  private final AttemptGuard guard;
  private final JobRegistry registry;
  private final JobCompletion completion;
  private final TaskRecordLoader loader;
  private long attemptCount;
  private long placements;
  private int unconfirmedAdopted;
  private final PriorityCounts assignedByPriority = new PriorityCounts();
  private boolean changed = true;

  /**
   * Creates an empty set of jobs and assignments.
   *
   * @param guard decides whether an attempt has ended and whether a start command may be sent
   */
  public TaskAssignments(
      CoreRuntime runtime,
      FormatGate gate,
      RecordWriter writer,
      MachineIndex machines,
      Quota quota,
      KnownCancellations cancellations,
      AttemptGuard guard) {
    this.guard = guard;
    this.runtime = runtime;
    this.writer = writer;
    this.machines = machines;
    this.quota = quota;
    this.registry = new JobRegistry(runtime, gate, writer, machines, cancellations, this);
    this.completion = new JobCompletion(runtime, gate, writer, this);
    this.loader = new TaskRecordLoader(runtime, gate, writer, machines, this);
  }

  /** Returns the registry of the live jobs. */
  public JobRegistry registry() {
    return registry;
  }

  /** Returns all live jobs. */
  public Collection<Job> jobs() {
    return registry.all();
  }

  /** Returns the live job with this id; null if there is none. */
  public Job job(String id) {
    return registry.find(id);
  }

  /** Returns the job of a task reference made by {@link Job#taskReference}. */
  public Job job(long reference) {
    return registry.byReference(reference);
  }

  /** Returns the task index of a task reference made by {@link Job#taskReference}. */
  public static int task(long reference) {
    return (int) reference;
  }

  /** Returns the quota, which tracks the resources that each team uses. */
  public Quota quota() {
    return quota;
  }

  /** Returns whether a change since the last call could allow a waiting task to be placed. */
  public boolean consumeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** Records a change that could allow a waiting task to be placed. */
  public void markChanged() {
    changed = true;
  }

  /**
   * Returns the record with this index, which several tasks share. The record is created on first
   * use.
   */
  public PendingRecord taskRecord(Job job, int index) {
    if (job.taskRecord(index) == null) {
      String id = job.spec.id();
      job.setTaskRecord(
          index,
          writer.getOrAddRecord(
              job.isSecondFormat()
                  ? StorageKeys.secondFormatTasks(id, index)
                  : StorageKeys.firstFormatTasks(id, index),
              0,
              () -> job.taskRecordJson(index, machines),
              () -> new Condition(StorageKeys.job(id), job.version())));
    }
    return job.taskRecord(index);
  }

  /**
   * Loads a stored record of tasks: their results, and the assignments by earlier leaders.
   *
   * @param index the index of the record in the job
   * @param version the version of the stored record
   */
  public void loadTaskRecord(Job job, int index, JsonNode value, long version) {
    loader.loadRecord(job, index, value, version);
  }

  /**
   * Loads a record of the first format after the format gate has opened.
   *
   * @param index the index of the record among those of the first format
   * @param version the version of the stored record
   */
  public void loadFirstFormatRecord(Job job, int index, JsonNode value, long version) {
    loader.loadFirstFormatRecord(job, index, value, version);
  }

  /**
   * Migrates the jobs without writes in progress to the second format.
   *
   * @return whether there are jobs left to migrate
   */
  public boolean useSecondFormat() {
    return loader.useSecondFormat();
  }

  /**
   * Records that part of the registry of machines could not be read. From then on, the absence of a
   * machine from the registry proves nothing.
   */
  public void markRegistryIncomplete() {
    loader.markRegistryIncomplete();
  }

  /** Assigns a task that an earlier leader placed in this agent epoch of the machine. */
  void adopt(Job job, int task, Machine machine, long attempt, long agentEpoch) {
    addAssignment(job, task, machine, attempt, agentEpoch, TaskState.STARTING);
    job.adopted.set(task);
    machine.addAdoptedTasks(1);
    unconfirmedAdopted++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
  }

  private void addAssignment(
      Job job, int task, Machine machine, long attempt, long agentEpoch, TaskState state) {
    job.assign(task, machine, attempt, agentEpoch, state);
    assignedByPriority.add(job.priority(), 1);
    machine.assign(Job.taskReference(job.index, task), job.priority(), job.spec);
    quota.acquire(job.spec);
  }

  /**
   * Confirms an adopted task that was reported with this leader's token or has ended. Other tasks
   * are ignored.
   */
  public void confirmAdopted(Job job, int task) {
    if (job.adopted.get(task)) {
      job.adopted.clear(task);
      machines.get(job.machineOf(task)).addAdoptedTasks(-1);
      unconfirmedAdopted--;
    }
  }

  /**
   * Returns the number of adopted tasks that are still assigned and were not yet reported with this
   * leader's token.
   */
  public int unconfirmedAdopted() {
    return unconfirmedAdopted;
  }

  /**
   * Changes the effective priority of a job, which is the highest one of the job itself and the
   * jobs that depend on it.
   */
  public void reprioritize(Job job, Priority priority) {
    if (priority != job.priority()) {
      assignedByPriority.add(job.priority(), -job.assigned());
      assignedByPriority.add(priority, job.assigned());
      for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
        machines.get(job.machineOf(task)).reprioritize(job.priority(), priority);
      }
      job.setPriority(priority);
      changed = true;
    }
  }

  /** Returns the number of assigned tasks with a lower priority than this one. */
  public int assignedBelow(Priority priority) {
    return assignedByPriority.below(priority);
  }

  /** Returns the number of tasks that this leader has placed. */
  public long placements() {
    return placements;
  }

  /**
   * Sets the zone of a machine and moves its assigned tasks to that zone. If they stayed counted in
   * the old zone and were released in the new one, the count of the new zone would remain too low,
   * and more tasks would start there than the job's spread allows (reported as wrong_place).
   */
  public void setZone(Machine machine, int zone) {
    if (zone != machine.zone()) {
      for (long reference : HeartbeatProcessor.copy(machine.assigned)) {
        job(reference).moveZone(machine.zone(), zone);
      }
      machine.setZone(zone);
    }
  }

  /** Returns an attempt number that was never used before by any leader. */
  public long newAttempt() {
    return (guard.token() << TaskLayout.ATTEMPT_COUNTER_BITS) + ++attemptCount;
  }

  /** Assigns a pending task to a machine. Its start is sent once the placement is durable. */
  public void assign(Job job, int task, Machine machine, long attempt) {
    addAssignment(job, task, machine, attempt, machine.epoch(), TaskState.PLACING);
    machine.addPendingPlacements(1);
    job.scheduling.setPlacedWallMs(runtime.wallMs());
    placements++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
    writer.enqueue(
        taskRecord(job, job.layout().recordOf(task)),
        job.priority().level(),
        () -> sendStart(job, task, attempt));
  }

  /** Sends the start of an attempt whose placement has become durable. */
  private void sendStart(Job job, int task, long attempt) {
    if (job.stateOf(task) != TaskState.PLACING || job.attemptOf(task) != attempt) {
      return;
    }
    Machine machine = machines.get(job.machineOf(task));
    if (job.isCancelled() || job.epochOf(task) != machine.epoch() || machine.lifecycle.isGone()) {
      release(job, task, new EndEvidence.NeverSent());
      return;
    }
    job.setState(task, TaskState.STARTING);
    machine.addPendingPlacements(-1);
    runtime
        .events()
        .info(LogEvent.START_SENT)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.ATTEMPT, attempt)
        .with(LogField.MACHINE, machine.id)
        .with(LogField.AGENT_EPOCH, machine.epoch())
        .with(LogField.TOKEN, machine.fence.token())
        .write();
    machine.commands().add(startCommand(job, task));
  }

  /** Returns whether a queued start command may still be sent to this machine. */
  public boolean canStart(Machine machine, Command start) {
    return guard.canStart(machine, registry.find(start.job()), start);
  }

  /** Returns the command that starts a task's attempt. */
  public Command startCommand(Job job, int task) {
    return new Command(Command.Op.START, job.spec.id(), task, job.attemptOf(task), 0);
  }

  /**
   * Returns the command that stops a task's attempt. It allows time to write a checkpoint if the
   * job uses checkpoints and is not cancelled.
   */
  public Command stopCommand(Job job, int task) {
    boolean canSaveCheckpoint =
        !job.isCancelled() && job.spec.checkpointIntervalS() > 0 && job.spec.checkpointWriteS() > 0;
    return new Command(
        Command.Op.STOP,
        job.spec.id(),
        task,
        job.attemptOf(task),
        canSaveCheckpoint ? job.spec.checkpointWriteS() + CHECKPOINT_MARGIN_S : 0);
  }

  /**
   * Stops an assigned task. It stays assigned until there is evidence that its attempt has ended.
   */
  public void stop(Job job, int task) {
    if (job.stateOf(task) == TaskState.PLACING) {
      release(job, task, new EndEvidence.NeverSent());
      return;
    }
    job.stopping.set(task);
    Machine machine = machines.get(job.machineOf(task));
    // A start that is still queued must not be sent: a user may already know of the cancellation.
    machine.commands().withdraw(startCommand(job, task));
    if (machine.epoch() == job.epochOf(task)) {
      machine.commands().add(stopCommand(job, task));
    }
  }

  /** Stops all assigned tasks of a job. */
  void stopAll(Job job) {
    for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
      stop(job, task);
    }
    changed = true;
  }

  /**
   * Unassigns all tasks of a removed or quarantined job, so that they use no resources in the
   * accounting. This needs no evidence that their attempts have ended, since this leader starts
   * none of the job's tasks again.
   */
  void unassignAll(Job job) {
    for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
      unassign(job, task);
    }
  }

  /**
   * Handles a task record that the state service has rejected: releases the tasks whose placement
   * was to be written with it, and backs off the job.
   *
   * @param key the key of the rejected record
   */
  public void onPlacementRejected(String key) {
    for (Job job : registry.all()) {
      for (Map.Entry<Integer, PendingRecord> record : job.taskRecords().entrySet()) {
        if (record.getValue().key().equals(key)) {
          onPlacementRejected(job, record.getKey());
          return;
        }
      }
    }
  }

  private void onPlacementRejected(Job job, int record) {
    job.failures.backOff(runtime.now() + REJECTED_RECORD_BACKOFF_MS);
    for (int task = job.layout().firstTask(record); task < job.layout().endTask(record); task++) {
      if (job.stateOf(task) == TaskState.PLACING) {
        release(job, task, new EndEvidence.NeverSent());
      }
    }
  }

  /**
   * Releases an assigned task and queues it again if the evidence proves that its attempt has
   * ended.
   */
  public void release(Job job, int task, EndEvidence evidence) {
    if (guard.hasEnded(job, task, evidence)) {
      unassign(job, task);
      changed = true;
      completion.finishIfEnded(job);
    }
  }

  private void unassign(Job job, int task) {
    Machine machine = machines.get(job.machineOf(task));
    // A start that is still queued would begin an attempt that the machine was told to forget.
    machine.commands().withdraw(startCommand(job, task));
    boolean wasPlacing = job.stateOf(task) == TaskState.PLACING;
    if (wasPlacing) {
      machine.addPendingPlacements(-1);
    }
    machine.unassign(Job.taskReference(job.index, task), job.priority(), job.spec, !wasPlacing);
    if (machine.assigned.isEmpty()) {
      machine.setIdleSince(runtime.now());
    }
    quota.release(job.spec);
    assignedByPriority.add(job.priority(), -1);
    confirmAdopted(job, task);
    job.unassign(task, machine);
  }

  /** Completes an assigned task if the evidence proves that its attempt has ended. */
  public void complete(Job job, int task, EndEvidence evidence) {
    if (guard.hasEnded(job, task, evidence)) {
      unassign(job, task);
      recordResult(job, task);
    }
  }

  /** Completes a pending task, of which an earlier attempt was reported as done. */
  public void completePending(Job job, int task) {
    if (job.stateOf(task) == TaskState.PENDING) {
      recordResult(job, task);
    }
  }

  /** Records the result of a task. Its machine keeps the result until the record is durable. */
  private void recordResult(Job job, int task) {
    job.complete(task);
    changed = true;
    if (!job.isCancellationRecorded()) {
      job.resultPending.set(task);
      writer.enqueue(
          taskRecord(job, job.layout().recordOf(task)),
          RecordWriter.DEFERRABLE_URGENCY,
          () -> {
            job.resultPending.clear(task);
            // Other jobs may depend on it, so it is finished before the next periodic retry.
            completion.finishIfEnded(job);
          });
    }
    completion.finishIfEnded(job);
  }

  /**
   * Returns whether a worker may forget an ended attempt. It may not while the attempt is assigned
   * or the task's result is not durable yet.
   */
  public boolean isForgettable(String jobId, int task, long attempt) {
    Job job = registry.find(jobId);
    if (job == null || task >= job.taskCount()) {
      return true;
    }
    if (job.isAssigned(task)) {
      return job.attemptOf(task) != attempt;
    }
    return !job.resultPending.get(task);
  }

  /** Retries writing the final records of finished and aborted jobs. */
  public void retryFinishing() {
    List.copyOf(registry.all()).forEach(completion::finishIfEnded);
  }
}
