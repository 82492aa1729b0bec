package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.agrona.collections.Int2IntHashMap;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordSizes;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Priority;

/**
 * A live job as the leader sees it: dense arrays over its tasks, so that 100,000 tasks fit.
 *
 * <p>A task is bound while it may be on a machine: from before its placement is written until there
 * is proof that it has ended.
 */
public final class Job {
  /** A replica that has only just started is left alone. */
  private static final long SETTLED_MS = 40_000;

  public final int index;
  public final JobSpec spec;
  public final long submittedWall;
  private final TaskTable tasks;
  private final JobTaskRecords records;

  /** What failures of its tasks tell of it. */
  public final JobFailures failures = new JobFailures();

  /** Tasks told to stop. */
  public final BitSet stopping = new BitSet();

  /** Tasks bound by an earlier leader and not yet seen by this one. */
  public final BitSet adopted = new BitSet();

  /** Tasks that were restarted once; counted by the stored record. */
  public final BitSet restarted = new BitSet();

  /** Results not yet known to be durable. */
  public final BitSet resultPending = new BitSet();

  /** Seconds that finished tasks have run. */
  public final DoubleSamples runTimes = new DoubleSamples();

  private final int[] assignedInZone;

  /** How many tasks of a service may be on each machine. */
  private final Int2IntHashMap onMachine = new Int2IntHashMap(0);

  /** The jobs that it awaits and that are not known to be durably done. */
  public final Set<String> unmetDependencies;

  /** Names the parts of a record that is longer than a value, or null. */
  private String submission;

  private int chunkCount;

  /** The highest priority of the job itself and of all that need it. */
  private Priority priority;

  /** What those that need it leave of their deadlines, and of one and a half times those. */
  private double dependentsDeadline = Double.MAX_VALUE;

  private double dependentsLateDeadline = Double.MAX_VALUE;

  /** When the last job that it needs was done; from then on its times count. */
  private long releasedWall;

  private long version;
  private Cancellation cancellation = Cancellation.NONE;

  /** Before this moment no user was told that the job is cancelled. */
  private long notConfirmedBefore = MonotonicTime.NEVER;

  private boolean finishing;
  private int restarts;

  /** Room is being made for waiting tasks, so none more is made until then. */
  private long preemptingUntil = MonotonicTime.NEVER;

  /** When a task was last placed. */
  private long placedWall;

  /** The dense index of its team's class, or -1 until it is known. */
  private int shareGroup = -1;

  /** Whether it is within its team's guarantee, as the last plan had it. */
  private boolean withinGuarantee;

  /** Whether it was let go before others since its group had too little: it keeps what it got. */
  private boolean byMinimumShare;

  /** The zone chosen for the whole of a gang, or -1. */
  private int gangZone = -1;

  private int cursor;

  /** A job that was submitted at this time of day; none of its tasks is on a machine yet. */
  public Job(int index, JobSpec spec, long submittedWall, int zones) {
    this.index = index;
    this.spec = spec;
    this.submittedWall = submittedWall;
    this.releasedWall = submittedWall;
    this.priority = spec.priority();
    this.unmetDependencies =
        spec.dependencies().isEmpty() ? Set.of() : new LinkedHashSet<>(spec.dependencies());
    tasks = new TaskTable(spec.tasks());
    records = new JobTaskRecords(spec.tasks());
    assignedInZone = new int[zones];
  }

  /** Starts with records of the first format, as the version in production writes them. */
  public void useFirstFormat(int span) {
    records.useFirstFormat(span);
  }

  /** Goes on with records of the second format; those of the first stay until the job is over. */
  public void useSecondFormat(RecordSizes spans, int valueBytes, MachineIndex machines) {
    records.useSecondFormat(spans, valueBytes);
    for (int task = 0; task < tasks.size(); task++) {
      if (isAssigned(task)) {
        records.adjustSize(task, machines.get(tasks.machine(task)), 1);
      }
    }
  }

