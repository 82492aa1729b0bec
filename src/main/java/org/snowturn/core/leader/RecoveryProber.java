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
 * Probes the machines that earlier terms have recorded until each has acknowledged this term's
 * token. Only a limited number of probes is in flight at a time, and the most urgent are sent
 * first.
 */
final class RecoveryProber {
  /** Delay after an unanswered probe before the same machine is probed again. */
  private static final long RETRY_DELAY_MS = 500;

  /**
   * Minimum time since the first probe before a silent machine can count as unresponsive, provided
   * that other machines answer meanwhile.
   */
  private static final long MIN_UNRESPONSIVE_MS = 3_500;

  /** Maximum time until a worker that has just received a new token sends its next heartbeat. */
  private static final long MAX_NEXT_HEARTBEAT_MS = 1_200;

  /** Time between two ticks above which this node counts as behind with its work. */
  private static final long LATE_TICK_MS = 250;

  /** Time between two ticks below which this node counts as keeping up with its work. */
  private static final long PROMPT_TICK_MS = 100;

  /**
   * Maximum time since any machine was heard for an unanswered message to count against the machine
   * it was sent to. If no machine is heard for longer, this node may be cut off.
   */
  private static final long OTHERS_HEARD_WINDOW_MS = 500;

  /** Time after a late tick during which this node does not count any machine as unresponsive. */
  private static final long MIN_STEADY_MS = 1_000;

  /** Most machines have been heard once at most one in this many is still unheard. */
  private static final int MAX_UNHEARD_DIVISOR = 10;

  /** Maximum time to wait for machines that have not been heard. */
  private static final long MAX_WAIT_MS = 2_500;

  // Urgencies of probes; the lowest value is probed first.
  private static final int URGENCY_ROOM_FOR_REPLICAS = 0;
  private static final int URGENCY_STOPS_TASK = 1;
  private static final int URGENCY_HOLDS_REPLICA = 2;
  private static final int URGENCY_ROOM_FOR_BATCH = 3;
  private static final int URGENCY_OTHER = 4;

  private final CoreRuntime runtime;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final PacedProbes probes = new PacedProbes(RETRY_DELAY_MS);
  private int initialUnheardCount;
  private long startedAt;
  private long lastHeardAt = MonotonicTime.UNSET;
  private long lastTickAt;
  private long lastLateTickAt;

  /** Creates a prober that sends no probes until {@link #start()} is called. */
  RecoveryProber(CoreRuntime runtime, AssignmentServices services) {
    this.runtime = runtime;
    this.machines = services.machines();
    this.assignments = services.assignments();
    this.lastTickAt = runtime.now();
    this.lastLateTickAt = runtime.now() - MIN_STEADY_MS;
  }

  /** Starts to probe all recorded machines that have not acknowledged the token. */
  void start() {
    double minReplicaCpus = Double.MAX_VALUE;
    double minBatchTaskCpus = Double.MAX_VALUE;
    for (Job job : assignments.jobs()) {
      if (job.hasPlaceableTasks() && job.pending() > 0) {
        if (job.spec.isService()) {
          minReplicaCpus = Math.min(minReplicaCpus, job.spec.cpus());
        } else {
          minBatchTaskCpus = Math.min(minBatchTaskCpus, job.spec.cpus());
        }
      }
    }
    for (Machine machine : machines.present()) {
      if (machine.isRegistered() && !machine.session.isAcknowledged()) {
        boolean sendsHeartbeats = machine.lastHeartbeatAt() != MonotonicTime.UNSET;
        long notBeforeMs = sendsHeartbeats ? runtime.now() + MAX_NEXT_HEARTBEAT_MS : 0;
        probes.add(machine.index, urgency(machine, minReplicaCpus, minBatchTaskCpus), notBeforeMs);
      }
    }
    initialUnheardCount = probes.unheardMachines();
    startedAt = runtime.now();
    sendDueProbes();
  }

