package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import org.agrona.collections.Int2IntHashMap;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;

/**
 * A live job as the leader sees it: dense arrays over its tasks, so that 100,000 tasks fit.
 *
 * <p>A task is bound while it may be on a machine: from before its placement is written until there
 * is proof that it has ended.
 */
final class Job {
  static final byte PENDING = 0;

  /** Its placement is being written; no start has been sent. */
  static final byte PLACING = 1;

  /** Its start may have been sent. */
  static final byte STARTING = 2;

  static final byte FETCHING = 3;
  static final byte RUNNING = 4;
  static final byte DONE = 5;

  /** No such time; far in the past, but safe to subtract from. */
  static final long UNKNOWN = Long.MIN_VALUE / 4;

  /** A replica that has only just started is left alone. */
  private static final long SETTLED_MS = 40_000;

  final int index;
  final JobSpec spec;
  final long submittedWall;
  final int chunkSize;
  final byte[] state;
  final int[] machine;
  final long[] attempt;
  final long[] session;
  final long[] since;

  /** Tasks told to stop. */
  final BitSet stopping = new BitSet();

  /** Tasks bound by an earlier leader and not yet seen by this one. */
  final BitSet inherited = new BitSet();

  /** Tasks that were restarted once; counted by the stored record. */
  final BitSet restarted = new BitSet();

  /** Results not yet known to be durable. */
  final BitSet resultPending = new BitSet();

  /** The machine that a restarted task must not go back to. */
  final Int2IntHashMap avoid = new Int2IntHashMap(-1);

  final Writer.Slot[] chunks;
  final Samples runTimes = new Samples();
  final int[] boundInZone;

  /** How many tasks of a service may be on each machine. */
  private final Int2IntHashMap onMachine = new Int2IntHashMap(0);

  long stamp;
  boolean cancelled;
  boolean finishing;
  int pending;
  int bound;
  int running;
  int done;
  int restarts;
  long backOffUntil;

  /** Room is being made for waiting tasks, so none more is made until then. */
  long roomUntil = UNKNOWN;

  int failures;

  /** When a task was last placed. */
  long placedWall;

  /** The zone chosen for the whole of a gang, or -1. */
  int gangZone = -1;

  private int cursor;

  Job(int index, JobSpec spec, long submittedWall, int chunkSize, int zones) {
    this.index = index;
    this.spec = spec;
    this.submittedWall = submittedWall;
    this.chunkSize = chunkSize;
    int n = spec.tasks();
    state = new byte[n];
    machine = new int[n];
    attempt = new long[n];
    session = new long[n];
    since = new long[n];
    Arrays.fill(machine, -1);
    chunks = new Writer.Slot[(n + chunkSize - 1) / chunkSize];
    boundInZone = new int[zones];
    pending = n;
  }

  static long ref(int job, int task) {
    return ((long) job << 32) | task;
  }

  int chunkOf(int task) {
    return task / chunkSize;
  }

  /** Changes a task's state, and the count of running tasks with it. */
  void enter(int task, byte next) {
    running += (next == RUNNING ? 1 : 0) - (state[task] == RUNNING ? 1 : 0);
    state[task] = next;
  }

  /** Keeps account of a service's tasks by machine. */
  void countOn(int machineIndex, int sign) {
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
  int on(Machine m) {
    return onMachine.get(m.index);
  }

  boolean isBound(int task) {
    return state[task] >= PLACING && state[task] <= RUNNING;
  }

  /**
   * Whether the task is a replica that may be moved: not just started, and no other of it waits.
   */
  boolean settled(int task, long now) {
    return spec.service()
        && state[task] == RUNNING
        && !stopping.get(task)
        && pending == 0
        && now - since[task] > SETTLED_MS;
  }

  /** A pending task, or -1. */
  int nextPending() {
    if (pending == 0) {
      return -1;
    }
    for (int i = 0; i < state.length; i++) {
      int t = cursor + i < state.length ? cursor + i : cursor + i - state.length;
      if (state[t] == PENDING) {
        cursor = t;
        return t;
      }
    }
    return -1;
  }

  double median() {
    return runTimes.median();
  }

  /** The wall-clock time of the deadline, or a far time. */
  double dueWall(double times) {
    return Double.isNaN(spec.deadlineS())
        ? Double.MAX_VALUE
        : submittedWall + spec.deadlineS() * 1000 * times;
  }

  /** The stored form of a chunk: results as a bit set, and where each bound task was placed. */
  JsonNode chunkJson(int chunk, MachineBook machines) {
    int from = chunk * chunkSize;
    int to = Math.min(state.length, from + chunkSize);
    BitSet finished = new BitSet();
    ObjectNode o = Json.object().put("v", Keys.VERSION);
    ArrayNode placed = o.putArray("p");
    for (int t = from; t < to; t++) {
      if (state[t] == DONE) {
        finished.set(t - from);
      } else if (isBound(t)) {
        placed.addArray().add(t).add(attempt[t]).add(machines.get(machine[t]).id).add(session[t]);
      }
    }
    o.put("d", Base64.getEncoder().encodeToString(finished.toByteArray()));
    return o;
  }
}