  /** Whether it still waits for other jobs, and so has no part in anything yet. */
  public boolean awaitsDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Whether it has tasks that could be placed now, room and quota aside. */
  public boolean wantsRoom() {
    return tasks.pending() > 0 && !isCancelled() && !awaitsDependencies();
  }

  /** One number for a task of a job, both by their indices. */
  public static long ref(int job, int task) {
    return ((long) job << 32) | task;
  }

  /** Changes a task's state, and the count of running tasks with it. */
  public void setState(int task, TaskState next) {
    tasks.setState(task, next);
  }

  /** A pending task is assigned to a machine, by this leader or an earlier one. */
  public void assign(int task, Machine machine, long attempt, long epoch, TaskState state) {
    tasks.assign(task, machine.index, attempt, epoch, state);
    assignedInZone[machine.zone()]++;
    adjustOnMachine(machine.index, 1);
    records.adjustSize(task, machine, 1);
  }

  /** A task is on no machine any more; {@link #requeue} or {@link #complete} comes next. */
  public void unassign(int task, Machine machine) {
    tasks.unassign(task);
    assignedInZone[machine.zone()]--;
    adjustOnMachine(machine.index, -1);
    records.adjustSize(task, machine, -1);
    stopping.clear(task);
  }

  /** A task that was unassigned waits again. */
  public void requeue(int task) {
    tasks.requeue(task);
  }

  /** A task that waits or was unassigned has its result. */
  public void complete(int task) {
    tasks.complete(task);
  }

  /** The zone of a machine that one of its tasks is assigned to has become known. */
  public void moveZone(int from, int to) {
    assignedInZone[from]--;
    assignedInZone[to]++;
  }

  private void adjustOnMachine(int machineIndex, int sign) {
    if (spec.isService()) {
      int count = onMachine.get(machineIndex) + sign;
      if (count == 0) {
        onMachine.remove(machineIndex);
      } else {
        onMachine.put(machineIndex, count);
      }
    }
  }

  /** How many of a service's tasks may be on the machine. */
  public int tasksOn(Machine machine) {
    return onMachine.get(machine.index);
  }

  /** Whether the task may be on a machine. */
  public boolean isAssigned(int task) {
    return stateOf(task).isAssigned();
  }

  /**
   * Whether the task is a replica that may be moved: not just started, and no other of it waits.
   */
  public boolean isMovable(int task, long now) {
    return spec.isService()
        && stateOf(task) == TaskState.RUNNING
        && !stopping.get(task)
        && tasks.pending() == 0
        && now - tasks.stateSince(task) > SETTLED_MS;
  }

  /** A pending task whose record can take its placement, or -1. */
  public int nextPending() {
    if (tasks.pending() == 0) {
      return -1;
    }
    for (int i = 0; i < tasks.size(); i++) {
      int task = cursor + i < tasks.size() ? cursor + i : cursor + i - tasks.size();
      if (stateOf(task) == TaskState.PENDING && records.hasRoom(task)) {
        cursor = task;
        return task;
      }
    }
    return -1;
  }

  /** The median run time of finished tasks in seconds; NaN before there are any. */
  public double median() {
    return runTimes.median();
  }

  /** The wall-clock time by which it has to be done, or a far time. */
  public double deadlineWallMs(double times) {
    double own =
        Double.isNaN(spec.deadlineS())
            ? Double.MAX_VALUE
            : submittedWall + spec.deadlineS() * 1000 * times;
    return Math.min(own, times > 1 ? dependentsLateDeadline : dependentsDeadline);
  }

  /** Whether nothing of it is to run any more. */
  public boolean isCancelled() {
    return cancellation != Cancellation.NONE;
  }

  /** The record that it has once it is cancelled, without what only its starts need. */
  public JobRecord cancelledRecord() {
    return new JobRecord(
        JobStatus.Phase.ABORTED,
        submittedWall,
        spec.withoutStartFields(),
        submission,
        chunkCount,
        false);
  }

