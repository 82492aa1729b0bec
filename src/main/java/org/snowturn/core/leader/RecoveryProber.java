package org.snowturn.core.leader;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.recovery.PacedProbes;

/**
 * Probes the machines that earlier terms recorded, a few at a time and the most useful first, until
 * each has shown this term's token.
 */
final class RecoveryProber {
  /** After a probe without an answer, the same machine is probed again so much later. */
  private static final long RETRY_MS = 500;

  /** Silence since the first probe that may count as death, if other machines answer meanwhile. */
  private static final long UNRESPONSIVE_MS = 3_500;

  /** A worker that has just been given the token sends another heartbeat within this time. */
  private static final long NEXT_HEARTBEAT_MS = 1_200;

  /** A tick that comes so late means that the node is behind with its work. */
  private static final long LATE_TICK_MS = 250;

  /** Ticks that come this soon one after the other mean that it is not. */
  private static final long PROMPT_TICK_MS = 100;

  /** Within this time some machine is heard, unless none can be. */
  private static final long OTHERS_HEARD_MS = 500;

  /** For so long after it was behind, a node trusts no silence. */
  private static final long STEADY_MS = 1_000;

  /** All but one in so many machines are most. */
  private static final int MOST_DIVISOR = 10;

  /** After so long, machines that have not been heard are not waited for. */
  private static final long MAX_WAIT_MS = 2_500;

  private static final int URGENCY_ROOM_FOR_REPLICAS = 0;
  private static final int URGENCY_STOPS_TASK = 1;
  private static final int URGENCY_HOLDS_REPLICA = 2;
  private static final int URGENCY_ROOM_FOR_BATCH = 3;
  private static final int URGENCY_OTHER = 4;

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final PacedProbes probes = new PacedProbes(RETRY_MS);
  private int initiallyUnheard;
  private long startedAt;
  private long lastHeardAt = MonotonicTime.NEVER;
  private long lastTickAt;
  private long lastLateTickAt;

  /** Probes nothing until {@link #start()}. */
  RecoveryProber(CoreRuntime runtime, AssignmentServices services) {
    this.runtime = runtime;
    this.machines = services.machines();
    this.assignments = services.assignments();
    this.lastTickAt = runtime.now();
    this.lastLateTickAt = runtime.now() - STEADY_MS;
  }

  /** Begins to probe all recorded machines that have not shown the token. */
  void start() {
    double replicaCpus = Double.MAX_VALUE;
    double batchTaskCpus = Double.MAX_VALUE;
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && job.pending() > 0) {
        if (job.spec.isService()) {
          replicaCpus = Math.min(replicaCpus, job.spec.cpus());
        } else {
          batchTaskCpus = Math.min(batchTaskCpus, job.spec.cpus());
        }
      }
    }
    for (Machine machine : machines.present()) {
      if (machine.isRegistered() && !machine.session.isAcknowledged()) {
        boolean sendsHeartbeats = machine.lastHeartbeatAt() != MonotonicTime.NEVER;
        long notBefore = sendsHeartbeats ? runtime.now() + NEXT_HEARTBEAT_MS : 0;
        probes.add(machine.index, urgency(machine, replicaCpus, batchTaskCpus), notBefore);
      }
    }
    initiallyUnheard = probes.unheard();
    startedAt = runtime.now();
    probe();
  }

  /**
   * Room for waiting replicas first, then machines that have something to stop or hold replicas,
   * then room for waiting batch tasks: in this order the answers are worth most to users.
   */
  private int urgency(Machine machine, double replicaCpus, double batchTaskCpus) {
    double free = machine.cpusFree();
    if (free >= replicaCpus) {
      return URGENCY_ROOM_FOR_REPLICAS;
    }
    boolean holdsReplica = false;
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      if (job.stopping.get(TaskAssignments.task(ref))) {
        return URGENCY_STOPS_TASK;
      }
      holdsReplica |= job.spec.isService();
    }
    if (holdsReplica) {
      return URGENCY_HOLDS_REPLICA;
    }
    return free >= batchTaskCpus ? URGENCY_ROOM_FOR_BATCH : URGENCY_OTHER;
  }

  /** Sends the probes that are due. */
  void probe() {
    int next;
    while ((next = probes.next(runtime.now())) >= 0) {
      Machine machine = machines.get(next);
      if (machine.isTerminated() || machine.isTerminating()) {
        probes.drop(next);
      } else if (machine.addr() == null) {
        probes.unanswered(next, runtime.now(), false);
      } else {
        machine.commands().probe();
      }
    }
  }

  /** Notes from the time between ticks whether this node keeps up with its work. */
  void tick() {
    long now = runtime.now();
    if (now - lastTickAt > LATE_TICK_MS) {
      lastLateTickAt = now;
      probes.nodeLate(now);
    } else if (now - lastTickAt < PROMPT_TICK_MS) {
      probes.nodeOnTime();
    }
    lastTickAt = now;
  }

  /** Some machine has been heard; called for every heartbeat, also before {@link #start()}. */
  void anyHeard() {
    lastHeardAt = runtime.now();
  }

  /** This machine has been heard, with or without the present token. */
  void heard(Machine machine) {
    if (machine.session.isAcknowledged()) {
      probes.heard(machine.index, runtime.now());
      probe();
    } else {
      // It has the token from our answer now, and a higher token makes it report again at once.
      probes.postpone(machine.index, runtime.now() + NEXT_HEARTBEAT_MS);
    }
  }

  /**
   * A probe, or a command, got no answer. It tells of the machine only where others are heard at
   * the same time: else this node is cut off, and once it no longer is, the machines that are a
   * little later than others would be taken for dead.
   */
  void unanswered(Machine machine) {
    boolean othersHeard = runtime.now() - lastHeardAt < OTHERS_HEARD_MS;
    probes.unanswered(machine.index, runtime.now(), othersHeard);
  }

  /** Machines that have ended or are about to be terminated need not be probed. */
  void dropTerminating() {
    for (Machine machine : machines.present()) {
      if (machine.isTerminating()) {
        probes.drop(machine.index);
      }
    }
  }

  /** Whether nearly all machines have been heard, or have had the time for it. */
  boolean mostHeard() {
    return probes.unheard() * MOST_DIVISOR <= initiallyUnheard
        || runtime.now() - startedAt > MAX_WAIT_MS;
  }

  /**
   * Whether the machine's silence counts: it was probed again and again and did not answer, while
   * this node kept up with its work. Whether the machine or the network is down, others judge.
   */
  boolean isUnresponsive(Machine machine) {
    return runtime.now() - lastLateTickAt >= STEADY_MS
        && probes.isUnresponsive(machine.index, UNRESPONSIVE_MS, runtime.now());
  }

  /** Whether the machine has left a probe unanswered and has not been heard since. */
  boolean hasMissedProbe(Machine machine) {
    return probes.hasMissed(machine.index);
  }

  /** How many machines have not been heard. */
  int unheard() {
    return probes.unheard();
  }

  /** How many probes have been sent. */
  long sent() {
    return probes.sent();
  }

  /** How many probes may be under way now. */
  int window() {
    return probes.window();
  }
}
