package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.agrona.collections.Int2IntHashMap;
import org.agrona.collections.IntHashSet;
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
  /** The same as {@link MonotonicTime#NEVER}. */
  public static final long UNKNOWN = MonotonicTime.NEVER;

  /** A replica that has only just started is left alone. */
  private static final long SETTLED_MS = 40_000;

  public final int index;
  public final JobSpec spec;
  public final long submittedWall;
  private final byte[] stateOf;
  private final int[] machineOf;
  private final long[] attemptOf;
  private final long[] epochOf;
  private final long[] stateSince;

  /** Tasks told to stop. */
  public final BitSet stopping = new BitSet();

  /** Tasks bound by an earlier leader and not yet seen by this one. */
  public final BitSet adopted = new BitSet();

  /** Tasks that were restarted once; counted by the stored record. */
  public final BitSet restarted = new BitSet();

  /** Results not yet known to be durable. */
  public final BitSet resultPending = new BitSet();

  /** The machine that a restarted task must not go back to. */
  public final Int2IntHashMap excludedMachine = new Int2IntHashMap(-1);

  /** Which tasks share a record, and the records; another format's are kept until the end. */
  private TaskLayout layout;

  private boolean secondFormat;
  private PendingRecord[] taskRecords;
  public final List<PendingRecord> firstFormatRecords = new ArrayList<>();

  /** What the placements of each record take of its value, and what they may; second format. */
  private int[] recordBytes;

  private int recordRoom = Integer.MAX_VALUE;

  /** The most that one placement took so far. */
  private int entryBytes;

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
  private int pending;
  private int assigned;
  private int running;
  private int done;
  private int restarts;
  private long backOffUntil;

  /** Room is being made for waiting tasks, so none more is made until then. */
  private long preemptingUntil = MonotonicTime.NEVER;

  private int failures;

  /** Whether its tasks seem to fail wherever they run: it gets a trial now and then. */
  private boolean suspect;

  /** Machines on which it has failed lately. */
  public final IntHashSet failedOn = new IntHashSet();

  /** Trials in vain since it became suspect. */
  private int probeCount;

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

  public Job(int index, JobSpec spec, long submittedWall, int zones) {
    this.index = index;
    this.spec = spec;
    this.submittedWall = submittedWall;
    this.releasedWall = submittedWall;
    this.priority = spec.priority();
    this.unmetDependencies =
        spec.awaits().isEmpty() ? Set.of() : new LinkedHashSet<>(spec.awaits());
    int n = spec.tasks();
    stateOf = new byte[n];
    machineOf = new int[n];
    attemptOf = new long[n];
    epochOf = new long[n];
    stateSince = new long[n];
    Arrays.fill(machineOf, -1);
    assignedInZone = new int[zones];
    pending = n;
  }

  /** Starts with records of the first format, as the version in production writes them. */
  public void useFirstFormat(int span) {
    layout = TaskLayout.first(stateOf.length, span);
    taskRecords = new PendingRecord[layout.records()];
  }

  /** Goes on with records of the second format; those of the first stay until the job is over. */
  public void useSecondFormat(RecordSizes spans, int valueBytes, MachineIndex machines) {
    if (taskRecords != null) {
      Arrays.stream(taskRecords).filter(Objects::nonNull).forEach(firstFormatRecords::add);
    }
    secondFormat = true;
    layout = TaskLayout.second(stateOf.length, spans);
    taskRecords = new PendingRecord[layout.records()];
    recordBytes = new int[layout.records()];
    recordRoom = TaskLayout.room(valueBytes, layout.piece());
    for (int task = 0; task < stateOf.length; task++) {
      if (isAssigned(task)) {
        adjustRecordSize(task, machines.get(machineOf[task]), 1);
      }
    }
  }

  /** Keeps account of how full the records are, so that no placement makes one too long. */
  public void adjustRecordSize(int task, Machine machine, int sign) {
    if (secondFormat) {
      int bytes = TaskRecords.bytes(machine);
      entryBytes = Math.max(entryBytes, bytes);
      recordBytes[layout.recordOf(task)] += sign * bytes;
    }
  }

  private boolean recordHasRoom(int task) {
    return !secondFormat || recordBytes[layout.recordOf(task)] + entryBytes <= recordRoom;
  }

  /** Whether it still waits for other jobs, and so has no part in anything yet. */
  public boolean awaitsDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Whether it has tasks that could be placed now, room and quota aside. */
  public boolean wantsRoom() {
    return pending > 0 && !isCancelled() && !awaitsDependencies();
  }

  public static long ref(int job, int task) {
    return ((long) job << 32) | task;
  }

  /** Changes a task's state, and the count of running tasks with it. */
  public void setState(int task, TaskState next) {
    running += next == TaskState.RUNNING ? 1 : 0;
    running -= stateOf(task) == TaskState.RUNNING ? 1 : 0;
    stateOf[task] = next.code();
  }

  /** Keeps account of a service's tasks by machine. */
  public void adjustOnMachine(int machineIndex, int sign) {
    if (spec.service()) {
      int n = onMachine.get(machineIndex) + sign;
      if (n == 0) {
        onMachine.remove(machineIndex);
      } else {
        onMachine.put(machineIndex, n);
      }
    }
  }

  /** How many of a service's tasks may be on the machine. */
  public int tasksOn(Machine machine) {
    return onMachine.get(machine.index);
  }

  public boolean isAssigned(int task) {
    return stateOf(task).isAssigned();
  }

  /**
   * Whether the task is a replica that may be moved: not just started, and no other of it waits.
   */
  public boolean isMovable(int task, long now) {
    return spec.service()
        && stateOf(task) == TaskState.RUNNING
        && !stopping.get(task)
        && pending == 0
        && now - stateSince[task] > SETTLED_MS;
  }

  /** A pending task whose record can take its placement, or -1. */
  public int nextPending() {
    if (pending == 0) {
      return -1;
    }
    for (int i = 0; i < stateOf.length; i++) {
      int task = cursor + i < stateOf.length ? cursor + i : cursor + i - stateOf.length;
      if (stateOf(task) == TaskState.PENDING && recordHasRoom(task)) {
        cursor = task;
        return task;
      }
    }
    return -1;
  }

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
        JobStatus.Phase.ABORTED, submittedWall, spec.withoutStart(), submission, chunkCount, false);
  }

  /** How many of its tasks may be in each zone, to be changed by the caller. */
  public int[] copyOfAssignedInZone() {
    return assignedInZone.clone();
  }

  /** Adds how many of its tasks are in each state to a count by state. */
  public void countStates(TaskStateCounts counts) {
    for (byte code : stateOf) {
      counts.add(TaskState.ofCode(code));
    }
  }

  /** How many tasks it has. */
  public int taskCount() {
    return stateOf.length;
  }

  /** The stored form of one of its records. */
  public JsonNode taskRecordJson(int chunk, MachineIndex machines) {
    return secondFormat
        ? TaskRecords.second(this, chunk, machines)
        : TaskRecords.first(this, chunk, machines);
  }

  public TaskState stateOf(int task) {
    return TaskState.ofCode(stateOf[task]);
  }

  public int machineOf(int task) {
    return machineOf[task];
  }

  public void setMachineOf(int task, int value) {
    machineOf[task] = value;
  }

  public long attemptOf(int task) {
    return attemptOf[task];
  }

  public void setAttemptOf(int task, long value) {
    attemptOf[task] = value;
  }

  public long epochOf(int task) {
    return epochOf[task];
  }

  public void setEpochOf(int task, long value) {
    epochOf[task] = value;
  }

  public long stateSince(int task) {
    return stateSince[task];
  }

  public void setStateSince(int task, long value) {
    stateSince[task] = value;
  }

  /** Which tasks share a record, and the records; another format's are kept until the end. */
  public TaskLayout layout() {
    return layout;
  }

  public boolean isSecondFormat() {
    return secondFormat;
  }

  public PendingRecord taskRecord(int index) {
    return taskRecords[index];
  }

  public void setTaskRecord(int index, PendingRecord value) {
    taskRecords[index] = value;
  }

  public PendingRecord[] taskRecords() {
    return taskRecords;
  }

  public int assignedInZone(int zone) {
    return assignedInZone[zone];
  }

  public void addAssignedInZone(int zone, int delta) {
    assignedInZone[zone] += delta;
  }

  /** Names the parts of a record that is longer than a value, or null. */
  public String submission() {
    return submission;
  }

  public void setSubmission(String submission) {
    this.submission = submission;
  }

  public int chunkCount() {
    return chunkCount;
  }

  public void setChunkCount(int chunkCount) {
    this.chunkCount = chunkCount;
  }

  /** The highest priority of the job itself and of all that need it. */
  public Priority priority() {
    return priority;
  }

  public void setPriority(Priority priority) {
    this.priority = priority;
  }

  /** What those that need it leave of their deadlines, and of one and a half times those. */
  public double dependentsDeadline() {
    return dependentsDeadline;
  }

  public void setDependentsDeadline(double dependentsDeadline) {
    this.dependentsDeadline = dependentsDeadline;
  }

  public double dependentsLateDeadline() {
    return dependentsLateDeadline;
  }

  public void setDependentsLateDeadline(double dependentsLateDeadline) {
    this.dependentsLateDeadline = dependentsLateDeadline;
  }

  /** When the last job that it needs was done; from then on its times count. */
  public long releasedWall() {
    return releasedWall;
  }

  public void setReleasedWall(long releasedWall) {
    this.releasedWall = releasedWall;
  }

  public long version() {
    return version;
  }

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

  public int pending() {
    return pending;
  }

  public void addPending(int delta) {
    pending += delta;
  }

  public int assigned() {
    return assigned;
  }

  public void addAssigned(int delta) {
    assigned += delta;
  }

  public int running() {
    return running;
  }

  public int done() {
    return done;
  }

  public void addDone(int delta) {
    done += delta;
  }

  public int restarts() {
    return restarts;
  }

  public void setRestarts(int restarts) {
    this.restarts = restarts;
  }

  public void addRestarts(int delta) {
    restarts += delta;
  }

  public long backOffUntil() {
    return backOffUntil;
  }

  public void setBackOffUntil(long backOffUntil) {
    this.backOffUntil = backOffUntil;
  }

  /** Room is being made for waiting tasks, so none more is made until then. */
  public long preemptingUntil() {
    return preemptingUntil;
  }

  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  public int failures() {
    return failures;
  }

  public void addFailures(int delta) {
    failures += delta;
  }

  /** Whether its tasks seem to fail wherever they run: it gets a trial now and then. */
  public boolean isSuspect() {
    return suspect;
  }

  public void setSuspect(boolean suspect) {
    this.suspect = suspect;
  }

  /** Trials in vain since it became suspect. */
  public int probeCount() {
    return probeCount;
  }

  public void setProbeCount(int probeCount) {
    this.probeCount = probeCount;
  }

  public void addProbeCount(int delta) {
    probeCount += delta;
  }

  /** When a task was last placed. */
  public long placedWall() {
    return placedWall;
  }

  public void setPlacedWall(long placedWall) {
    this.placedWall = placedWall;
  }

  /** The dense index of its team's class, or -1 until it is known. */
  public int shareGroup() {
    return shareGroup;
  }

  public void setShareGroup(int shareGroup) {
    this.shareGroup = shareGroup;
  }

  /** Whether it is within its team's guarantee, as the last plan had it. */
  public boolean isWithinGuarantee() {
    return withinGuarantee;
  }

  public void setWithinGuarantee(boolean withinGuarantee) {
    this.withinGuarantee = withinGuarantee;
  }

  /** Whether it was let go before others since its group had too little: it keeps what it got. */
  public boolean isByMinimumShare() {
    return byMinimumShare;
  }

  public void setByMinimumShare(boolean byMinimumShare) {
    this.byMinimumShare = byMinimumShare;
  }

  /** The zone chosen for the whole of a gang, or -1. */
  public int gangZone() {
    return gangZone;
  }

  public void setGangZone(int gangZone) {
    this.gangZone = gangZone;
  }
}
