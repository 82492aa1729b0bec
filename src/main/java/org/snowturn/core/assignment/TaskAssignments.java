package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
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
 * Which task may be where. The only place where tasks are assigned, released and completed, so that
 * room, quota, zones and records always agree.
 */
public final class TaskAssignments {
  private static final long NOT_RECORDED_MS = 20_000;

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final Quota quota;
  private final AttemptGuard guard;
  private final JobRegistry registry;
  private final JobCompletion completion;
  private final TaskRecordLoader loader;
  private long attempts;
  private long placements;
  private int unconfirmedAdopted;
  private final PriorityCounts assignedByPriority = new PriorityCounts();
  private boolean changed = true;

  /**
   * No job is known yet.
   *
   * @param guard decides whether an attempt has ended and whether a start may leave
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

  /** The live jobs, and how they come and go. */
  public JobRegistry registry() {
    return registry;
  }

  /** All live jobs. */
  public Collection<Job> jobs() {
    return registry.all();
  }

  /** The live job with this id; null if there is none. */
  public Job job(String id) {
    return registry.find(id);
  }

  /** The job of a task that {@link Job#ref} names. */
  public Job job(long ref) {
    return registry.byReference(ref);
  }

  /** The task that {@link Job#ref} names. */
  public static int task(long ref) {
    return (int) ref;
  }

  /** What each team uses. */
  public Quota quota() {
    return quota;
  }

  /** Whether anything changed that could let a waiting task be placed; resets the mark. */
  public boolean consumeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** Something changed that could let a waiting task be placed. */
  public void markChanged() {
    changed = true;
  }

  /** The record that tasks share, made at its first use. */
  public PendingRecord taskRecord(Job job, int chunk) {
    if (job.taskRecord(chunk) == null) {
      String id = job.spec.id();
      job.setTaskRecord(
          chunk,
          writer.getOrAddRecord(
              job.isSecondFormat()
                  ? StorageKeys.secondFormatTasks(id, chunk)
                  : StorageKeys.firstFormatTasks(id, chunk),
              0,
              () -> job.taskRecordJson(chunk, machines),
              () -> new Condition(StorageKeys.job(id), job.version())));
    }
    return job.taskRecord(chunk);
  }

  /** Takes over a stored record of tasks: results, and tasks that an earlier leader assigned. */
  public void loadTaskRecord(Job job, int chunk, JsonNode value, long stamp) {
    loader.loadChunk(job, chunk, value, stamp);
  }

  /** The same of the first format, after the gate has opened. */
  public void loadFirstFormatRecord(Job job, int chunk, JsonNode value, long stamp) {
    loader.loadOlderChunk(job, chunk, value, stamp);
  }

  /** Goes on in the second format with the jobs that can; tells whether some are left. */
  public boolean useSecondFormat() {
    return loader.useSecondFormat();
  }

  /** Some page of the registry could not be read: which machines are on none is not known. */
  public void registryIncomplete() {
    loader.registryIncomplete();
  }

  /** Assigns a task that an earlier leader placed. */
  void adopt(Job job, int task, Machine machine, long attempt, long session) {
    take(job, task, machine, attempt, session, TaskState.STARTING);
    job.adopted.set(task);
    machine.addAdoptedTasks(1);
    unconfirmedAdopted++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
  }

  private void take(
      Job job, int task, Machine machine, long attempt, long session, TaskState state) {
    job.assign(task, machine, attempt, session, state);
    assignedByPriority.add(job.priority(), 1);
    machine.assign(Job.ref(job.index, task), job.priority(), job.spec);
    quota.acquire(job.spec);
  }

  /** An inherited task was seen under this token, or has ended. */
  public void confirmAdopted(Job job, int task) {
    if (job.adopted.get(task)) {
      job.adopted.clear(task);
      machines.get(job.machineOf(task)).addAdoptedTasks(-1);
      unconfirmedAdopted--;
    }
  }

