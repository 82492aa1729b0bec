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
 * In which order waiting jobs get room: by priority, services first, then by what can still be kept
 * of what their users want.
 *
 * <p>Each aim is a time by which a job must have started or be done: its deadline, one and a half
 * times it, the aims at start and finish of its class. A job with little time to spare for the next
 * one that it can still meet goes first; one that can wait goes after it; one that can meet none
 * goes last. Among equals the least work goes first: where not all can be in time, the most are so.
 * By deadlines alone large late arrays would hold the machines of a burst, and by work alone small
 * arrays with hours to spare would make large ones late.
 */
public final class SchedulingOrder {
  private record Aims(List<Double> startWithinS, List<Double> doneWithinS) {}

  private static final Aims NONE = new Aims(List.of(), List.of());

  /** More than the time to spare of a job without any deadline. */
  private static final double MISSED = Double.POSITIVE_INFINITY;

  private final Map<String, Aims> byClass = new HashMap<>();
  private final double urgentMs;

  /** Jobs with less than {@code urgentSlackS} to spare are urgent. */
  public SchedulingOrder(Settings settings, double urgentSlackS) {
    urgentMs = urgentSlackS * 1000;
    for (Settings.Objective objective : settings.objectives()) {
      Aims a =
          byClass.computeIfAbsent(
              objective.jobClass(), c -> new Aims(new ArrayList<>(), new ArrayList<>()));
      switch (objective.kind()) {
        case "wait" -> a.startWithinS.add(objective.withinS());
        case "finished" -> a.doneWithinS.add(objective.withinS());
        default -> {} // deadlines are the jobs' own
      }
    }
  }

  /** A job with what decides its place: worked out once, not at each comparison. */
  private record Placed(Job job, int rank, int urgency, double work) implements Comparable<Placed> {
    @Override
    public int compareTo(Placed o) {
      int c = Integer.compare(rank, o.rank);
      c = c != 0 ? c : Integer.compare(urgency, o.urgency);
      c = c != 0 ? c : Double.compare(work, o.work);
      c = c != 0 ? c : Long.compare(job.submittedWall, o.job.submittedWall);
      return c != 0 ? c : job.spec.id().compareTo(o.job.spec.id());
    }
  }

  /** The jobs in the order at a time of day. */
  public List<Job> sorted(Collection<Job> jobs, double wall) {
    Placed[] all = new Placed[jobs.size()];
    int n = 0;
    for (Job job : jobs) {
      int rank = 2 * job.priority().ordinal() + (job.spec.service() ? 0 : 1);
      all[n++] = new Placed(job, rank, urgency(job, wall), workLeft(job));
    }
    Arrays.sort(all);
    List<Job> out = new ArrayList<>(n);
    for (Placed p : all) {
      out.add(p.job);
    }
    return out;
  }

  /** 0: little time to spare for some aim; 1: more than that; 2: late for all whatever is done. */
  public int urgency(Job job, double wall) {
    Aims aims = byClass.getOrDefault(job.spec.jobClass(), NONE);
    double end = wall + job.spec.estimateS() * 1000;
    double spare =
        Math.min(spare(job.deadlineWallMs(1) - end), spare(job.deadlineWallMs(1.5) - end));
    for (double s : aims.startWithinS) {
      spare = Math.min(spare, spare(job.releasedWall() + s * 1000 - wall));
    }
    for (double s : aims.doneWithinS) {
      spare = Math.min(spare, spare(job.releasedWall() + s * 1000 - end));
    }
    return spare < urgentMs ? 0 : spare < MISSED ? 1 : 2;
  }

  /** What is missed already is nothing to spare time for. */
  private static double spare(double ms) {
    return ms < 0 ? MISSED : ms;
  }

  private static double workLeft(Job job) {
    return job.pending() * job.spec.cpus() * Math.max(1, job.spec.estimateS());
  }
}
