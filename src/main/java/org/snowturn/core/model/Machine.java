package org.snowturn.core.model;

import java.util.LinkedHashMap;
import java.util.Map;
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
  private String addr;
  private String type;
  private int zone;
  private boolean spot;
  private MachineType machineType;

  private long epoch;
  private long heartbeatSeq = -1;

  /** The highest session in which everything has certainly ended. */
  private long endedEpoch = -1;

  private long lastHeartbeatAt = MonotonicTime.NEVER;

  /** From then on, without another report, the machine may have died: nothing new goes there. */
  private long silentFrom = MonotonicTime.NEVER;

  /**
   * By then it should have checked in here. What it answers to direct messages renews no lease, so
   * from then on nothing new goes there.
   */
  private long heartbeatDueAt = Long.MAX_VALUE;

  /** When a 200 that may have renewed the lease could last have been sent, by any leader. */
  private long lastAnswerAt;

  /** Whether a report in the current session carried this leader's token. */
  private boolean acknowledged;

  private Registration registration = Registration.NONE;
  private Presence presence = Presence.PRESENT;
  private Usage usage = Usage.IN_USE;
  private long terminateRetryAt;
  private boolean probing;
  private boolean suspected;
  private boolean quarantined;
  private long preemptionAt = Long.MAX_VALUE;
  private long firstSeenAt;

  /** Whether this leader has hired it. */
  private boolean rentedByThisTerm;

  private long listedAt = MonotonicTime.NEVER;
  private CloudMachine.State cloudState = CloudMachine.State.STARTING;
  private long blockedUntil;
  private long idleSince;
  private long preemptingUntil;

  private double cpusUsed;
  private double gpusUsed;
  private double memoryUsed;
  public final LongHashSet assigned = new LongHashSet();

  /** Tasks that run there of jobs that are left alone since a record cannot be read. */
  private int unaccounted;

  /** How many of what is bound there is of each priority. */
  private final int[] assignedByPriority = new int[Priority.values().length];

  /** How many of them an earlier leader bound and this one has not seen yet. */
  private int adoptedTasks;

  /** Images that the machine should have, most recently used last, with their sizes. */
  public final Map<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** The page of the registry that it is on, or -1. */
  private int registryPage = -1;

  /** Whether the stored list of images is behind. */
  private boolean imagesChanged;

  /** Failures there since the last success that no suspect job explains. */
  private int unexplainedFailures;

  /** Whether work has succeeded there and no sound job has failed since. */
  private boolean sound;

  /** Nothing new goes there before, since what failed there last may be the machine's fault. */
  private long blockedForFailures;

  /** Whether it receives what it is sent. */
  public final Reachability reachability = new Reachability();

  private double workDone;
  private final double[] ratios = new double[32];
  private int ratioCount;
  private double slowness = 1;

  /**
   * Attempts whose direct start got no answer: it may still arrive, so they are never forgotten.
   */
  public final LongHashSet startsInDoubt = new LongHashSet();

  private CommandChannel commands;

  public Machine(int index, String id) {
    this.index = index;
    this.id = id;
  }

  public boolean hasRoom(JobSpec spec) {
    return machineType != null
        && cpusUsed + spec.cpus() <= machineType.cpus() + 1e-6
        && gpusUsed + spec.gpus() <= machineType.gpus() + 1e-6
        && memoryUsed + spec.memoryGb() <= machineType.memoryGb() + 1e-6;
  }

  /** How many tasks of the job fit beside what is there. */
  public int roomFor(JobSpec spec) {
    if (machineType == null) {
      return 0;
    }
    double n = 1000;
    n = spec.cpus() > 0 ? Math.min(n, (machineType.cpus() - cpusUsed + 1e-6) / spec.cpus()) : n;
    n = spec.gpus() > 0 ? Math.min(n, (machineType.gpus() - gpusUsed + 1e-6) / spec.gpus()) : n;
    n =
        spec.memoryGb() > 0
            ? Math.min(n, (machineType.memoryGb() - memoryUsed + 1e-6) / spec.memoryGb())
            : n;
    return (int) Math.max(0, Math.floor(n));
  }

  public double cpusFree() {
    return machineType == null ? 0 : machineType.cpus() - cpusUsed;
  }

  public void adjustUsage(JobSpec spec, int sign) {
    cpusUsed += sign * spec.cpus();
    gpusUsed += sign * spec.gpus();
    memoryUsed += sign * spec.memoryGb();
    if (assigned.isEmpty()) {
      cpusUsed = 0;
      gpusUsed = 0;
      memoryUsed = 0;
    }
  }

  /** A task of this priority has come, or gone. */
  public void adjustCount(Priority priority, int sign) {
    assignedByPriority[priority.ordinal()] += sign;
  }

  /** How many of the tasks there are of lower priority than this. */
  public int assignedBelow(Priority priority) {
    int n = 0;
    for (int i = priority.ordinal() + 1; i < assignedByPriority.length; i++) {
      n += assignedByPriority[i];
    }
    return n;
  }

  /** Taken for gone because it was neither heard of nor listed, and yet there: starts anew. */
  public void restart() {
    presence = Presence.PRESENT;
    acknowledged = false;
    registration = Registration.NONE;
    endedEpoch = Math.max(endedEpoch, epoch);
    reachability.doubt(lastHeartbeatAt);
  }

  /** Whether new work may go there. */
  public boolean usable(long now) {
    return whyNotUsable(now) == null;
  }

  /** Whether it seems to reach no controller, though it may answer direct messages. */
  public boolean missesHeartbeats(long now) {
    return now >= heartbeatDueAt;
  }

  /** Why no new work may go there, in a word for operators; null if it may. */
  public String whyNotUsable(long now) {
    if (presence != Presence.PRESENT || usage != Usage.IN_USE) {
      return "leaving";
    }
    if (lastHeartbeatAt == MonotonicTime.NEVER) {
      return "unheard";
    }
    if (preemptionAt != Long.MAX_VALUE) {
      return "noticed";
    }
    if (quarantined) {
      return "sick";
    }
    if (suspected || now >= silentFrom) {
      return "silent";
    }
    if (missesHeartbeats(now)) {
      return "mute";
    }
    if (!acknowledged) {
      return "unacknowledged";
    }
    if (!reachability.proven()) {
      return reachability.inVain() >= Reachability.DEAF_AFTER ? "deaf" : "unproven";
    }
    if (!isRegistered()) {
      return "unrecorded";
    }
    if (unaccounted > 0) {
      return "unaccounted";
    }
    if (now < blockedForFailures) {
      return "failing";
    }
    return machineType == null || now < blockedUntil ? "blocked" : null;
  }

  public void touchImage(String image, double gb) {
    if (images.get(image) != null) {
      return; // and it is the last used one now
    }
    images.put(image, gb);
    imagesChanged = true;
    double total = 0;
    for (double g : images.values()) {
      total += g;
    }
    var oldest = images.entrySet().iterator();
    double cache = machineType == null ? Double.MAX_VALUE : machineType.cacheGb();
    while (total > cache && images.size() > 1 && oldest.hasNext()) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  public void finishedWork(double ratio) {
    ratios[ratioCount++ % ratios.length] = ratio;
    slowness = Double.NaN;
    workDone += 1;
  }

  /** The median of finished run times over their arrays' medians; 1 before there are any. */
  public double slowness() {
    if (Double.isNaN(slowness)) {
      double[] sorted = java.util.Arrays.copyOf(ratios, Math.min(ratioCount, ratios.length));
      java.util.Arrays.sort(sorted);
      slowness = sorted[sorted.length / 2];
    }
    return slowness;
  }

  public String addr() {
    return addr;
  }

  public void setAddr(String addr) {
    this.addr = addr;
  }

  public String type() {
    return type;
  }

  public void setType(String type) {
    this.type = type;
  }

  public int zone() {
    return zone;
  }

  public void setZone(int zone) {
    this.zone = zone;
  }

  public boolean isSpot() {
    return spot;
  }

  public void setSpot(boolean spot) {
    this.spot = spot;
  }

  public MachineType machineType() {
    return machineType;
  }

  public void setMachineType(MachineType machineType) {
    this.machineType = machineType;
  }

  public long epoch() {
    return epoch;
  }

  public void setEpoch(long epoch) {
    this.epoch = epoch;
  }

  public long heartbeatSeq() {
    return heartbeatSeq;
  }

  public void setHeartbeatSeq(long heartbeatSeq) {
    this.heartbeatSeq = heartbeatSeq;
  }

  /** The highest session in which everything has certainly ended. */
  public long endedEpoch() {
    return endedEpoch;
  }

  public void setEndedEpoch(long endedEpoch) {
    this.endedEpoch = endedEpoch;
  }

  public long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  public void setLastHeartbeatAt(long lastHeartbeatAt) {
    this.lastHeartbeatAt = lastHeartbeatAt;
  }

  /** From then on, without another report, the machine may have died: nothing new goes there. */
  public long silentFrom() {
    return silentFrom;
  }

  public void setSilentFrom(long silentFrom) {
    this.silentFrom = silentFrom;
  }

  /**
   * By then it should have checked in here. What it answers to direct messages renews no lease, so
   * from then on nothing new goes there.
   */
  public long heartbeatDueAt() {
    return heartbeatDueAt;
  }

  public void setHeartbeatDueAt(long heartbeatDueAt) {
    this.heartbeatDueAt = heartbeatDueAt;
  }

  /** When a 200 that may have renewed the lease could last have been sent, by any leader. */
  public long lastAnswerAt() {
    return lastAnswerAt;
  }

  public void setLastAnswerAt(long lastAnswerAt) {
    this.lastAnswerAt = lastAnswerAt;
  }

  /** Whether a heartbeat of the current session carried this leader's token. */
  public boolean isAcknowledged() {
    return acknowledged;
  }

  /** A heartbeat of the current session carried this leader's token. */
  public void acknowledge() {
    acknowledged = true;
  }

  /** Its session is over: a new one has not seen this leader's token yet. */
  public void clearAcknowledgement() {
    acknowledged = false;
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
  public void registered() {
    registration = Registration.DURABLE;
  }

  /** Whether it is taken for gone, whether or not the cloud has confirmed that. */
  public boolean isTerminated() {
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
    return usage == Usage.TERMINATING;
  }

  /** It is to be deleted. */
  public void beginTermination() {
    usage = Usage.TERMINATING;
  }

  /** Whether it is drained since it is not needed, and not to be deleted yet. */
  public boolean isScalingIn() {
    return usage == Usage.SCALING_IN;
  }

  /** It is not needed any more and gets no new work, unless it is to be deleted anyway. */
  public void beginScaleIn() {
    usage = usage == Usage.IN_USE ? Usage.SCALING_IN : usage;
  }

  /** It is needed after all. */
  public void cancelScaleIn() {
    usage = usage == Usage.SCALING_IN ? Usage.IN_USE : usage;
  }

  public long terminateRetryAt() {
    return terminateRetryAt;
  }

  public void setTerminateRetryAt(long terminateRetryAt) {
    this.terminateRetryAt = terminateRetryAt;
  }

  /** Whether a message that is to find out whether it is up has no answer yet. */
  public boolean isProbing() {
    return probing;
  }

  /** A message that is to find out whether it is up has been queued. */
  public void probeSent() {
    probing = true;
  }

  /** That message was answered, or was in vain. */
  public void probeSettled() {
    probing = false;
  }

  /** Whether it left a message unanswered while no heartbeat of it came. */
  public boolean isSuspected() {
    return suspected;
  }

  /** It left a message unanswered while no heartbeat of it came. */
  public void suspect() {
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

  public long preemptionAt() {
    return preemptionAt;
  }

  public void setPreemptionAt(long preemptionAt) {
    this.preemptionAt = preemptionAt;
  }

  public long firstSeenAt() {
    return firstSeenAt;
  }

  public void setFirstSeenAt(long firstSeenAt) {
    this.firstSeenAt = firstSeenAt;
  }

  /** Whether this leader has rented it. */
  public boolean isRentedByThisTerm() {
    return rentedByThisTerm;
  }

  /** This leader has rented it. */
  public void markRentedByThisTerm() {
    rentedByThisTerm = true;
  }

  public long listedAt() {
    return listedAt;
  }

  public void setListedAt(long listedAt) {
    this.listedAt = listedAt;
  }

  public CloudMachine.State cloudState() {
    return cloudState;
  }

  public void setCloudState(CloudMachine.State cloudState) {
    this.cloudState = cloudState;
  }

  public long blockedUntil() {
    return blockedUntil;
  }

  public void setBlockedUntil(long blockedUntil) {
    this.blockedUntil = blockedUntil;
  }

  public long idleSince() {
    return idleSince;
  }

  public void setIdleSince(long idleSince) {
    this.idleSince = idleSince;
  }

  public long preemptingUntil() {
    return preemptingUntil;
  }

  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  public double cpusUsed() {
    return cpusUsed;
  }

  public double gpusUsed() {
    return gpusUsed;
  }

  public double memoryUsed() {
    return memoryUsed;
  }

  /** Tasks that run there of jobs that are left alone since a record cannot be read. */
  public int unaccounted() {
    return unaccounted;
  }

  public void setUnaccounted(int unaccounted) {
    this.unaccounted = unaccounted;
  }

  /** How many of them an earlier leader bound and this one has not seen yet. */
  public int adoptedTasks() {
    return adoptedTasks;
  }

  public void addAdoptedTasks(int delta) {
    adoptedTasks += delta;
  }

  /** The page of the registry that it is on, or -1. */
  public int registryPage() {
    return registryPage;
  }

  public void setRegistryPage(int registryPage) {
    this.registryPage = registryPage;
  }

  /** Whether the stored list of images is behind. */
  public boolean isImagesChanged() {
    return imagesChanged;
  }

  public void setImagesChanged(boolean imagesChanged) {
    this.imagesChanged = imagesChanged;
  }

  /** Failures there since the last success that no suspect job explains. */
  public int unexplainedFailures() {
    return unexplainedFailures;
  }

  public void setUnexplainedFailures(int unexplainedFailures) {
    this.unexplainedFailures = unexplainedFailures;
  }

  /** Whether work has succeeded there and no sound job has failed since. */
  public boolean isSound() {
    return sound;
  }

  public void setSound(boolean sound) {
    this.sound = sound;
  }

  /** Nothing new goes there before, since what failed there last may be the machine's fault. */
  public long blockedForFailures() {
    return blockedForFailures;
  }

  public void setBlockedForFailures(long blockedForFailures) {
    this.blockedForFailures = blockedForFailures;
  }

  public double workDone() {
    return workDone;
  }

  public CommandChannel commands() {
    return commands;
  }

  public void setCommands(CommandChannel commands) {
    this.commands = commands;
  }
}
