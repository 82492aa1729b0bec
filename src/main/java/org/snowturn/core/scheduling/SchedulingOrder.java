package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import org.snowturn.config.Settings;
import org.snowturn.core.model.Job;

/**
 * Order in which waiting jobs are placed: by priority, services before other jobs, then by urgency
 * and remaining work.
 *
 * <p>Each objective is a time by which a job must have started or finished: its deadline, one and a
 * half times its deadline, and the start and finish objectives of its class. The slack is the time
 * left before the next objective that the job can still meet. Jobs with little slack come first,
 * then jobs that can wait, then jobs that can meet none of their objectives.
 *
 * <p>Among equals the job with the least remaining work comes first, so that as many jobs as
 * possible are in time when not all can be. With deadlines as the only criterion, large late arrays
 * would occupy the machines during a burst. With work as the only criterion, small arrays with
 * hours of slack would make large ones late.
 */
public final class SchedulingOrder {
  /** Times from a job's release within which jobs of a class are to start and to finish. */
  private record ClassObjectives(List<Double> startWithinS, List<Double> doneWithinS) {}

  private static final ClassObjectives NO_OBJECTIVES = new ClassObjectives(List.of(), List.of());

  /**
   * Slack of a missed objective in milliseconds. It is greater than the slack of a job without a
   * deadline, which counts as one that can wait.
   */
  private static final double MISSED_SLACK_MS = Double.POSITIVE_INFINITY;

  /** Multiple of the deadline that counts as a second, later objective. */
  private static final double LATE_DEADLINE_FACTOR = 1.5;

  /** Urgency of a job; the most urgent comes first. */
  enum Urgency {
    /** An objective that can still be met has little slack left. */
    URGENT,
    /** Every objective that can still be met has enough slack left. */
    CAN_WAIT,
    /** No objective can be met any more. */
    ALL_MISSED
  }

  private final Map<String, ClassObjectives> objectivesByClass = new HashMap<>();
  private final double urgentSlackMs;

  /**
   * Creates the order for the objectives of the settings.
   *
   * @param urgentSlackS slack in seconds below which a job is urgent
   */
  public SchedulingOrder(Settings settings, double urgentSlackS) {
    urgentSlackMs = urgentSlackS * 1000;
    for (Settings.Objective objective : settings.objectives()) {
      ClassObjectives classObjectives =
          objectivesByClass.computeIfAbsent(
              objective.jobClass(),
              jobClass -> new ClassObjectives(new ArrayList<>(), new ArrayList<>()));
      switch (objective.kind()) {
        case "wait" -> classObjectives.startWithinS.add(objective.withinS());
        case "finished" -> classObjectives.doneWithinS.add(objective.withinS());
        default -> {} // deadlines are stated by each job
      }
    }
  }

  /** A job with its sort keys, which are computed once instead of at each comparison. */
  private record RankedJob(Job job, int rank, Urgency urgency, double remainingWork)
      implements Comparable<RankedJob> {
    @Override
    public int compareTo(RankedJob other) {
      int order = Integer.compare(rank, other.rank);
      order = order != 0 ? order : urgency.compareTo(other.urgency);
      order = order != 0 ? order : Double.compare(remainingWork, other.remainingWork);
      order = order != 0 ? order : Long.compare(job.submittedWallMs, other.job.submittedWallMs);
      return order != 0 ? order : job.spec.id().compareTo(other.job.spec.id());
    }
  }

  /**
   * Returns the jobs in scheduling order.
   *
   * @param wallMs the wall-clock time in milliseconds
   */
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

  /** Returns the rank by priority, with services before other jobs; the lowest comes first. */
  private static int rank(Job job) {
    return 2 * job.priority().level() + (job.spec.isService() ? 0 : 1);
  }

  /**
   * Returns the urgency of the job.
   *
   * @param wallMs the wall-clock time in milliseconds
   */
  Urgency urgency(Job job, double wallMs) {
    double slackMs = minSlackMs(job, wallMs, SchedulingOrder::slack);
    if (slackMs < urgentSlackMs) {
      return Urgency.URGENT;
    }
    return slackMs < MISSED_SLACK_MS ? Urgency.CAN_WAIT : Urgency.ALL_MISSED;
  }

  /**
   * Returns the time in milliseconds for which the job can wait without missing an objective;
   * negative if it has missed one.
   *
   * @param wallMs the wall-clock time in milliseconds
   */
  double spareTimeMs(Job job, double wallMs) {
    return minSlackMs(job, wallMs, DoubleUnaryOperator.identity());
  }

  /** Returns whether the job's class has an objective for the time until a task starts. */
  boolean hasStartObjective(Job job) {
    ClassObjectives objectives = objectivesByClass.getOrDefault(job.spec.jobClass(), NO_OBJECTIVES);
    return !objectives.startWithinS.isEmpty();
  }

  /**
   * Returns the least slack of the job's objectives.
   *
   * @param weight maps the slack of each objective to the value that is compared
   */
  private double minSlackMs(Job job, double wallMs, DoubleUnaryOperator weight) {
    ClassObjectives objectives = objectivesByClass.getOrDefault(job.spec.jobClass(), NO_OBJECTIVES);
    double endMs = wallMs + job.spec.estimateS() * 1000;
    double slackMs =
        Math.min(
            weight.applyAsDouble(job.deadlineWallMs(1) - endMs),
            weight.applyAsDouble(job.deadlineWallMs(LATE_DEADLINE_FACTOR) - endMs));
    for (double withinS : objectives.startWithinS) {
      double startMs = job.releasedWallMs() + withinS * 1000;
      slackMs = Math.min(slackMs, weight.applyAsDouble(startMs - wallMs));
    }
    for (double withinS : objectives.doneWithinS) {
      double doneMs = job.releasedWallMs() + withinS * 1000;
      slackMs = Math.min(slackMs, weight.applyAsDouble(doneMs - endMs));
    }
    return slackMs;
  }

  /** Returns the slack of an objective; one that is missed no longer makes a job urgent. */
  private static double slack(double slackMs) {
    return slackMs < 0 ? MISSED_SLACK_MS : slackMs;
  }

  /** Returns the work of the job's waiting tasks in CPU-seconds. */
  private static double remainingWork(Job job) {
    return job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
  }
}
