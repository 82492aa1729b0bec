package org.snowturn.core.model;

import org.agrona.collections.LongHashSet;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.health.Reachability;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.Priority;

/** A machine as the leader sees it: its session, what may be on it, and how it has been doing. */
public final class Machine {
  public final int index;
  public final String id;
  private String address;
  private String type;
  private int zone;
  private boolean spot;
  private final ResourceUsage resources = new ResourceUsage();
  private Registration registration = Registration.NONE;
  private Presence presence = Presence.PRESENT;
  private IntendedUse usage = IntendedUse.IN_USE;
  private long terminateRetryAt;
  private boolean probing;
  private boolean suspected;
  private boolean quarantined;
  private long preemptionAt = Long.MAX_VALUE;
  private long firstSeenAt;

  private boolean rentedByThisTerm;

  private long listedAt = MonotonicTime.NEVER;
  private CloudMachine.State cloudState = CloudMachine.State.STARTING;
  private long blockedUntil;
  private long idleSince;
  private long preemptingUntil;

  public final LongHashSet assigned = new LongHashSet();

  /** Tasks that run there of jobs that are left alone since a record cannot be read. */
  private int unaccountedTasks;

  private final PriorityCounts assignedByPriority = new PriorityCounts();

  /** How many of them an earlier leader bound and this one has not seen yet. */
  private int adoptedTasks;

  /** The images that it should have. */
  public final ImageCache images = new ImageCache();

  /** The page of the registry that it is on, or -1. */
  private int registryPage = -1;

  /** The session of its agent. */
  public final AgentSession session = new AgentSession();

  /** What failures of tasks tell of it. */
  public final MachineFailures failures = new MachineFailures();

  /** Whether it receives what it is sent. */
  public final Reachability reachability = new Reachability();

  private final RunTimeRatios runTimes = new RunTimeRatios();

  /**
   * Attempts whose direct start got no answer: it may still arrive, so they are never forgotten.
   */
  public final LongHashSet startsInDoubt = new LongHashSet();

  private CommandChannel commands;

  /** A machine of which nothing else is known yet. */
  public Machine(int index, String id) {
    this.index = index;
    this.id = id;
  }

  /** Whether one more task of the job fits beside what is there. */
  public boolean hasRoom(JobSpec spec) {
    return resources.hasRoom(spec);
  }

  /** How many tasks of the job fit beside what is there. */
  public int roomFor(JobSpec spec) {
    return resources.roomFor(spec);
  }

  /** CPUs that no assigned task uses; 0 while its type is unknown. */
  public double cpusFree() {
    return resources.cpusFree();
  }

  /** CPUs that assigned tasks use. */
  public double cpusUsed() {
    return resources.cpus();
  }

  /** GPUs that assigned tasks use. */
  public double gpusUsed() {
    return resources.gpus();
  }

  /** Memory in GB that assigned tasks use. */
  public double memoryUsedGb() {
    return resources.memoryGb();
  }

  /** A task is assigned to it; {@code reference} names the task. */
  public void assign(long reference, Priority priority, JobSpec spec) {
    assigned.add(reference);
    assignedByPriority.add(priority, 1);
    resources.add(spec, 1);
  }

  /** The task is not assigned to it any more. */
  public void unassign(long reference, Priority priority, JobSpec spec) {
    assigned.remove(reference);
    assignedByPriority.add(priority, -1);
    resources.add(spec, -1);
    if (assigned.isEmpty()) {
      resources.clear();
    }
  }

  /** One of its tasks has another priority now. */
  public void reprioritize(Priority from, Priority to) {
    assignedByPriority.add(from, -1);
    assignedByPriority.add(to, 1);
  }

  /** How many of the tasks there are of lower priority than this. */
  public int assignedBelow(Priority priority) {
    return assignedByPriority.below(priority);
  }

  /** It was taken for gone since it was neither heard nor listed, and yet it is there. */
  public void restore() {
    presence = Presence.PRESENT;
    session.clearAcknowledgement();
    registration = Registration.NONE;
    session.markEndedThrough(session.epoch());
    reachability.revokeProof(session.lastHeartbeatAt());
  }

  /** Whether new work may go there. */
  public boolean isUsable(long now) {
    return unusableReason(now) == null;
  }

  /** Whether it seems to reach no controller, though it may answer direct messages. */
  public boolean isMissingHeartbeats(long now) {
    return now >= session.heartbeatDueAt();
  }

