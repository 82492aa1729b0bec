package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Priority;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Which task may be where. The only place where tasks are bound, released and completed, so that
 * room, quota, zones and records always agree.
 */
public final class TaskAssignments {
  private static final long NOT_RECORDED_MS = 20_000;
  private static final int REMEMBERED = 5_000;

  /** Who wants to know how jobs come and go. */
  public interface Listener {
    default void joined(Job job) {}

    default void cancelled(Job job) {}

    /**
     * The job's record is no longer live; {@code phase} is null where that is all that is known.
     */
    default void over(Job job, JobStatus.Phase phase) {}
  }

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final Quota quota;
  private final KnownCancellations cancellations;
  private final AttemptGuard guard;
  private final SubmissionChunks parts;
  private final JobCompletion finisher;
  private final TaskRecordLoader loader;
  private final long token;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> byIndex = new ArrayList<>();

  /** Jobs that were over lately: what a watch still tells of their records is old. */
  private final Map<String, Boolean> ended = new LruMap<>(REMEMBERED);

  /** Jobs of which a record cannot be read: they are left as they are. */
  private final Set<String> quarantined = new HashSet<>();

  private long attempts;
  private long placements;
  private int unconfirmedAdopted;
  private final int[] assignedByPriority = new int[Priority.values().length];
  private boolean changed = true;
  private final List<Listener> listeners = new ArrayList<>();

  public TaskAssignments(
      CoreRuntime runtime,
      FormatGate gate,
      RecordWriter writer,
      MachineIndex machines,
      Quota quota,
      KnownCancellations cancellations,
      AttemptGuard guard,
      long token) {
    this.guard = guard;
    this.cancellations = cancellations;
    this.runtime = runtime;
    this.gate = gate;
    this.writer = writer;
    this.machines = machines;
    this.quota = quota;
    this.token = token;
    this.parts = new SubmissionChunks(runtime, writer);
    this.finisher = new JobCompletion(runtime, gate, writer, this);
    this.loader = new TaskRecordLoader(runtime, gate, writer, machines, this);
  }

  public void listen(Listener l) {
    listeners.add(l);
  }

  public Collection<Job> jobs() {
    return jobs.values();
  }

  public Job job(String id) {
    return jobs.get(id);
  }

  public Job job(long ref) {
    return byIndex.get((int) (ref >>> 32));
  }

  public static int task(long ref) {
    return (int) ref;
  }

  public Quota quota() {
    return quota;
  }

  /** Whether anything changed that could let a waiting task be placed; resets the mark. */
  public boolean consumeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  public void markChanged() {
    changed = true;
  }

  /** Adds a job or takes over a newer version of its record. */
  public void addJob(String id, JobRecord stored, long stamp) {
    if (ended.containsKey(id)) {
      return; // else it would be ended once more, at the cost of changes that fail
    }
    if (quarantined.contains(id)) {
      if (stored.phase() != JobStatus.Phase.ABORTED) {
        return;
      }
      quarantined.remove(id); // cancelled: whatever runs of it may be stopped
    }
    Job job = jobs.get(id);
    if (job == null && stored.incomplete()) {
      parts.read(id, stored, stamp, texts -> addChunkedJob(id, stored, stamp, texts));
      return;
    }
    if (job == null) {
      parts.forget(id);
      int zones = Math.max(machines.zoneCount(), 1);
      job = new Job(byIndex.size(), stored.spec(), stored.submittedWall(), zones);
      job.setSubmission(stored.submission());
      job.setChunkCount(stored.parts());
      if (gate.open()) {
        job.useSecondFormat(gate.spans(), gate.limits().valueBytes(), machines);
      } else {
        job.useFirstFormat(gate.spans().first());
      }
      byIndex.add(job);
      jobs.put(id, job);
      changed = true;
      Job added = job;
      listeners.forEach(l -> l.joined(added));
    }
    job.setVersion(Math.max(job.version(), stamp));
    if (stored.phase() == JobStatus.Phase.ABORTED && !job.isCancellationRecorded()) {
      cancel(job);
    }
  }

  /** Takes in a record whose parts have been read. */
  public void addChunkedJob(String id, JobRecord stored, long stamp, Map<String, String> parts) {
    try {
      addJob(id, stored.withParts(id, parts), stamp);
    } catch (MalformedException e) {
      runtime.note("unusable parts of " + id + ": " + e.getMessage());
    }
  }

  private void cancel(Job job) {
    boolean known = job.isCancelled();
    job.recordCancellation(cancellations.knownUntil());
    runtime.note(job.spec.id() + " cancelled, " + job.assigned() + " tasks to stop");
    if (!known) {
      stopAll(job);
    }
    listeners.forEach(l -> l.cancelled(job));
  }

  /**
   * A user was told that the job is cancelled; that is durable, but may not have been read here
   * yet. What runs of it is stopped at once; all else waits for the record.
   */
  public void cancelConfirmed(String id) {
    Job job = jobs.get(id);
    if (job != null && !job.isCancelled()) {
      job.confirmCancellation(cancellations.knownUntil());
      runtime.note(id + " cancelled by what users were told, " + job.assigned() + " tasks to stop");
      stopAll(job);
    }
  }

