package org.snowturn.core.model;

import org.agrona.collections.LongHashSet;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.health.Reachability;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.Priority;

/**
 * A machine as the leader sees it: its agent's epoch and heartbeats, the tasks that may be on it,
 * and its health. Times are milliseconds of the monotonic clock ({@link MonotonicTime}).
 */
public final class Machine {
  /** The dense index of this machine among all machines of the leader's term. */
  public final int index;

  /** The id of the machine, which the cloud and the machine's agent use. */
  public final String id;

  private String address;
  private String type;
  private int zone;
  private boolean spot;
  private final ResourceUsage resources = new ResourceUsage();

  /** The part of a heartbeat's maximum size that the machine's tasks use. */
  public final HeartbeatUsage heartbeatUsage = new HeartbeatUsage();

  /** The machine's way from its rental to its termination. */
  public final MachineLifecycle lifecycle = new MachineLifecycle();

  private Registration registration = Registration.NONE;
  private boolean probing;
  private boolean suspected;
  private boolean quarantined;
  private long preemptionAt = Long.MAX_VALUE;
  private long blockedUntil;
  private long idleSince;
  private long preemptingUntil;

  /** The tasks assigned to the machine, as references by {@link Job#taskReference}. */
  public final LongHashSet assigned = new LongHashSet();

  /**
   * Number of tasks running on the machine whose jobs are quarantined, since a record is
   * unreadable.
   */
  private int unaccountedTasks;

  private final PriorityCounts assignedByPriority = new PriorityCounts();

  /** Number of assigned tasks whose placements are not durable yet. */
  private int pendingPlacements;

  /** Number of tasks that an earlier leader assigned and that this leader has not seen yet. */
  private int adoptedTasks;

  /** The images that the machine should have. */
  public final ImageCache images = new ImageCache();

  /** The page of the stored registry that lists the machine; -1 if none does. */
  private int registryPage = -1;

  /** The current epoch and the heartbeats of the machine's agent. */
  public final AgentSession session = new AgentSession();

  /** The failure history of tasks on the machine. */
  public final MachineFailures failures = new MachineFailures();

  /** The evidence of whether messages to the machine arrive. */
  public final Reachability reachability = new Reachability();

  private final RunTimeRatios runTimeRatios = new RunTimeRatios();

  /** The fencing of the machine against direct messages that arrive late. */
  public final CommandFence fence;

  private CommandChannel commands;

  /**
   * Creates a machine of which only the id is known.
   *
   * @param index the dense index of the machine
   * @param id the id of the machine
   * @param termToken the fencing token of the leader's term
   */
  public Machine(int index, String id, long termToken) {
    this.index = index;
    this.id = id;
    this.fence = new CommandFence(termToken);
  }

  /** Returns whether one more task of the job fits beside the assigned ones. */
  public boolean hasCapacityFor(JobSpec spec) {
    return resources.hasCapacityFor(spec) && heartbeatUsage.hasRoomFor(spec);
  }

  /** Returns the maximum number of further tasks of the job that fit beside the assigned ones. */
  public int maxTasksThatFit(JobSpec spec) {
    return Math.min(resources.maxTasksThatFit(spec), heartbeatUsage.maxTasksThatFit(spec));
  }

  /** Returns the number of CPUs that no assigned task uses; 0 while the type is unknown. */
  public double cpusFree() {
    return resources.cpusFree();
  }

  /** Returns the number of CPUs that assigned tasks use. */
  public double cpusUsed() {
    return resources.cpus();
  }

  /** Returns the number of GPUs that assigned tasks use. */
  public double gpusUsed() {
    return resources.gpus();
  }

  /** Returns the memory that assigned tasks use, in GB. */
  public double memoryUsedGb() {
    return resources.memoryGb();
  }

  /**
   * Assigns a task to the machine.
   *
   * @param reference the task, by {@link Job#taskReference}
   * @param priority the priority of the job
   * @param spec the specification of the job
   */
  public void assign(long reference, Priority priority, JobSpec spec) {
    assigned.add(reference);
    assignedByPriority.add(priority, 1);
    resources.add(spec, 1);
    heartbeatUsage.assign(spec);
  }

  /**
   * Removes an assigned task.
   *
   * @param reference the task, by {@link Job#taskReference}
   * @param priority the priority of the job
   * @param spec the specification of the job
   * @param maybeListed whether the machine may list the task in its heartbeats from now on
   */
  public void unassign(long reference, Priority priority, JobSpec spec, boolean maybeListed) {
    assigned.remove(reference);
    assignedByPriority.add(priority, -1);
    resources.add(spec, -1);
    heartbeatUsage.unassign(spec, maybeListed);
    if (assigned.isEmpty()) {
      resources.clear();
    }
  }

