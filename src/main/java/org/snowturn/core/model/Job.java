package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import org.agrona.collections.Int2IntHashMap;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.core.storage.TasksPerRecord;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Priority;

/**
 * A live job as the leader sees it. Its memory grows with its assigned tasks, so that thousands of
 * jobs with 100,000 tasks each may wait.
 *
 * <p>A task is assigned while it may be on a machine: from before its placement is written until
 * there is proof that its attempt has ended. Wall-clock times ({@code ...WallMs}) are milliseconds
 * since the epoch of the system clock; other times are those of the monotonic clock ({@link
 * MonotonicTime}).
 */
public final class Job {
  /** Time that a replica must have been running before it may be moved. */
  private static final long MIN_RUN_BEFORE_MOVE_MS = 40_000;

  private static final int MS_PER_S = 1000;

  /** Maximum number of run times that are kept of a job; they are sorted for the median. */
  private static final int MAX_RUN_TIMES = 2048;

  /** The dense index of this job among all jobs of the leader's term. */
  public final int index;

  /** The specification of the job. */
  public final JobSpec spec;

  /** The time of submission. */
  public final long submittedWallMs;

  private final TaskTable tasks;
  private final JobTaskRecords records;

  /** What scheduling rounds remember of the job. */
  public final JobSchedulingState scheduling = new JobSchedulingState();

  /** The failure history of the tasks. */
  public final JobFailures failures = new JobFailures();

  /** The tasks for which a stop command was issued. */
  public final BitSet stopping = new BitSet();

  /** The tasks that an earlier leader assigned and that this leader has not seen yet. */
  public final BitSet adopted = new BitSet();

  /** The tasks that were restarted once, as the stored record lists them. */
  public final BitSet restarted = new BitSet();

  /** The tasks whose results are not known to be durable yet. */
  public final BitSet resultPending = new BitSet();

  /** The run times of finished tasks, in seconds. */
  public final DoubleSamples runTimes = new DoubleSamples(MAX_RUN_TIMES);

  /** Number of assigned tasks by zone index. */
  private final int[] assignedInZone;

  /** Number of assigned tasks by machine index; used for services only. */
  private final Int2IntHashMap replicasByMachine = new Int2IntHashMap(0);

  /** The ids of the jobs that this job depends on and that are not known to be durably done. */
  public final UnmetDependencies unmetDependencies;

  /** The name of the stored chunks if the record is longer than a value; null otherwise. */
  private String submission;

  /** The number of stored chunks; 0 if the record fits in one value. */
  private int chunkCount;

  /** The highest priority among the job itself and the jobs that depend on it. */
  private Priority priority;

  /** The latest end of the job that lets the jobs depending on it meet their deadlines. */
  private double dependentsDeadlineWallMs = Double.MAX_VALUE;

  /** The latest such end for deadlines extended to one and a half times their length. */
  private double dependentsLateDeadlineWallMs = Double.MAX_VALUE;

  /** The time at which the last dependency was done; waiting times are counted from then on. */
  private long releasedWallMs;

  private long version;
  private Cancellation cancellation = Cancellation.NONE;

  /** The earliest time at which a user may have received a confirmation of the cancellation. */
  private long earliestConfirmationAt = MonotonicTime.UNSET;

  private boolean finishing;
  private int restarts;

  /** The task at which the search for the next pending task begins. */
  private int nextPendingHint;

  /**
   * Creates a job whose tasks are all pending.
   *
   * @param index the dense index of the job
   * @param spec the specification of the job
   * @param submittedWallMs the time of submission
   * @param zones the number of zone indices
   */
  public Job(int index, JobSpec spec, long submittedWallMs, int zones) {
    this.index = index;
    this.spec = spec;
    this.submittedWallMs = submittedWallMs;
    this.releasedWallMs = submittedWallMs;
    this.priority = spec.priority();
    this.unmetDependencies = UnmetDependencies.of(spec.dependencies());
    tasks = new TaskTable(spec.tasks());
    records = new JobTaskRecords(spec.tasks());
    assignedInZone = new int[zones];
  }

  /**
   * Stores the tasks in records of the first format, which is what the version in production
   * writes.
   *
   * @param tasksPerRecord the number of tasks that share a record
   */
  public void useFirstFormat(int tasksPerRecord) {
    records.useFirstFormat(tasksPerRecord);
  }

