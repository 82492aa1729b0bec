package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.model.Job;

/**
 * In which order waiting jobs get room: by priority, services first, then by the objectives that
 * can still be met.
 *
 * <p>Each objective is a time by which a job must have started or be done: its deadline, one and a
 * half times it, the start and finish objectives of its class. A job with little slack before the
 * next one that it can still meet goes first; one that can wait goes after it; one that can meet
 * none goes last. Among equals the least work goes first: where not all can be in time, the most
 * are so. By deadlines alone large late arrays would hold the machines of a burst, and by work
 * alone small arrays with hours of slack would make large ones late.
 */
public final class SchedulingOrder {
  private record ClassObjectives(List<Double> startWithinS, List<Double> doneWithinS) {}

  private static final ClassObjectives NONE = new ClassObjectives(List.of(), List.of());

  /** Above the slack of a job without any deadline. */
  private static final double MISSED = Double.POSITIVE_INFINITY;

  /** Objectives are about the deadline itself and about this multiple of it. */
  private static final double LATE_DEADLINE_FACTOR = 1.5;

  /** How urgent a job is; the most urgent goes first. */
  enum Urgency {
    /** There is little slack before some objective. */
    URGENT,
    /** There is more slack than that. */
    CAN_WAIT,
    /** All objectives are missed whatever is done. */
    HOPELESS
  }

  private final Map<String, ClassObjectives> objectivesByClass = new HashMap<>();
  private final double urgentSlackMs;

  /** Jobs with less than {@code urgentSlackS} of slack, in seconds, are urgent. */
  public SchedulingOrder(Settings settings, double urgentSlackS) {
    urgentSlackMs = urgentSlackS * 1000;
    for (Settings.Objective objective : settings.objectives()) {
      ClassObjectives ofClass =
          objectivesByClass.computeIfAbsent(
              objective.jobClass(),
              jobClass -> new ClassObjectives(new ArrayList<>(), new ArrayList<>()));
      switch (objective.kind()) {
        case "wait" -> ofClass.startWithinS.add(objective.withinS());
        case "finished" -> ofClass.doneWithinS.add(objective.withinS());
        default -> {} // deadlines are the jobs' own
      }
    }
  }

  /** A job with what decides its place: worked out once, not at each comparison. */
  private record RankedJob(Job job, int rank, Urgency urgency, double remainingWork)
      implements Comparable<RankedJob> {
    @Override
    public int compareTo(RankedJob other) {
      int order = Integer.compare(rank, other.rank);
      order = order != 0 ? order : urgency.compareTo(other.urgency);
      order = order != 0 ? order : Double.compare(remainingWork, other.remainingWork);
      order = order != 0 ? order : Long.compare(job.submittedWall, other.job.submittedWall);
      return order != 0 ? order : job.spec.id().compareTo(other.job.spec.id());
    }
  }

  /** The jobs in the order at a time of day, in milliseconds. */
  public List<Job> sorted(Collection<Job> jobs, double wallMs) {
    RankedJob[] ranked = new RankedJob[jobs.size()];
    int count = 0;
    for (Job job : jobs) {
      ranked[count] = new RankedJob(job, rank(job), urgency(job, wallMs), remainingWork(job));
      count++;
    }
    Arrays.sort(ranked);
    List<Job> sorted = new ArrayList<>(count);
    for (RankedJob rankedJob : ranked) {
      sorted.add(rankedJob.job);
    }
    return sorted;
  }

  private static int rank(Job job) {
    return 2 * job.priority().level() + (job.spec.isService() ? 0 : 1);
  }

  /** The job's urgency at a time of day, in milliseconds. */
  Urgency urgency(Job job, double wallMs) {
    ClassObjectives objectives = objectivesByClass.getOrDefault(job.spec.jobClass(), NONE);
    double endMs = wallMs + job.spec.estimateS() * 1000;
    double slackMs =
        Math.min(
            slack(job.deadlineWallMs(1) - endMs),
            slack(job.deadlineWallMs(LATE_DEADLINE_FACTOR) - endMs));
    for (double withinS : objectives.startWithinS) {
      slackMs = Math.min(slackMs, slack(job.releasedWall() + withinS * 1000 - wallMs));
    }
    for (double withinS : objectives.doneWithinS) {
      slackMs = Math.min(slackMs, slack(job.releasedWall() + withinS * 1000 - endMs));
    }
    if (slackMs < urgentSlackMs) {
      return Urgency.URGENT;
    }
    return slackMs < MISSED ? Urgency.CAN_WAIT : Urgency.HOPELESS;
  }

  /** An objective that is missed already does not make a job urgent. */
  private static double slack(double slackMs) {
    return slackMs < 0 ? MISSED : slackMs;
  }

  /** In CPU-seconds. */
  private static double remainingWork(Job job) {
    return job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
  }
}
