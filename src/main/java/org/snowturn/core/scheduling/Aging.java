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
 * Aging of waiting jobs, which prevents their starvation. The scheduling order places the job with
 * the least remaining work first, so the largest arrays of a class would wait as long as smaller
 * ones keep arriving. A job that has waited longer than the configured maximum since its release or
 * last placement is placed before the others, longest wait first. One batch of its tasks is placed,
 * and its wait starts again from zero. All long-waiting jobs together get at most {@link
 * #MAX_SHARE} of the placements.
 *
 * <p>A task that needs a large part of a machine would never fit if smaller tasks took all freed
 * resources at once. Therefore one machine is reserved for the longest-waiting job without room,
 * until its task fits.
 */
final class Aging {
  /** Maximum share of recent placements, by CPUs, that long-waiting jobs may get. */
  static final double MAX_SHARE = 0.15;

  /** Number of batches into which a job's tasks are divided. */
  private static final int BATCHES_PER_JOB = 8;

  /** Averaging time of the placement rates. */
  private static final long AVERAGING_MS = 30_000;

  /** Time between searches for a machine to reserve: each visits all machines and their tasks. */
  private static final long RESERVATION_SEARCH_INTERVAL_MS = 1_000;

  /** Maximum duration of a reservation whose machine does not become free. */
  private static final long MAX_RESERVATION_MS = 120_000;

  private final double maxWaitMs;
  private final RateMeter longWaitingPlacements = new RateMeter(AVERAGING_MS);
  private final RateMeter allPlacements = new RateMeter(AVERAGING_MS);

  /** Longest wait for a first or next placement in the last round, by job class. */
  private final Map<String, Double> longestWaitS = new HashMap<>();

  private List<Job> longWaiting = List.of();
  private Machine reservedMachine;
  private Job reservedFor;
  private long reservedAt;
  private long nextSearchAt;

  /**
   * Creates the aging state without any waiting job.
   *
   * @param maxWaitS wait in seconds after which a job is placed before the others
   */
  Aging(double maxWaitS) {
    this.maxWaitMs = maxWaitS * 1000;
  }

  /** Returns the time since the job was released or last had a task placed. */
  private static double waitedMs(Job job, double wallMs) {
    return wallMs - Math.max(job.releasedWallMs(), job.scheduling.placedWallMs());
  }

  /**
   * Starts a scheduling round. Gangs are left out, since they cannot be placed in batches.
   *
   * @return the jobs that have waited for at least the maximum wait, longest wait first
   */
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

  /** Returns whether long-waiting jobs have got at most their share of recent placements. */
  boolean isBelowShare(long nowMs) {
    return longWaitingPlacements.perSecond(nowMs) <= MAX_SHARE * allPlacements.perSecond(nowMs);
  }

  /** Returns the number of tasks that are placed at a time for a long-waiting job. */
  static int batchSize(Job job) {
    return Math.max(1, job.taskCount() / BATCHES_PER_JOB);
  }

  /**
   * Records the placement of a task.
   *
   * @param cpus CPUs of the task
   * @param forLongWait whether the task was placed because of its job's long wait
   */
  void recordPlacement(double cpus, boolean forLongWait, long nowMs) {
    allPlacements.add(cpus, nowMs);
    if (forLongWait) {
      longWaitingPlacements.add(cpus, nowMs);
    }
  }

  /** Returns whether no machine is reserved and the next search for one is due. */
  boolean canReserve(long nowMs) {
    return reservedFor == null && nowMs >= nextSearchAt;
  }

  /**
   * Reserves a machine for a job that found no room, and schedules the next search.
   *
   * @param machine the machine to reserve, or null if none is suitable
   */
  void reserve(Job job, Machine machine, long nowMs) {
    nextSearchAt = nowMs + RESERVATION_SEARCH_INTERVAL_MS;
    if (machine != null) {
      reservedFor = job;
      reservedMachine = machine;
      reservedAt = nowMs;
    }
  }

  /** Returns the machine that is reserved for a job other than this one, or null. */
  Machine machineReservedForOther(Job job) {
    return reservedFor != null && reservedFor != job ? reservedMachine : null;
  }

  /**
   * Cancels the reservation if its job is no longer long-waiting, its machine is no longer usable,
   * or the tasks on the machine have not ended within the maximum duration.
   */
  void releaseStaleReservation(List<Machine> usableMachines, long nowMs) {
    boolean isValid = longWaiting.contains(reservedFor) && usableMachines.contains(reservedMachine);
    if (reservedFor != null && (!isValid || nowMs - reservedAt > MAX_RESERVATION_MS)) {
      reservedFor = null;
      reservedMachine = null;
    }
  }

  /** Returns metrics for operators: the longest wait by class and the long-waiting jobs. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    longestWaitS.forEach(
        (jobClass, waitS) ->
            gauges.put("snowturn.wait.next.task.seconds{class=\"" + jobClass + "\"}", waitS));
    gauges.put("snowturn.jobs.long.waiting", (double) longWaiting.size());
    return gauges;
  }
}