  /**
   * Stores the tasks in records of the second format from now on. Records of the first format stay
   * until the job is over.
   *
   * @param recordSizes the number of tasks per record in each format
   * @param maxValueBytes the maximum size of a stored value in bytes
   * @param machines the machines that tasks are assigned to
   */
  public void useSecondFormat(
      TasksPerRecord recordSizes, int maxValueBytes, MachineIndex machines) {
    records.useSecondFormat(recordSizes, maxValueBytes);
    for (int task = nextAssigned(0); task >= 0; task = nextAssigned(task + 1)) {
      records.adjustSize(task, machines.get(tasks.machine(task)), 1);
    }
  }

  /** Returns whether the job waits for other jobs; until they are done it is not scheduled. */
  public boolean awaitsDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Returns whether the job has tasks to place, regardless of free capacity and quota. */
  public boolean hasPlaceableTasks() {
    return tasks.pending() > 0 && !isCancelled() && !awaitsDependencies();
  }

  /**
   * Returns a reference that identifies a task across all jobs.
   *
   * @param job the index of the job
   * @param task the index of the task within the job
   */
  public static long taskReference(int job, int task) {
    return ((long) job << 32) | task;
  }

  /** Sets the state of an assigned task. */
  public void setState(int task, TaskState next) {
    tasks.setState(task, next);
  }

  /**
   * Assigns a pending task to a machine; the assignment may be one of an earlier leader.
   *
   * @param task the index of the task
   * @param machine the machine
   * @param attempt the number of the attempt
   * @param epoch the epoch of the machine's agent
   * @param state the first state of the assigned task
   */
  public void assign(int task, Machine machine, long attempt, long epoch, TaskState state) {
    tasks.assign(task, machine.index, attempt, epoch, state);
    assignedInZone[machine.zone()]++;
    adjustReplicas(machine.index, 1);
    records.adjustSize(task, machine, 1);
  }

  /** Removes a task from its machine and makes it pending again. */
  public void unassign(int task, Machine machine) {
    tasks.unassign(task);
    assignedInZone[machine.zone()]--;
    adjustReplicas(machine.index, -1);
    records.adjustSize(task, machine, -1);
    stopping.clear(task);
  }

  /** Marks a pending task as done. */
  public void complete(int task) {
    tasks.complete(task);
    failures.forgetTask(task);
  }

  /** Counts an assigned task in another zone, after its machine's zone has become known. */
  public void moveZone(int from, int to) {
    assignedInZone[from]--;
    assignedInZone[to]++;
  }

  private void adjustReplicas(int machineIndex, int sign) {
    if (spec.isService()) {
      int count = replicasByMachine.get(machineIndex) + sign;
      if (count == 0) {
        replicasByMachine.remove(machineIndex);
      } else {
        replicasByMachine.put(machineIndex, count);
      }
    }
  }

  /** Returns how many of a service's tasks are assigned to the machine; 0 for other jobs. */
  public int replicasOn(Machine machine) {
    return replicasByMachine.get(machine.index);
  }

  /** Returns whether the task is assigned, so that it may be on a machine. */
  public boolean isAssigned(int task) {
    return stateOf(task).isAssigned();
  }

  /**
   * Returns whether the task is a replica that may be moved: it has been running for a while, and
   * no other task of the service is pending.
   */
  public boolean isMovable(int task, long now) {
    return spec.isService()
        && stateOf(task) == TaskState.RUNNING
        && !stopping.get(task)
        && tasks.pending() == 0
        && now - tasks.runningSince(task) > MIN_RUN_BEFORE_MOVE_MS;
  }

  /** Returns a pending task whose record has space for its placement; -1 if there is none. */
  public int nextPending() {
    if (tasks.pending() == 0) {
      return -1;
    }
    int task = tasks.nextPending(nextPendingHint, records::skipFullRecord);
    nextPendingHint = task >= 0 ? task : nextPendingHint;
    return task;
  }

  /**
   * Returns the first assigned task from this one on; -1 if there is none. The cost of visiting all
   * assigned tasks hardly grows with the number of other tasks.
   */
  public int nextAssigned(int from) {
    return tasks.nextAssigned(from);
  }