  /** Why no new work may go there, in a word for operators; null if it may. */
  public String unusableReason(long now) {
    if (presence != Presence.PRESENT || usage != IntendedUse.IN_USE) {
      return "leaving";
    }
    String silence = whySilent(now);
    if (silence != null) {
      return silence;
    }
    if (!session.isAcknowledged()) {
      return "unacknowledged";
    }
    if (!reachability.proven()) {
      return reachability.unansweredMessages() >= Reachability.UNREACHABLE_AFTER
          ? "unreachable"
          : "unproven";
    }
    return whyBlocked(now);
  }

  private String whySilent(long now) {
    if (session.lastHeartbeatAt() == MonotonicTime.NEVER) {
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

  private String whyBlocked(long now) {
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

  /** An image is used there, of this size in GB. */
  public void touchImage(String image, double gb) {
    images.touch(image, gb, machineType() == null ? Double.MAX_VALUE : machineType().cacheGb());
  }

  /** A task has finished; its run time over the median of its array. */
  public void recordRunTimeRatio(double ratio) {
    runTimes.add(ratio);
  }

  /** The median of finished run times over their arrays' medians; 1 before there are any. */
  public double slowness() {
    return runTimes.median();
  }

  /** How many tasks have finished there. */
  public int finishedTaskCount() {
    return runTimes.count();
  }

  /** Where it is reached; null if that is not known. */
  public String address() {
    return address;
  }

  /** It is reached there. */
  public void setAddress(String addr) {
    this.address = addr;
  }

  /** The name of its type; null if that is not known. */
  public String type() {
    return type;
  }

  /** Its type has this name. */
  public void setType(String type) {
    this.type = type;
  }

  /** The dense index of its zone. */
  public int zone() {
    return zone;
  }

  /** It is in this zone. */
  public void setZone(int zone) {
    this.zone = zone;
  }

  /** Whether the cloud may take it back at any time. */
  public boolean isSpot() {
    return spot;
  }

  /** Whether the cloud may take it back at any time. */
  public void setSpot(boolean spot) {
    this.spot = spot;
  }

  /** Its type; null if that is not known. */
  public MachineType machineType() {
    return resources.type();
  }

  /** It is of this type. */
  public void setMachineType(MachineType machineType) {
    resources.type(machineType);
  }

  /** The highest epoch heard of its agent; 0 if none. */
  public long epoch() {
    return session.epoch();
  }

  /** When this leader took in its newest heartbeat; {@link MonotonicTime#NEVER} if none. */
  public long lastHeartbeatAt() {
    return session.lastHeartbeatAt();
  }

  /** Whether its entry in the stored registry is durable. */
  public boolean isRegistered() {
    return registration == Registration.DURABLE;
  }

  /** Whether nothing has been done yet to enter it in the stored registry. */
  public boolean needsRegistration() {
    return registration == Registration.NONE;
  }

  /** Its entry in the stored registry is being written. */
  public void beginRegistration() {
    registration = Registration.IN_PROGRESS;
  }

  /** Its entry in the stored registry is durable. */
  public void markRegistered() {
    registration = Registration.DURABLE;
  }

  /** Whether it is taken for gone, whether or not the cloud has confirmed that. */
  public boolean isGone() {
    return presence != Presence.PRESENT;
  }

  /** Whether the cloud has confirmed that it is gone for good. */
  public boolean isTerminationConfirmed() {
    return presence == Presence.TERMINATED;
  }

  /** It is taken for gone. */
  void presumeGone() {
    if (presence == Presence.PRESENT) {
      presence = Presence.PRESUMED_GONE;
    }
  }

  /** The cloud has confirmed that it is gone for good. */
  public void confirmTermination() {
    presence = Presence.TERMINATED;
  }

  /** Whether it is to be deleted; once it is, that stays so. */
  public boolean isTerminating() {
    return usage == IntendedUse.TERMINATING;
  }

  /** It is to be deleted. */
  public void beginTermination() {
    usage = IntendedUse.TERMINATING;
  }

  /** Whether it is drained since it is not needed, and not to be deleted yet. */
  public boolean isScalingIn() {
    return usage == IntendedUse.SCALING_IN;
  }

  /** It is not needed any more and gets no new work, unless it is to be deleted anyway. */
  public void beginScaleIn() {
    usage = usage == IntendedUse.IN_USE ? IntendedUse.SCALING_IN : usage;
  }

  /** It is needed after all. */
  public void cancelScaleIn() {
    usage = usage == IntendedUse.SCALING_IN ? IntendedUse.IN_USE : usage;
  }

  /** Before this time no deletion is sent to the cloud. */
  public long terminateRetryAt() {
    return terminateRetryAt;
  }

  /** No deletion is to be sent to the cloud before this time. */
  public void setTerminateRetryAt(long terminateRetryAt) {
    this.terminateRetryAt = terminateRetryAt;
  }

  /** Whether a message that is to find out whether it is up has no answer yet. */
  public boolean isProbing() {
    return probing;
  }

  /** A message that is to find out whether it is up has been queued. */
  public void beginProbe() {
    probing = true;
  }

  /** That message was answered, or was in vain. */
  public void endProbe() {
    probing = false;
  }

  /** Whether it left a message unanswered while no heartbeat of it came. */
  public boolean isSuspected() {
    return suspected;
  }

  /** It left a message unanswered while no heartbeat of it came. */
  public void markSuspected() {
    suspected = true;
  }

  /** It has been heard. */
  public void clearSuspicion() {
    suspected = false;
  }

  /** Whether tasks of sound jobs fail there: it gets no more work. */
  public boolean isQuarantined() {
    return quarantined;
  }

  /** It gets no more work, since tasks of sound jobs fail there. */
  public void quarantine() {
    quarantined = true;
  }

  /** When the cloud takes it back, by its notice; {@link Long#MAX_VALUE} without one. */
  public long preemptionAt() {
    return preemptionAt;
  }

  /** The cloud takes it back then. */
  public void setPreemptionAt(long preemptionAt) {
    this.preemptionAt = preemptionAt;
  }

  /** Since when it is known to exist; 0 if not known. */
  public long firstSeenAt() {
    return firstSeenAt;
  }

  /** It is known to exist since then. */
  public void setFirstSeenAt(long firstSeenAt) {
    this.firstSeenAt = firstSeenAt;
  }

  /** Whether this leader has rented it. */
  public boolean isRentedInThisTerm() {
    return rentedByThisTerm;
  }

  /** This leader has rented it. */
  public void markRentedInThisTerm() {
    rentedByThisTerm = true;
  }

  /** When the cloud listed it last; {@link MonotonicTime#NEVER} if it did not. */
  public long listedAt() {
    return listedAt;
  }

  /** The cloud has listed it. */
  public void setListedAt(long listedAt) {
    this.listedAt = listedAt;
  }

  /** Its state when the cloud listed it last. */
  public CloudMachine.State cloudState() {
    return cloudState;
  }

  /** The cloud has listed it in this state. */
  public void setCloudState(CloudMachine.State cloudState) {
    this.cloudState = cloudState;
  }

  /** Nothing new goes there before, since it has refused a task or not answered. */
  public long blockedUntil() {
    return blockedUntil;
  }

  /** Nothing new goes there before this time. */
  public void setBlockedUntil(long blockedUntil) {
    this.blockedUntil = blockedUntil;
  }

  /** Since when no task is assigned to it; 0 if it has never been heard. */
  public long idleSince() {
    return idleSince;
  }

  /** No task is assigned to it since then. */
  public void setIdleSince(long idleSince) {
    this.idleSince = idleSince;
  }

  /** Room is being made there, so none more is made until then. */
  public long preemptingUntil() {
    return preemptingUntil;
  }

  /** Room is being made there until then. */
  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  /** Tasks that run there of jobs that are left alone since a record cannot be read. */
  public int unaccountedTasks() {
    return unaccountedTasks;
  }

  /** So many tasks run there of jobs that are left alone. */
  public void setUnaccountedTasks(int unaccounted) {
    this.unaccountedTasks = unaccounted;
  }

  /** How many of them an earlier leader bound and this one has not seen yet. */
  public int adoptedTasks() {
    return adoptedTasks;
  }

  /** So many tasks that an earlier leader assigned are to be seen there, or are no more. */
  public void addAdoptedTasks(int delta) {
    adoptedTasks += delta;
  }

  /** The page of the registry that it is on, or -1. */
  public int registryPage() {
    return registryPage;
  }

  /** It is on this page of the registry; -1 if on none. */
  public void setRegistryPage(int registryPage) {
    this.registryPage = registryPage;
  }

  /** The way to give it commands. */
  public CommandChannel commands() {
    return commands;
  }

  /** The way to give it commands. */
  public void setCommands(CommandChannel commands) {
    this.commands = commands;
  }
}
