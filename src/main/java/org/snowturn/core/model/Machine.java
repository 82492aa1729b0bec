package org.snowturn.core.model;

import java.util.LinkedHashMap;
import java.util.Map;
import org.agrona.collections.LongHashSet;
import org.snowturn.core.health.Reachability;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.Priority;

/** A machine as the leader sees it: its session, what may be on it, and how it has been doing. */
public final class Machine {
  public final int index;
  public final String id;
  public String addr;
  public String type;
  public int zone;
  public boolean spot;
  public MachineType machineType;

  public long epoch;
  public long heartbeatSeq = -1;

  /** The highest session in which everything has certainly ended. */
  public long endedEpoch = -1;

  public long lastHeartbeatAt = Job.UNKNOWN;

  /** From then on, without another report, the machine may have died: nothing new goes there. */
  public long silentFrom = Job.UNKNOWN;

  /**
   * By then it should have checked in here. What it answers to direct messages renews no lease, so
   * from then on nothing new goes there.
   */
  public long heartbeatDueAt = Long.MAX_VALUE;

  /** When a 200 that may have renewed the lease could last have been sent, by any leader. */
  public long lastAnswerAt;

  /** Whether a report in the current session carried this leader's token. */
  public boolean acknowledged;

  public boolean recorded;
  public boolean recording;
  public boolean terminated;

  /** Gone for good: the cloud confirmed it. */
  public boolean terminationConfirmed;

  public boolean terminating;
  public long terminateRetryAt;
  public boolean probing;
  public boolean suspected;
  public boolean quarantined;
  public boolean scalingIn;
  public long preemptionAt = Long.MAX_VALUE;
  public long firstSeenAt;

  /** Whether this leader has hired it. */
  public boolean rentedByThisTerm;

  public long listedAt = Job.UNKNOWN;
  public CloudMachine.State cloudState = CloudMachine.State.STARTING;
  public long blockedUntil;
  public long idleSince;
  public long preemptingUntil;

  public double cpusUsed;
  public double gpusUsed;
  public double memoryUsed;
  public final LongHashSet assigned = new LongHashSet();

  /** Tasks that run there of jobs that are left alone since a record cannot be read. */
  public int unaccounted;

  /** How many of what is bound there is of each priority. */
  private final int[] assignedByPriority = new int[Priority.values().length];

  /** How many of them an earlier leader bound and this one has not seen yet. */
  public int adoptedTasks;

  /** Images that the machine should have, most recently used last, with their sizes. */
  public final Map<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** The page of the registry that it is on, or -1. */
  public int registryPage = -1;

  /** Whether the stored list of images is behind. */
  public boolean imagesChanged;

  /** Failures there since the last success that no suspect job explains. */
  public int unexplainedFailures;

  /** Whether work has succeeded there and no sound job has failed since. */
  public boolean sound;

  /** Nothing new goes there before, since what failed there last may be the machine's fault. */
  public long blockedForFailures;

  /** Whether it receives what it is sent. */
  public final Reachability reachability = new Reachability();

  public double workDone;
  private final double[] ratios = new double[32];
  private int ratioCount;
  private double slowness = 1;

  /**
   * Attempts whose direct start got no answer: it may still arrive, so they are never forgotten.
   */
  public final LongHashSet startsInDoubt = new LongHashSet();

  public CommandChannel commands;

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
    terminated = false;
    acknowledged = false;
    recorded = false;
    recording = false;
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
    if (terminated || terminating || scalingIn) {
      return "leaving";
    }
    if (lastHeartbeatAt == Job.UNKNOWN) {
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
    if (!recorded) {
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
}