  /** Returns the median run time of finished tasks in seconds; NaN if there are none. */
  public double medianRunTimeS() {
    return runTimes.median();
  }

  /**
   * Returns the time by which the job must be done, for its own deadline and those of the jobs that
   * depend on it; {@link Double#MAX_VALUE} if there is no deadline.
   *
   * @param factor the factor by which deadlines are extended; 1 for the submitted ones
   */
  public double deadlineWallMs(double factor) {
    double own =
        Double.isNaN(spec.deadlineS())
            ? Double.MAX_VALUE
            : submittedWallMs + spec.deadlineS() * MS_PER_S * factor;
    return Math.min(own, factor > 1 ? dependentsLateDeadlineWallMs : dependentsDeadlineWallMs);
  }

  /** Returns whether the job is cancelled: by a confirmation to a user or by the stored record. */
  public boolean isCancelled() {
    return cancellation != Cancellation.NONE;
  }

  /** Returns the job's record once cancelled, without the fields needed only to start tasks. */
  public JobRecord cancelledRecord() {
    return new JobRecord(
        JobStatus.Phase.ABORTED,
        submittedWallMs,
        spec.withoutStartFields(),
        submission,
        chunkCount,
        false);
  }

  /** Returns the number of assigned tasks by zone index, as a copy that the caller may change. */
  public int[] copyOfAssignedInZone() {
    return assignedInZone.clone();
  }

  /** Adds the number of tasks in each state to the counts. */
  public void countStates(TaskStateCounts counts) {
    tasks.countStates(counts);
  }

  /** Returns the number of tasks. */
  public int taskCount() {
    return tasks.size();
  }

  /** Returns the stored form of one of the task records, by the index of the record. */
  public JsonNode taskRecordJson(int recordIndex, MachineIndex machines) {
    return records.isSecondFormat()
        ? TaskRecords.secondFormatJson(this, recordIndex, machines)
        : TaskRecords.firstFormatJson(this, recordIndex, machines);
  }

  /** Returns the state of the task. */
  public TaskState stateOf(int task) {
    return tasks.state(task);
  }

  /** Returns the index of the machine that the task is assigned to; -1 if it is unassigned. */
  public int machineOf(int task) {
    return tasks.machine(task);
  }

  /** Returns the number of the task's attempt; 0 if the task is unassigned. */
  public long attemptOf(int task) {
    return tasks.attempt(task);
  }

  /**
   * Returns the epoch of the machine's agent under which the task was assigned; 0 if the task is
   * unassigned.
   */
  public long epochOf(int task) {
    return tasks.epoch(task);
  }

  /** Returns the time since which the task is running; {@link MonotonicTime#UNSET} if unknown. */
  public long runningSince(int task) {
    return tasks.runningSince(task);
  }

  /**
   * Sets the time since which an assigned task is running; {@link MonotonicTime#UNSET} if unknown.
   */
  public void setRunningSince(int task, long since) {
    tasks.setRunningSince(task, since);
  }

  /** Returns the assignment of tasks to records. */
  public TaskLayout layout() {
    return records.layout();
  }

  /** Returns whether the task records are of the second format. */
  public boolean isSecondFormat() {
    return records.isSecondFormat();
  }

  /** Returns one of the task records; null if it does not exist yet. */
  public PendingRecord taskRecord(int index) {
    return records.records().get(index);
  }

  /** Sets one of the task records. */
  public void setTaskRecord(int index, PendingRecord record) {
    records.records().put(index, record);
  }

  /** Returns the task records that have been used, by index. */
  public SortedMap<Integer, PendingRecord> taskRecords() {
    return Collections.unmodifiableSortedMap(records.records());
  }

  /** Returns the records of the first format that a job of the second format still has. */
  public List<PendingRecord> firstFormatRecords() {
    return records.firstFormatRecords();
  }

  /** Returns the number of assigned tasks in the zone. */
  public int assignedInZone(int zone) {
    return assignedInZone[zone];
  }

  /** Returns the name of the stored chunks; null if the record fits in one value. */
  public String submission() {
    return submission;
  }

  /** Sets the name of the stored chunks. */
  public void setSubmission(String submission) {
    this.submission = submission;
  }

  /** Returns the number of stored chunks; 0 if the record fits in one value. */
  public int chunkCount() {
    return chunkCount;
  }