  /**
   * Returns the time since a heartbeat of the machine was last answered, in milliseconds; 0 if none
   * was.
   */
  public long sinceHeartbeatAnswerMs(long now) {
    return reachability.sinceHeartbeatAnswerMs(now);
  }

  /** Changes the number of assigned tasks whose placements are not durable yet. */
  public void addPendingPlacements(int change) {
    pendingPlacements += change;
  }

  /** Returns the number of assigned tasks whose placements are not durable yet. */
  public int pendingPlacements() {
    return pendingPlacements;
  }

  /** Counts one of the assigned tasks under another priority. */
  public void reprioritize(Priority from, Priority to) {
    assignedByPriority.add(from, -1);
    assignedByPriority.add(to, 1);
  }

  /** Returns the number of assigned tasks of lower priority than this. */
  public int assignedBelow(Priority priority) {
    return assignedByPriority.below(priority);
  }

  /**
   * Restores a machine that was presumed gone, since neither heartbeats nor the cloud's list showed
   * it, and has appeared again. Its agent epochs up to the highest known one count as ended.
   */
  public void restore() {
    lifecycle.markPresent();
    session.clearAcknowledgement();
    registration = Registration.NONE;
    session.markEndedThrough(session.epoch());
    reachability.revokeProof(session.lastHeartbeatAt());
  }

  /** Returns whether the machine may get new tasks. */
  public boolean isUsable(long now) {
    return unusableReason(now) == null;
  }

  /**
   * Returns whether heartbeats are overdue: the machine seems to reach no controller, though it may
   * answer direct messages.
   */
  public boolean isMissingHeartbeats(long now) {
    return now >= session.heartbeatDueAt();
  }

  /**
   * Returns the reason why the machine gets no new tasks, as it is logged; null if the machine is
   * usable.
   */
  public String unusableReason(long now) {
    if (lifecycle.isLeaving()) {
      return "leaving";
    }
    String silenceReason = silenceReason(now);
    if (silenceReason != null) {
      return silenceReason;
    }
    if (!session.isAcknowledged()) {
      return "unacknowledged";
    }
    if (!reachability.isProven()) {
      return reachability.unansweredMessages() >= Reachability.MIN_UNANSWERED_MESSAGES
          ? "unreachable"
          : "unproven";
    }
    return blockedReason(now);
  }

  private String silenceReason(long now) {
    if (session.lastHeartbeatAt() == MonotonicTime.UNSET) {
      return "unheard";
    }
    if (preemptionAt != Long.MAX_VALUE) {
      return "preemption_notice";
    }
    if (quarantined) {
      return "quarantined";
    }
    if (suspected || now >= session.silentAt()) {
      return "silent";
    }
    return isMissingHeartbeats(now) ? "missing_heartbeats" : null;
  }

  private String blockedReason(long now) {
    if (!isRegistered()) {
      return "unrecorded";
    }
    if (unaccountedTasks > 0) {
      return "unaccounted";
    }
    if (now < failures.blockedUntil()) {
      return "failing";
    }
    return machineType() == null || now < blockedUntil ? "blocked" : null;
  }

  /**
   * Records that a task on the machine uses an image.
   *
   * @param image the name of the image
   * @param sizeGb the size of the image in GB
   */
  public void touchImage(String image, double sizeGb) {
    images.touch(image, sizeGb, machineType() == null ? Double.MAX_VALUE : machineType().cacheGb());
  }

  /**
   * Records the run time of a finished task.
   *
   * @param ratio the run time divided by the median run time of the task's array
   */
  public void recordRunTimeRatio(double ratio) {
    runTimeRatios.add(ratio);
  }

  /**
   * Returns how slow the machine is: the median ratio of a task's run time to the median run time
   * of the task's array; 1 if no task has finished.
   */
  public double slowness() {
    return runTimeRatios.median();
  }

  /** Returns the number of tasks that have finished on the machine. */
  public int finishedTaskCount() {
    return runTimeRatios.count();
  }

  /** Returns the network address of the agent; null if unknown. */
  public String address() {
    return address;
  }

  /** Sets the network address of the agent. */
  public void setAddress(String address) {
    this.address = address;
  }

  /** Returns the name of the machine type; null if unknown. */
  public String type() {
    return type;
  }

  /** Sets the name of the machine type. */
  public void setType(String type) {
    this.type = type;
  }

  /** Returns the index of the zone. */
  public int zone() {
    return zone;
  }

  /** Sets the index of the zone. */
  public void setZone(int zone) {
    this.zone = zone;
  }

  /** Returns whether the machine is a spot machine, which the cloud may take back at any time. */
  public boolean isSpot() {
    return spot;
  }