  /** How many of its tasks may be in each zone, to be changed by the caller. */
  public int[] copyOfAssignedInZone() {
    return assignedInZone.clone();
  }

  /** Adds how many of its tasks are in each state to a count by state. */
  public void countStates(TaskStateCounts counts) {
    tasks.countStates(counts);
  }

  /** How many tasks it has. */
  public int taskCount() {
    return tasks.size();
  }

  /** The stored form of one of its records. */
  public JsonNode taskRecordJson(int chunk, MachineIndex machines) {
    return records.isSecondFormat()
        ? TaskRecords.second(this, chunk, machines)
        : TaskRecords.first(this, chunk, machines);
  }

  /** Where the task stands. */
  public TaskState stateOf(int task) {
    return tasks.state(task);
  }

  /** The index of the machine that the task is assigned to, or -1. */
  public int machineOf(int task) {
    return tasks.machine(task);
  }

  /** The number of the task's last attempt. */
  public long attemptOf(int task) {
    return tasks.attempt(task);
  }

  /** The epoch of the machine's agent for which the task was assigned. */
  public long epochOf(int task) {
    return tasks.epoch(task);
  }

  /** Since when the task runs; {@link MonotonicTime#NEVER} if that is not known. */
  public long stateSince(int task) {
    return tasks.stateSince(task);
  }

  /** The task runs since then; {@link MonotonicTime#NEVER} if that is not known. */
  public void setStateSince(int task, long since) {
    tasks.setStateSince(task, since);
  }

  /** Which tasks share a record. */
  public TaskLayout layout() {
    return records.layout();
  }

  /** Whether its tasks' records are of the second format. */
  public boolean isSecondFormat() {
    return records.isSecondFormat();
  }

  /** One of its tasks' records, or null as long as there is none. */
  public PendingRecord taskRecord(int index) {
    return records.records()[index];
  }

  /** There is such a record now. */
  public void setTaskRecord(int index, PendingRecord record) {
    records.records()[index] = record;
  }

  /** Its tasks' records; null where there is none yet. Not to be changed by callers. */
  public PendingRecord[] taskRecords() {
    return records.records();
  }

  /** Records of the first format that stay until the job is over, after it uses the second. */
  public List<PendingRecord> firstFormatRecords() {
    return records.firstFormat();
  }

  /** How many of its tasks may be in the zone. */
  public int assignedInZone(int zone) {
    return assignedInZone[zone];
  }

  /** Names the parts of a record that is longer than a value, or null. */
  public String submission() {
    return submission;
  }

  /** Names the parts of its record. */
  public void setSubmission(String submission) {
    this.submission = submission;
  }

  /** How many parts its record has; 0 if it is whole. */
  public int chunkCount() {
    return chunkCount;
  }

  /** Its record has so many parts. */
  public void setChunkCount(int chunkCount) {
    this.chunkCount = chunkCount;
  }

  /** The highest priority of the job itself and of all that need it. */
  public Priority priority() {
    return priority;
  }

  /** Its own priority, or a higher one of a job that needs it. */
  public void setPriority(Priority priority) {
    this.priority = priority;
  }

  /** What those that need it leave of their deadlines, and of one and a half times those. */
  public double dependentsDeadline() {
    return dependentsDeadline;
  }

  /** What those that need it leave of their deadlines, as a time of day. */
  public void setDependentsDeadline(double dependentsDeadline) {
    this.dependentsDeadline = dependentsDeadline;
  }

  /** The same with one and a half times the deadlines. */
  public double dependentsLateDeadline() {
    return dependentsLateDeadline;
  }

  /** What those that need it leave of one and a half times their deadlines. */
  public void setDependentsLateDeadline(double dependentsLateDeadline) {
    this.dependentsLateDeadline = dependentsLateDeadline;
  }

  /** When the last job that it needs was done; from then on its times count. */
  public long releasedWall() {
    return releasedWall;
  }