  /**
   * Returns the urgency of probing a machine; smaller values are probed first.
   *
   * <p>Machines with room for a waiting replica come first, then machines with a task to stop, then
   * machines that run replicas, then machines with room for a waiting batch task. Users gain most
   * from the answers in this order.
   *
   * @param minReplicaCpus the CPUs of the smallest replica that waits for a machine
   * @param minBatchTaskCpus the CPUs of the smallest batch task that waits for a machine
   */
  private int urgency(Machine machine, double minReplicaCpus, double minBatchTaskCpus) {
    double freeCpus = machine.cpusFree();
    if (freeCpus >= minReplicaCpus) {
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
    return freeCpus >= minBatchTaskCpus ? URGENCY_ROOM_FOR_BATCH : URGENCY_OTHER;
  }

  /** Sends the probes that are due, as far as the limit of probes in flight allows. */
  void sendDueProbes() {
    int next;
    while ((next = probes.nextMachine(runtime.now())) >= 0) {
      Machine machine = machines.get(next);
      if (machine.lifecycle.isGone() || machine.lifecycle.isTerminating()) {
        probes.remove(next);
      } else if (machine.address() == null) {
        probes.onProbeUnanswered(next, runtime.now(), false);
      } else {
        machine.commands().probe();
      }
    }
  }

  /** Determines from the time between ticks whether this node keeps up with its work. */
  void tick() {
    long now = runtime.now();
    if (now - lastTickAt > LATE_TICK_MS) {
      lastLateTickAt = now;
      probes.onNodeLate(now);
    } else if (now - lastTickAt < PROMPT_TICK_MS) {
      probes.onNodeOnTime();
    }
    lastTickAt = now;
  }

  /** Records that a heartbeat of any machine was applied, also before {@link #start()}. */
  void onAnyMachineHeard() {
    lastHeardAt = runtime.now();
  }

  /** Handles an applied heartbeat of a machine, whether or not it carried this term's token. */
  void onMachineHeard(Machine machine) {
    if (machine.session.isAcknowledged()) {
      probes.onHeard(machine.index, runtime.now());
      sendDueProbes();
    } else {
      // The answer carries the new token, and a worker that receives a higher token sends another
      // heartbeat at once.
      probes.postpone(machine.index, runtime.now() + MAX_NEXT_HEARTBEAT_MS);
    }
  }

  /**
   * Handles a probe or command that got no answer.
   *
   * <p>It counts against the machine only if other machines were heard recently. Otherwise this
   * node may be cut off, and after it is connected again, machines that answer a little later than
   * others would be considered dead.
   */
  void onMessageUnanswered(Machine machine) {
    boolean othersHeard = runtime.now() - lastHeardAt < OTHERS_HEARD_WINDOW_MS;
    probes.onProbeUnanswered(machine.index, runtime.now(), othersHeard);
  }

  /** Stops probing the machines that are being terminated. */
  void dropTerminatingMachines() {
    for (Machine machine : machines.present()) {
      if (machine.lifecycle.isTerminating()) {
        probes.remove(machine.index);
      }
    }
  }

  /** Returns whether nearly all machines have been heard, or have had enough time to be heard. */
  boolean hasHeardMostMachines() {
    return probes.unheardMachines() * MAX_UNHEARD_DIVISOR <= initialUnheardCount
        || runtime.now() - startedAt > MAX_WAIT_MS;
  }

  /**
   * Returns whether the machine left repeated probes unanswered while this node kept up with its
   * work. The result does not tell whether the machine or the network is down.
   */
  boolean isUnresponsive(Machine machine) {
    return runtime.now() - lastLateTickAt >= MIN_STEADY_MS
        && probes.isUnresponsive(machine.index, MIN_UNRESPONSIVE_MS, runtime.now());
  }

  /** Returns whether the machine has left a probe unanswered and has not been heard since. */
  boolean hasMissedProbe(Machine machine) {
    return probes.hasMissedProbe(machine.index);
  }

  /** Returns the number of machines that have not been heard. */
  int unheardCount() {
    return probes.unheardMachines();
  }

  /** Returns the number of probes that have been sent. */
  long sentCount() {
    return probes.sentCount();
  }

  /** Returns the maximum number of probes that may be in flight now. */
  int window() {
    return probes.window();
  }
}