  private void stopAll(Job job) {
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        stop(job, task);
      }
    }
    changed = true;
  }

  /** The record is no longer live: nothing of the job is left to do. */
  public void removeJob(String id) {
    parts.forget(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    ended.put(id, true);
    // Only a leader moves a record, under its version as we last read it: what we were about to
    // write is what it became.
    JobStatus.Phase phase =
        !job.isFinishing()
            ? null
            : job.isCancellationRecorded() ? JobStatus.Phase.ABORTED : JobStatus.Phase.DONE;
    listeners.forEach(l -> l.over(job, phase));
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        detach(job, task); // not to wait again: nothing of the job is ever started any more
      }
    }
    for (PendingRecord record : job.taskRecords()) {
      if (record != null) {
        writer.forget(record);
      }
    }
    job.firstFormatRecords.forEach(writer::forget);
    byIndex.set(job.index, null);
    changed = true;
  }

  public PendingRecord taskRecord(Job job, int chunk) {
    if (job.taskRecord(chunk) == null) {
      String id = job.spec.id();
      job.setTaskRecord(
          chunk,
          writer.slot(
              job.isSecondFormat() ? StorageKeys.tasks2(id, chunk) : StorageKeys.tasks(id, chunk),
              0,
              () -> job.taskRecordJson(chunk, machines),
              () -> new Condition(StorageKeys.job(id), job.version())));
    }
    return job.taskRecord(chunk);
  }

  /** Takes over a stored record of tasks: results, and tasks that an earlier leader bound. */
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

  /** Binds a task that an earlier leader placed. */
  void adopt(Job job, int task, Machine machine, long attempt, long session) {
    take(job, task, machine, attempt, session);
    job.setState(task, TaskState.STARTING);
    job.adopted.set(task);
    machine.addAdoptedTasks(1);
    unconfirmedAdopted++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
  }

  private void take(Job job, int task, Machine machine, long attempt, long session) {
    job.setMachineOf(task, machine.index);
    job.setAttemptOf(task, attempt);
    job.setEpochOf(task, session);
    job.setStateSince(task, MonotonicTime.NEVER);
    job.addPending(-1);
    job.addAssigned(1);
    job.addAssignedInZone(machine.zone(), 1);
    job.adjustOnMachine(machine.index, 1);
    assignedByPriority[job.priority().ordinal()]++;
    job.adjustRecordSize(task, machine, 1);
    machine.assigned.add(Job.ref(job.index, task));
    machine.adjustCount(job.priority(), 1);
    machine.adjustUsage(job.spec, 1);
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

  /**
   * Leaves a job alone of which a record cannot be read. What has been taken in of it is let go: no
   * room is counted for it, and its machines get nothing new while they list its tasks.
   */
  public void quarantine(String id) {
    quarantined.add(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    listeners.forEach(l -> l.over(job, null));
    for (int task = 0; task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        unbind(job, task);
      }
    }
    byIndex.set(job.index, null);
    changed = true;
  }

  public boolean isQuarantined(String id) {
    return quarantined.contains(id);
  }

  /** A job has the priority of the most urgent one that needs it. */
  public void reprioritize(Job job, Priority priority) {
    if (priority != job.priority()) {
      assignedByPriority[job.priority().ordinal()] -= job.assigned();
      assignedByPriority[priority.ordinal()] += job.assigned();
      for (int task = 0; job.assigned() > 0 && task < job.taskCount(); task++) {
        if (job.isAssigned(task)) {
          machines.get(job.machineOf(task)).adjustCount(job.priority(), -1);
          machines.get(job.machineOf(task)).adjustCount(priority, 1);
        }
      }
      job.setPriority(priority);
      changed = true;
    }
  }

  /** How many tasks that may be on machines are of lower priority than this. */
  public int assignedBelow(Priority priority) {
    int n = 0;
    for (int i = priority.ordinal() + 1; i < assignedByPriority.length; i++) {
      n += assignedByPriority[i];
    }
    return n;
  }

  /** How many tasks this leader has placed. */
  public long placements() {
    return placements;
  }

  /**
   * The zone of a machine has become known. What is bound there moves with it: counted in the old
   * zone and released in the new one, a job's tasks would be too few there for ever, and one more
   * than its spread allows would start (wrong_place).
   */
  public void setZone(Machine machine, int zone) {
    if (zone != machine.zone()) {
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        Job j = job(ref);
        j.addAssignedInZone(machine.zone(), -1);
        j.addAssignedInZone(zone, 1);
      }
      machine.setZone(zone);
    }
  }

  /** A number that no attempt under any leader has had. */
  public long newAttempt() {
    return (token << TaskLayout.ATTEMPT_BITS) + ++attempts;
  }

  /** Binds a pending task; its start is sent when the placement is durable. */
  public void assign(Job job, int task, Machine machine, long attempt) {
    take(job, task, machine, attempt, machine.epoch());
    job.setState(task, TaskState.PLACING);
    job.setPlacedWall(runtime.wallMs());
    placements++;
    machine.touchImage(job.spec.image(), job.spec.imageGb());
    writer.mark(
        taskRecord(job, job.layout().recordOf(task)),
        job.priority().ordinal(),
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
    runtime.note("start " + job.spec.id() + "/" + task + " on " + machine.id);
    machine.commands().add(startCommand(job, task));
  }

  /** Whether a start that was decided earlier may leave for this machine now. */
  public boolean mayStart(Machine machine, Command start) {
    return guard.mayStart(machine, jobs.get(start.job()), start);
  }

  public Command startCommand(Job job, int task) {
    return new Command(Command.Op.START, job.spec.id(), task, job.attemptOf(task), 0);
  }

  public Command stopCommand(Job job, int task) {
    boolean saves = !job.isCancelled() && job.spec.checkpointS() > 0 && job.spec.saveS() > 0;
    return new Command(
        Command.Op.STOP,
        job.spec.id(),
        task,
        job.attemptOf(task),
        saves ? job.spec.saveS() + 1 : 0);
  }

  /** Tells a bound task to stop; it stays bound until it is seen to have ended. */
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

  /**
   * The state service will not have a record of tasks: the placements in it never happened, and the
   * job is left alone for a while.
   */
  public void placementRejected(String key) {
    for (Job job : jobs.values()) {
      for (int c = 0; c < job.taskRecords().length; c++) {
        if (job.taskRecord(c) == null || !job.taskRecord(c).key.equals(key)) {
          continue;
        }
        job.setBackOffUntil(runtime.now() + NOT_RECORDED_MS);
        for (int task = job.layout().from(c); task < job.layout().to(c); task++) {
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
      finisher.finishIfOver(job);
    }
  }

  private void detach(Job job, int task) {
    unbind(job, task);
    job.setState(task, TaskState.PENDING);
    job.addPending(1);
  }

  private void unbind(Job job, int task) {
    Machine machine = machines.get(job.machineOf(task));
    machine.assigned.remove(Job.ref(job.index, task));
    // A start that still waits there would begin an attempt that the machine has been told to
    // forget.
    machine.commands().withdraw(startCommand(job, task));
    machine.adjustCount(job.priority(), -1);
    machine.adjustUsage(job.spec, -1);
    if (machine.assigned.isEmpty()) {
      machine.setIdleSince(runtime.now());
    }
    quota.release(job.spec);
    job.addAssignedInZone(machine.zone(), -1);
    job.addAssigned(-1);
    job.adjustOnMachine(machine.index, -1);
    assignedByPriority[job.priority().ordinal()]--;
    job.adjustRecordSize(task, machine, -1);
    job.stopping.clear(task);
    confirmAdopted(job, task);
    job.setMachineOf(task, -1);
  }

  /** A bound task's attempt has ended with its result, if the evidence proves that. */
  public void complete(Job job, int task, EndEvidence evidence) {
    if (guard.hasEnded(job, task, evidence)) {
      unbind(job, task);
      completed(job, task);
    }
  }

  /** The result of a task that waits has turned up: an earlier attempt of it had ended with it. */
  public void completeWaiting(Job job, int task) {
    if (job.stateOf(task) == TaskState.PENDING) {
      job.addPending(-1);
      completed(job, task);
    }
  }

  /** The task's result is kept by its machine until the record of it is durable. */
  private void completed(Job job, int task) {
    job.setState(task, TaskState.DONE);
    job.addDone(1);
    changed = true;
    if (!job.isCancellationRecorded()) {
      job.resultPending.set(task);
      writer.mark(
          taskRecord(job, job.layout().recordOf(task)),
          RecordWriter.CAN_WAIT,
          () -> {
            job.resultPending.clear(task);
            finisher.finishIfOver(job); // others may wait for it: not only at the next sweep
          });
    }
    finisher.finishIfOver(job);
  }

  /** Whether a worker may forget this ended attempt. */
  public boolean forgettable(String jobId, int task, long attempt) {
    Job job = jobs.get(jobId);
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
    List.copyOf(jobs.values()).forEach(finisher::finishIfOver);
  }

  /** Reads a job's record again after a write that did not go through as expected. */
  public void rereadJob(String id) {
    rereadJob(id, () -> {});
  }

  /** The same, and goes on whatever came of it. */
  public void rereadJob(String id, Runnable then) {
    runtime.callState(
        "GET",
        "/kv/" + StorageKeys.job(id),
        null,
        1500,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 404) {
            removeJob(id);
          } else if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              StateMessage.Entry entry = StateMessage.entry(body);
              addJob(id, JobRecord.parse(entry.value()), entry.stamp());
            } catch (MalformedException e) {
              runtime.note("unusable record of " + id + ": " + e.getMessage());
            }
          }
          then.run();
        });
  }
}