  /** The last job that it needs was done at this time of day. */
  public void setReleasedWall(long releasedWall) {
    this.releasedWall = releasedWall;
  }

  /** The version of its stored record. */
  public long version() {
    return version;
  }

  /** Its stored record has this version. */
  public void setVersion(long version) {
    this.version = version;
  }

  /** Whether its stored record says that it is cancelled. */
  public boolean isCancellationRecorded() {
    return cancellation == Cancellation.RECORDED;
  }

  /**
   * A user was told that the job is cancelled, but its record has not been read since: its tasks
   * are stopped and none is placed, but nothing is written, forgotten or completed on that ground.
   *
   * @param notBefore before this moment no user was told so
   */
  public void confirmCancellation(long notBefore) {
    if (cancellation == Cancellation.NONE) {
      cancellation = Cancellation.CONFIRMED;
      notConfirmedBefore = notBefore;
    }
  }

  /**
   * Its stored record says that it is cancelled.
   *
   * @param notBefore before this moment no user was told so, unless that is known already
   */
  public void recordCancellation(long notBefore) {
    confirmCancellation(notBefore);
    cancellation = Cancellation.RECORDED;
  }

  /** Before this moment no user was told that the job is cancelled. */
  public long notConfirmedBefore() {
    return notConfirmedBefore;
  }

  /** Whether the move of its record to the finished jobs is under way. */
  public boolean isFinishing() {
    return finishing;
  }

  /** The move of its record to the finished jobs begins. */
  public void beginFinishing() {
    finishing = true;
  }

  /** The move did not go through and may be tried again. */
  public void finishingFailed() {
    finishing = false;
  }

  /** How many tasks wait. */
  public int pending() {
    return tasks.pending();
  }

  /** How many tasks may be on machines. */
  public int assigned() {
    return tasks.assigned();
  }

  /** How many tasks run. */
  public int running() {
    return tasks.running();
  }

  /** How many tasks have their results. */
  public int done() {
    return tasks.done();
  }

  /** How many of its tasks were restarted. */
  public int restarts() {
    return restarts;
  }

  /** So many of its tasks were restarted. */
  public void setRestarts(int restarts) {
    this.restarts = restarts;
  }

  /** So many more of its tasks were restarted. */
  public void addRestarts(int delta) {
    restarts += delta;
  }

  /** Room is being made for waiting tasks, so none more is made until then. */
  public long preemptingUntil() {
    return preemptingUntil;
  }

  /** Room is being made for its waiting tasks until then. */
  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  /** When a task was last placed. */
  public long placedWall() {
    return placedWall;
  }

  /** A task was placed at this time of day. */
  public void setPlacedWall(long placedWall) {
    this.placedWall = placedWall;
  }

  /** The dense index of its team's class, or -1 until it is known. */
  public int shareGroup() {
    return shareGroup;
  }

  /** The dense index of its team's class. */
  public void setShareGroup(int shareGroup) {
    this.shareGroup = shareGroup;
  }

  /** Whether it is within its team's guarantee, as the last plan had it. */
  public boolean isWithinGuarantee() {
    return withinGuarantee;
  }

  /** Whether it is within its team's guarantee. */
  public void setWithinGuarantee(boolean withinGuarantee) {
    this.withinGuarantee = withinGuarantee;
  }

  /** Whether it was let go before others since its group had too little: it keeps what it got. */
  public boolean isByMinimumShare() {
    return byMinimumShare;
  }

  /** Whether it goes before others since its group has too little. */
  public void setByMinimumShare(boolean byMinimumShare) {
    this.byMinimumShare = byMinimumShare;
  }

  /** The zone chosen for the whole of a gang, or -1. */
  public int gangZone() {
    return gangZone;
  }

  /** The zone chosen for the whole of a gang, or -1. */
  public void setGangZone(int gangZone) {
    this.gangZone = gangZone;
  }
}
