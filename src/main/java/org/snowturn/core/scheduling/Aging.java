package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.RateMeter;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/**
 * Aging of jobs of which no task has been placed for long. The ordinary order lets the least work
 * go first, so a class's largest arrays would wait for as long as smaller ones keep coming. A job
 * that has waited past the operators' bound goes before the others, the longest first, with a batch
 * of its tasks; then its wait counts anew. All of them together get no more than a small share of
 * the placements.
 *
 * <p>Where smaller tasks take all room as soon as it is free, one that needs more of a machine
 * would never find it. For the longest waiting one a machine is reserved until it fits.
 */
final class Aging {
  /** The share of recent placements, in CPUs, that may go to long-waiting jobs. */
  static final double MAX_SHARE = 0.15;

  /** One in so many of a job's tasks is a batch. */
  private static final int BATCHES_PER_JOB = 8;

  private static final long AVERAGING_MS = 30_000;

  /** Looking for a machine to reserve walks all of them with what is there. */
  private static final long RESERVE_INTERVAL_MS = 1_000;

  private static final long MAX_RESERVATION_MS = 120_000;

  private final double maxWaitMs;
  private final RateMeter longWaitingPlacements = new RateMeter(AVERAGING_MS);
  private final RateMeter allPlacements = new RateMeter(AVERAGING_MS);

  /** The longest wait for a first or next task, by class, as of the last round. */
  private final Map<String, Double> longestWaitS = new HashMap<>();

  private List<Job> longWaiting = List.of();
  private Machine reservedMachine;
  private Job reservedFor;
  private long reservedAt;
  private long nextReserveAt;

  /** Lets go first what has waited so long, in seconds. */
  Aging(double maxWaitS) {
    this.maxWaitMs = maxWaitS * 1000;
  }

  private static double waitedMs(Job job, double wallMs) {
    return wallMs - Math.max(job.releasedWall(), job.placedWall());
  }

  /** Starts a round: which of the waiting jobs have waited for long, the longest first. */
  List<Job> beginRound(List<Job> waiting, double wallMs) {
    longestWaitS.clear();
    List<Job> found = new ArrayList<>();
    for (Job job : waiting) {
      double waitedMs = waitedMs(job, wallMs);
      longestWaitS.merge(job.spec.jobClass(), waitedMs / 1000, Math::max);
      if (waitedMs >= maxWaitMs && job.spec.kind() != JobSpec.Kind.GANG) {
        found.add(job);
      }
    }
    found.sort(
        Comparator.<Job>comparingDouble(job -> -waitedMs(job, wallMs))
            .thenComparing(job -> job.spec.id()));
    longWaiting = found;
    return found;
  }

  /** Whether long-waiting jobs have had no more than their share. */
  boolean isBelowShare(long nowMs) {
    return longWaitingPlacements.perSecond(nowMs) <= MAX_SHARE * allPlacements.perSecond(nowMs);
  }

  /** How many of a job's tasks go at a time. */
  static int batchSize(Job job) {
    return Math.max(1, job.taskCount() / BATCHES_PER_JOB);
  }

  /** A task was placed, since its job has waited for long or in the ordinary order. */
  void recordPlacement(double cpus, boolean forLongWait, long nowMs) {
    allPlacements.add(cpus, nowMs);
    if (forLongWait) {
      longWaitingPlacements.add(cpus, nowMs);
    }
  }

  /** Whether to look for a machine to reserve: none is, and it was not looked for just now. */
  boolean canReserve(long nowMs) {
    return reservedFor == null && nowMs >= nextReserveAt;
  }

  /** Reserves a machine for a job that found no room; null: there is no machine for it. */
  void reserve(Job job, Machine machine, long nowMs) {
    nextReserveAt = nowMs + RESERVE_INTERVAL_MS;
    if (machine != null) {
      reservedFor = job;
      reservedMachine = machine;
      reservedAt = nowMs;
    }
  }

  /** The machine that is reserved for another job than this; null if there is none. */
  Machine machineReservedForOther(Job job) {
    return reservedFor != null && reservedFor != job ? reservedMachine : null;
  }

  /**
   * Ends the reservation where its job no longer waits, the machine is no longer usable, or what
   * runs there does not end.
   */
  void releaseStaleReservation(List<Machine> usable, long nowMs) {
    boolean needed = longWaiting.contains(reservedFor) && usable.contains(reservedMachine);
    if (reservedFor != null && (!needed || nowMs - reservedAt > MAX_RESERVATION_MS)) {
      reservedFor = null;
      reservedMachine = null;
    }
  }

  /** For operators. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    longestWaitS.forEach(
        (jobClass, waitS) ->
            gauges.put("snowturn.wait.next.task.seconds{class=\"" + jobClass + "\"}", waitS));
    gauges.put("snowturn.jobs.long.waiting", (double) longWaiting.size());
    return gauges;
  }
}