  /** Sets the number of stored chunks. */
  public void setChunkCount(int chunkCount) {
    this.chunkCount = chunkCount;
  }

  /** Returns the highest priority among the job itself and the jobs that depend on it. */
  public Priority priority() {
    return priority;
  }

  /** Sets the effective priority: the job's own, or a higher one of a job that depends on it. */
  public void setPriority(Priority priority) {
    this.priority = priority;
  }

  /**
   * Returns the latest end of the job that lets the jobs depending on it meet their deadlines;
   * {@link Double#MAX_VALUE} if they have none.
   */
  public double dependentsDeadlineWallMs() {
    return dependentsDeadlineWallMs;
  }

  /** Sets the latest end of the job that lets the jobs depending on it meet their deadlines. */
  public void setDependentsDeadlineWallMs(double dependentsDeadlineWallMs) {
    this.dependentsDeadlineWallMs = dependentsDeadlineWallMs;
  }

  /**
   * Returns the latest end of the job that lets the jobs depending on it meet their deadlines when
   * these are extended to one and a half times their length; {@link Double#MAX_VALUE} if they have
   * none.
   */
  public double dependentsLateDeadlineWallMs() {
    return dependentsLateDeadlineWallMs;
  }

  /** Sets the latest end of the job for the extended deadlines of the jobs depending on it. */
  public void setDependentsLateDeadlineWallMs(double dependentsLateDeadlineWallMs) {
    this.dependentsLateDeadlineWallMs = dependentsLateDeadlineWallMs;
  }

  /**
   * Returns the time at which the last dependency was done, or the time of submission if there are
   * none. Waiting times are counted from then on.
   */
  public long releasedWallMs() {
    return releasedWallMs;
  }

  /** Sets the time at which the last dependency was done. */
  public void setReleasedWallMs(long releasedWallMs) {
    this.releasedWallMs = releasedWallMs;
  }

  /** Returns the version of the stored record. */
  public long version() {
    return version;
  }

  /** Sets the version of the stored record. */
  public void setVersion(long version) {
    this.version = version;
  }

  /** Returns whether the stored record says that the job is cancelled. */
  public boolean isCancellationRecorded() {
    return cancellation == Cancellation.RECORDED;
  }

  /**
   * Records that a user has received a confirmation of the cancellation, while the record has not
   * been read since. The tasks are stopped and none is placed, but the confirmation alone is no
   * reason to write, forget or complete anything.
   *
   * @param earliestAt the earliest time at which a user may have received the confirmation
   */
  public void confirmCancellation(long earliestAt) {
    if (cancellation == Cancellation.NONE) {
      cancellation = Cancellation.CONFIRMED;
      earliestConfirmationAt = earliestAt;
    }
  }

  /**
   * Records that the stored record says that the job is cancelled.
   *
   * @param earliestAt the earliest time at which a user may have received the confirmation; ignored
   *     if that is known already
   */
  public void recordCancellation(long earliestAt) {
    confirmCancellation(earliestAt);
    cancellation = Cancellation.RECORDED;
  }

  /** Returns the earliest time at which a user may have received the confirmation. */
  public long earliestConfirmationAt() {
    return earliestConfirmationAt;
  }

  /** Returns whether the record is being moved to the finished jobs. */
  public boolean isFinishing() {
    return finishing;
  }

  /** Records that the move of the record to the finished jobs begins. */
  public void beginFinishing() {
    finishing = true;
  }

  /** Records that the move of the record has failed, so that it may be retried. */
  public void abortFinishing() {
    finishing = false;
  }

  /** Returns the number of pending tasks. */
  public int pending() {
    return tasks.pending();
  }

  /** Returns the number of assigned tasks. */
  public int assigned() {
    return tasks.assigned();
  }

  /** Returns the number of running tasks. */
  public int running() {
    return tasks.running();
  }

  /** Returns the number of done tasks. */
  public int done() {
    return tasks.done();
  }

  /** Returns the number of restarts of tasks. */
  public int restarts() {
    return restarts;
  }

  /** Sets the number of restarts of tasks. */
  public void setRestarts(int restarts) {
    this.restarts = restarts;
  }

  /** Increases the number of restarts of tasks. */
  public void addRestarts(int delta) {
    restarts += delta;
  }
}
