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
  public static final byte PENDING = 0;

  /** Its placement is being written; no start has been sent. */
  public static final byte PLACING = 1;

  /** Its start may have been sent. */
  public static final byte STARTING = 2;

  public static final byte FETCHING = 3;
  public static final byte RUNNING = 4;
  public static final byte DONE = 5;

  /** No such time; far in the past, but safe to subtract from. */
  public static final long UNKNOWN = Long.MIN_VALUE / 4;

  /** A replica that has only just started is left alone. */
  private static final long SETTLED_MS = 40_000;

  public final int index;
  public final JobSpec spec;
  public final long submittedWall;
  public final byte[] stateOf;
  public final int[] machineOf;
  public final long[] attemptOf;
  public final long[] epoch;
  public final long[] stateSince;

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
  public TaskLayout layout;

  public boolean secondFormat;
  public PendingRecord[] taskRecords;
  public final List<PendingRecord> firstFormatRecords = new ArrayList<>();

  /** What the placements of each record take of its value, and what they may; second format. */
  private int[] recordBytes;

  private int recordRoom = Integer.MAX_VALUE;

  /** The most that one placement took so far. */
  private int entryBytes;

  public final DoubleSamples runTimes = new DoubleSamples();
  public final int[] assignedInZone;

  /** How many tasks of a service may be on each machine. */
  private final Int2IntHashMap onMachine = new Int2IntHashMap(0);

  /** The jobs that it awaits and that are not known to be durably done. */
  public final Set<String> unmetDependencies;

  /** Names the parts of a record that is longer than a value, or null. */
  public String submission;

  public int chunkCount;

  /** The highest priority of the job itself and of all that need it. */
  public Priority priority;

  /** What those that need it leave of their deadlines, and of one and a half times those. */
  public double dependentsDeadline = Double.MAX_VALUE;

  public double dependentsLateDeadline = Double.MAX_VALUE;

  /** When the last job that it needs was done; from then on its times count. */
  public long releasedWall;

  public long version;
  public boolean cancelled;

  /**
   * A user was told that the job is cancelled, but its record has not been read since: its tasks
   * are stopped and none is placed, but nothing is written, forgotten or completed on that ground.
   */
  public boolean cancelConfirmed;

  /** Before this moment no user was told that the job is cancelled. */
  public long cancelledAfter = UNKNOWN;

  public boolean finishing;
  public int pending;
  public int assigned;
  public int running;
  public int done;
  public int restarts;
  public long backOffUntil;

  /** Room is being made for waiting tasks, so none more is made until then. */
  public long preemptingUntil = UNKNOWN;

  public int failures;

  /** Whether its tasks seem to fail wherever they run: it gets a trial now and then. */
  public boolean suspect;

  /** Machines on which it has failed lately. */
  public final IntHashSet failedOn = new IntHashSet();

  /** Trials in vain since it became suspect. */
  public int probeCount;

  /** When a task was last placed. */
  public long placedWall;

  /** The dense index of its team's class, or -1 until it is known. */
  public int shareGroup = -1;

  /** Whether it is within its team's guarantee, as the last plan had it. */
  public boolean withinGuarantee;

  /** Whether it was let go before others since its group had too little: it keeps what it got. */
  public boolean byMinimumShare;

  /** The zone chosen for the whole of a gang, or -1. */
  public int gangZone = -1;

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
    epoch = new long[n];
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
    recordRoom = TaskLayout.entryCapacityBytes(valueBytes, layout.piece());
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
  public void setState(int task, byte next) {
    running += (next == RUNNING ? 1 : 0) - (stateOf[task] == RUNNING ? 1 : 0);
    stateOf[task] = next;
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
    return stateOf[task] >= PLACING && stateOf[task] <= RUNNING;
  }

  /**
   * Whether the task is a replica that may be moved: not just started, and no other of it waits.
   */
  public boolean isMovable(int task, long now) {
    return spec.service()
        && stateOf[task] == RUNNING
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
      if (stateOf[task] == PENDING && recordHasRoom(task)) {
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
    return cancelled || cancelConfirmed;
  }

  /** The record that it has once it is cancelled, without what only its starts need. */
  public JobRecord cancelledRecord() {
    return new JobRecord(
        JobStatus.Phase.ABORTED, submittedWall, spec.withoutStart(), submission, chunkCount, false);
  }

  /** The stored form of one of its records. */
  public JsonNode taskRecordJson(int chunk, MachineIndex machines) {
    return secondFormat
        ? TaskRecords.second(this, chunk, machines)
        : TaskRecords.first(this, chunk, machines);
  }
}