  /** Sets whether the machine is a spot machine. */
  public void setSpot(boolean spot) {
    this.spot = spot;
  }

  /** Returns the machine type; null if unknown. */
  public MachineType machineType() {
    return resources.type();
  }

  /** Sets the machine type. */
  public void setMachineType(MachineType machineType) {
    resources.setType(machineType);
  }

  /** Returns the highest known epoch of the agent; 0 if none is known. */
  public long epoch() {
    return session.epoch();
  }

  /**
   * Returns the time at which this leader applied the newest heartbeat; {@link MonotonicTime#UNSET}
   * if there was none.
   */
  public long lastHeartbeatAt() {
    return session.lastHeartbeatAt();
  }

  /** Returns whether the entry in the stored registry is durable. */
  public boolean isRegistered() {
    return registration == Registration.DURABLE;
  }

  /** Returns whether the write of the entry in the stored registry has yet to begin. */
  public boolean needsRegistration() {
    return registration == Registration.NONE;
  }

  /** Records that the entry in the stored registry is being written. */
  public void beginRegistration() {
    registration = Registration.IN_PROGRESS;
  }

  /** Records that the entry in the stored registry is durable. */
  public void markRegistered() {
    registration = Registration.DURABLE;
  }

  /**
   * Returns whether a probe, which is a message to check that the machine is up, awaits its answer.
   */
  public boolean isProbing() {
    return probing;
  }

  /** Records that a probe has been queued. */
  public void beginProbe() {
    probing = true;
  }

  /** Records that the probe was answered or has failed. */
  public void endProbe() {
    probing = false;
  }

  /** Returns whether the machine left a message unanswered while it sent no heartbeats. */
  public boolean isSuspected() {
    return suspected;
  }

  /** Records that the machine left a message unanswered while it sent no heartbeats. */
  public void markSuspected() {
    suspected = true;
  }

  /** Clears the suspicion after a heartbeat. */
  public void clearSuspicion() {
    suspected = false;
  }

  /** Returns whether the machine gets no more tasks, since tasks of healthy jobs fail on it. */
  public boolean isQuarantined() {
    return quarantined;
  }

  /** Excludes the machine from new tasks for good, since tasks of healthy jobs fail on it. */
  public void quarantine() {
    quarantined = true;
  }

  /**
   * Returns the time at which the cloud will take the machine back, according to a preemption
   * notice; {@link Long#MAX_VALUE} if there is no notice.
   */
  public long preemptionAt() {
    return preemptionAt;
  }

  /** Sets the time at which the cloud will take the machine back. */
  public void setPreemptionAt(long preemptionAt) {
    this.preemptionAt = preemptionAt;
  }

  /**
   * Returns the time before which the machine gets no new tasks, after a refusal or a missing
   * answer.
   */
  public long blockedUntil() {
    return blockedUntil;
  }

  /** Sets the time before which the machine gets no new tasks. */
  public void setBlockedUntil(long blockedUntil) {
    this.blockedUntil = blockedUntil;
  }

  /**
   * Returns the time since which no task is assigned to the machine; 0 before its first heartbeat.
   */
  public long idleSince() {
    return idleSince;
  }

  /** Sets the time since which no task is assigned to the machine. */
  public void setIdleSince(long idleSince) {
    this.idleSince = idleSince;
  }

  /** Returns the time until which preemption on the machine is under way; none starts before. */
  public long preemptingUntil() {
    return preemptingUntil;
  }

  /** Sets the time until which preemption on the machine is under way. */
  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  /** Returns the number of tasks running on the machine whose jobs are quarantined. */
  public int unaccountedTasks() {
    return unaccountedTasks;
  }

  /** Sets the number of tasks running on the machine whose jobs are quarantined. */
  public void setUnaccountedTasks(int unaccountedTasks) {
    this.unaccountedTasks = unaccountedTasks;
  }

  /** Returns the number of tasks that an earlier leader assigned and this leader has not seen. */
  public int adoptedTasks() {
    return adoptedTasks;
  }

  /** Adds to the number of tasks that an earlier leader assigned and this leader has not seen. */
  public void addAdoptedTasks(int delta) {
    adoptedTasks += delta;
  }

  /** Returns the page of the stored registry that lists the machine; -1 if none does. */
  public int registryPage() {
    return registryPage;
  }

  /** Sets the page of the stored registry that lists the machine; -1 if none does. */
  public void setRegistryPage(int registryPage) {
    this.registryPage = registryPage;
  }

  /** Returns the channel for commands to the machine. */
  public CommandChannel commands() {
    return commands;
  }

  /** Sets the channel for commands to the machine. */
  public void setCommands(CommandChannel commands) {
    this.commands = commands;
  }
}
