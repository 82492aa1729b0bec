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
 * Jobs of which no task has been given room for long. The ordinary order lets the least work go
 * first, so a class's largest arrays would wait for as long as smaller ones keep coming. Whoever
 * has waited past the operators' bound goes before the others, the longest first, with a slice of
 * its tasks; then its wait counts anew. All of them together get no more than a small share of the
 * room that is given.
 *
 * <p>Where smaller tasks take all room as soon as it is free, one that needs more of a machine
 * would never find it. For the longest waiting one a machine is kept from the others until it fits.
 */
final class Aging {
  /** Of the room that is given lately, that which may go to them. */
  static final double SHARE = 0.15;

  /** One in so many of its tasks is a slice. */
  private static final int SLICE_OF = 8;

  private static final long LATELY_MS = 30_000;

  /** Looking for a machine to keep walks all of them with what is there. */
  private static final long LOOK_EVERY_MS = 1_000;

  private static final long KEPT_MS = 120_000;

  private final double patienceMs;
  private final RateMeter given = new RateMeter(LATELY_MS);
  private final RateMeter all = new RateMeter(LATELY_MS);

  /** The longest wait for a first or next task, by class, as of the last plan. */
  private final Map<String, Double> longestS = new HashMap<>();

  private List<Job> waiting = List.of();
  private Machine kept;
  private Job keptFor;
  private long keptSince;
  private long lookAt;

  /** Lets go first what has waited so long, in seconds. */
  Aging(double patienceS) {
    this.patienceMs = patienceS * 1000;
  }

  private static double waitedMs(Job job, double wall) {
    return wall - Math.max(job.releasedWall(), job.placedWall());
  }

  /** A plan begins: who of those that wait has waited for long, the longest first. */
  List<Job> begin(List<Job> all, double wall) {
    longestS.clear();
    List<Job> found = new ArrayList<>();
    for (Job job : all) {
      double waited = waitedMs(job, wall);
      longestS.merge(job.spec.jobClass(), waited / 1000, Math::max);
      if (waited >= patienceMs && job.spec.kind() != JobSpec.Kind.GANG) {
        found.add(job);
      }
    }
    found.sort(
        Comparator.<Job>comparingDouble(job -> -waitedMs(job, wall))
            .thenComparing(job -> job.spec.id()));
    waiting = found;
    return found;
  }

  /** Whether they have had less than their share. */
  boolean mayGo(long nowMs) {
    return given.perSecond(nowMs) <= SHARE * all.perSecond(nowMs);
  }

  /** How many of its tasks go at a time. */
  static int slice(Job job) {
    return Math.max(1, job.taskCount() / SLICE_OF);
  }

  /** A task was given room, as one of theirs or in the ordinary order. */
  void given(double cpus, boolean asElder, long nowMs) {
    all.add(cpus, nowMs);
    if (asElder) {
      given.add(cpus, nowMs);
    }
  }

  /** Whether to look for a machine to keep: none is kept, and it was not looked for just now. */
  boolean mayKeep(long nowMs) {
    return keptFor == null && nowMs >= lookAt;
  }

  /** One of them found no room: the machine that will have room for it soonest is kept for it. */
  void keep(Job job, Machine machine, long nowMs) {
    lookAt = nowMs + LOOK_EVERY_MS;
    if (machine != null) {
      keptFor = job;
      kept = machine;
      keptSince = nowMs;
    }
  }

  /** The machine that is kept, if it is kept from this job; else null. */
  Machine keptFrom(Job job) {
    return keptFor != null && keptFor != job ? kept : null;
  }

  /**
   * Lets the machine go where its job no longer waits for it, it is no longer usable, or what runs
   * there does not end.
   */
  void review(List<Machine> usable, long nowMs) {
    boolean goes = waiting.contains(keptFor) && usable.contains(kept);
    if (keptFor != null && (!goes || nowMs - keptSince > KEPT_MS)) {
      keptFor = null;
      kept = null;
    }
  }

  /** For operators. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    longestS.forEach(
        (c, s) -> gauges.put("snowturn.wait.next.task.seconds{class=\"" + c + "\"}", s));
    gauges.put("snowturn.jobs.elders", (double) waiting.size());
    return gauges;
  }
}