  /** How many tasks that an earlier leader placed are neither seen under this token nor ended. */
  public int unconfirmedAdopted() {
    return unconfirmedAdopted;
  }

  /** A job has the priority of the most urgent one that needs it. */
  public void reprioritize(Job job, Priority priority) {
    if (priority != job.priority()) {
      assignedByPriority.add(job.priority(), -job.assigned());
      assignedByPriority.add(priority, job.assigned());
      for (int task = 0; job.assigned() > 0 && task < job.taskCount(); task++) {
        if (job.isAssigned(task)) {
          machines.get(job.machineOf(task)).reprioritize(job.priority(), priority);
        }
      }
      job.setPriority(priority);
      changed = true;
    }
  }

  /** How many tasks that may be on machines are of lower priority than this. */
  public int assignedBelow(Priority priority) {
    return assignedByPriority.below(priority);
  }

  /** How many tasks this leader has placed. */
  public long placements() {
    return placements;
  }

  /**
   * The zone of a machine has become known. What is assigned there moves with it: counted in the
   * old zone and released in the new one, a job's tasks would be too few there for ever, and one
   * more than its spread allows would start (wrong_place).
   */
  public void setZone(Machine machine, int zone) {
    if (zone != machine.zone()) {
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        job(ref).moveZone(machine.zone(), zone);
      }
      machine.setZone(zone);
    }
  }

  /** A number that no attempt under any leader has had. */
  public long newAttempt() {
    return (guard.token() << TaskLayout.ATTEMPT_COUNTER_BITS) + ++attempts;
  }

  /** Assigns a pending task; its start is sent when the placement is durable. */
  public void assign(Job job, int task, Machine machine, long attempt) {
    take(job, task, machine, attempt, machine.epoch(), TaskState.PLACING);
    job.setPlacedWall(runtime.wallMs());
    placements++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
    writer.enqueue(
        taskRecord(job, job.layout().recordOf(task)),
        job.priority().level(),
        () -> sendStart(job, task, attempt));
  }

  private void sendStart(Job job, int task, long attempt) {
    if (job.stateOf(task) != TaskState.PLACING || job.attemptOf(task) != attempt) {
      return;
    }
    Machine machine = machines.get(job.machineOf(task));
    if (job.isCancelled() || job.epochOf(task) != machine.epoch() || machine.isTerminated()) {
      release(job, task, new EndEvidence.NeverSent());
      return;
    }
    job.setState(task, TaskState.STARTING);
    runtime
        .events()
        .info(LogEvent.START_SENT)
        .with(LogField.TASK, job.spec.id() + "/" + task)
        .with(LogField.ATTEMPT, attempt)
        .with(LogField.MACHINE, machine.id)
        .write();
    machine.commands().add(startCommand(job, task));
  }

  /** Whether a start that was decided earlier may leave for this machine now. */
  public boolean mayStart(Machine machine, Command start) {
    return guard.mayStart(machine, registry.find(start.job()), start);
  }

  /** The command to start a task's attempt. */
  public Command startCommand(Job job, int task) {
    return new Command(Command.Op.START, job.spec.id(), task, job.attemptOf(task), 0);
  }

  /** The command to stop a task's attempt, with the time to save a checkpoint if it has one. */
  public Command stopCommand(Job job, int task) {
    boolean saves =
        !job.isCancelled() && job.spec.checkpointIntervalS() > 0 && job.spec.checkpointWriteS() > 0;
    return new Command(
        Command.Op.STOP,
        job.spec.id(),
        task,
        job.attemptOf(task),
        saves ? job.spec.checkpointWriteS() + 1 : 0);
  }

  /** Tells an assigned task to stop; it stays assigned until it is seen to have ended. */
  public void stop(Job job, int task) {
    if (job.stateOf(task) == TaskState.PLACING) {
      release(job, task, new EndEvidence.NeverSent());
      return;
    }
    job.stopping.set(task);
    Machine machine = machines.get(job.machineOf(task));
    machine
        .commands()
        .withdraw(
            startCommand(job, task)); // what has not left must not start: users may have been told
    if (machine.epoch() == job.epochOf(task)) {
      machine.commands().add(stopCommand(job, task));
    }
  }

  /** Tells all assigned tasks of a job to stop. */
  void stopAll(Job job) {
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        stop(job, task);
      }
    }
    changed = true;
  }

  /** Nothing of the job is ever started any more: its tasks are released without any evidence. */
  void detachAll(Job job) {
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        detach(job, task);
      }
    }
  }

  /** The job is left alone: no room is counted for its tasks any more. */
  void unassignAll(Job job) {
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        unassign(job, task);
      }
    }
  }

  /**
   * The state service will not have a record of tasks: the placements in it never happened, and the
   * job is left alone for a while.
   */
  public void placementRejected(String key) {
    for (Job job : registry.all()) {
      for (int index = 0; index < job.taskRecords().length; index++) {
        if (job.taskRecord(index) == null || !job.taskRecord(index).key().equals(key)) {
          continue;
        }
        job.failures.backOff(runtime.now() + NOT_RECORDED_MS);
        for (int task = job.layout().firstTask(index); task < job.layout().endTask(index); task++) {
          if (job.stateOf(task) == TaskState.PLACING) {
            release(job, task, new EndEvidence.NeverSent());
          }
        }
        return;
      }
    }
  }

  /** The task waits again if the evidence proves that its attempt has ended without a result. */
  public void release(Job job, int task, EndEvidence evidence) {
    if (guard.hasEnded(job, task, evidence)) {
      detach(job, task);
      changed = true;
      completion.finishIfOver(job);
    }
  }

  private void detach(Job job, int task) {
    unassign(job, task);
    job.requeue(task);
  }

  private void unassign(Job job, int task) {
    Machine machine = machines.get(job.machineOf(task));
    // A start that still waits there would begin an attempt that the machine has been told to
    // forget.
    machine.commands().withdraw(startCommand(job, task));
    machine.unassign(Job.ref(job.index, task), job.priority(), job.spec);
    if (machine.assigned.isEmpty()) {
      machine.setIdleSince(runtime.now());
    }
    quota.release(job.spec);
    assignedByPriority.add(job.priority(), -1);
    confirmAdopted(job, task);
    job.unassign(task, machine);
  }

  /** An assigned task's attempt has ended with its result, if the evidence proves that. */
  public void complete(Job job, int task, EndEvidence evidence) {
    if (guard.hasEnded(job, task, evidence)) {
      unassign(job, task);
      completed(job, task);
    }
  }

  /** The result of a task that waits has turned up: an earlier attempt of it had ended with it. */
  public void completeWaiting(Job job, int task) {
    if (job.stateOf(task) == TaskState.PENDING) {
      completed(job, task);
    }
  }

  /** The task's result is kept by its machine until the record of it is durable. */
  private void completed(Job job, int task) {
    job.complete(task);
    changed = true;
    if (!job.isCancellationRecorded()) {
      job.resultPending.set(task);
      writer.enqueue(
          taskRecord(job, job.layout().recordOf(task)),
          RecordWriter.DEFERRABLE_URGENCY,
          () -> {
            job.resultPending.clear(task);
            completion.finishIfOver(job); // others may wait for it: not only at the next sweep
          });
    }
    completion.finishIfOver(job);
  }

  /** Whether a worker may forget this ended attempt. */
  public boolean forgettable(String jobId, int task, long attempt) {
    Job job = registry.find(jobId);
    if (job == null || task >= job.taskCount()) {
      return true;
    }
    if (job.isAssigned(task)) {
      return job.attemptOf(task) != attempt;
    }
    return !job.resultPending.get(task);
  }

  /** Tries again to finish the jobs that are over. */
  public void retryFinishing() {
    List.copyOf(registry.all()).forEach(completion::finishIfOver);
  }
}
