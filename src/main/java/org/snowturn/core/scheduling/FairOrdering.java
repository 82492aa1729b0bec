package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.admission.MinimumShares;
import org.snowturn.core.admission.QuotaGuarantees;
import org.snowturn.core.model.Job;
import org.snowturn.wire.Priority;

/** Lets jobs within their team's guarantee, and groups below their minimum share, go first. */
final class FairOrdering {
  private final QuotaGuarantees guarantees;
  private final MinimumShares minimumShares = new MinimumShares();

  FairOrdering(Settings settings) {
    this.guarantees = new QuotaGuarantees(settings.teams());
  }

  /** Starts a scheduling round: determines which of the jobs are within a guarantee. */
  void beginRound(Collection<Job> jobs, long nowMs) {
    minimumShares.beginRound(nowMs);
    if (guarantees.isAnyConfigured()) {
      guarantees.evaluate(
          jobs.stream().filter(FairOrdering::mayHoldGuarantee).map(Claim::new).toList());
    }
  }

  /** Counts a job that waits for room. */
  void recordWaiting(Job job, long wallMs) {
    if (job.shareGroup() < 0) {
      job.setShareGroup(minimumShares.group(job.spec.jobClass(), job.spec.team()));
      minimumShares.recordArrivals(job.shareGroup(), job.taskCount());
    }
    double waitedS = (wallMs - job.releasedWall()) / 1000.0;
    minimumShares.recordWaiting(job.shareGroup(), waitedS, job.pending());
  }

  /** Counts a task of the job that was placed. */
  void recordPlacement(Job job, long nowMs) {
    minimumShares.recordPlacement(job.shareGroup(), job.spec.cpus(), nowMs);
  }

  /**
   * First what is within its team's guarantee. Then, among the production jobs and then among the
   * others, those of groups below their minimum share go first. What they get so is theirs until it
   * ends: else work of higher priority would preempt it at once.
   */
  List<Job> sorted(List<Job> ordered) {
    List<Job> sorted = new ArrayList<>(ordered.size());
    if (guarantees.isAnyConfigured()) {
      ordered.stream().filter(job -> job.isWithinGuarantee()).forEach(sorted::add);
    }
    for (boolean production : new boolean[] {true, false}) {
      for (boolean first : new boolean[] {true, false}) {
        addMatching(ordered, production, first, sorted);
      }
    }
    return sorted;
  }

  private void addMatching(List<Job> ordered, boolean production, boolean first, List<Job> sorted) {
    for (Job job : ordered) {
      boolean matches =
          (job.priority() == Priority.PRODUCTION) == production && !job.isWithinGuarantee();
      if (matches && minimumShares.isBelowMinimum(job.shareGroup()) == first) {
        job.setByMinimumShare(job.isByMinimumShare() || first);
        sorted.add(job);
      }
    }
  }

  /** For operators: how the classes of each team are served. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(minimumShares.gauges());
    gauges.putAll(guarantees.gauges());
    return gauges;
  }

  /** Jobs that wait for dependencies, or are cancelled, hold no part of a guarantee. */
  private static boolean mayHoldGuarantee(Job job) {
    boolean holds = !job.isCancelled() && !job.awaitsDependencies();
    job.setWithinGuarantee(job.isWithinGuarantee() && holds);
    return holds;
  }

  /** What a job claims of its team's guarantee. */
  private record Claim(Job job) implements QuotaGuarantees.Claim {
    @Override
    public String team() {
      return job.spec.team();
    }

    @Override
    public double cpus() {
      return job.spec.cpus() * job.taskCount();
    }

    @Override
    public double gpus() {
      return job.spec.gpus() * job.taskCount();
    }

    @Override
    public long submitted() {
      return job.submittedWall;
    }

    @Override
    public String id() {
      return job.spec.id();
    }

    @Override
    public void within(boolean is) {
      job.setWithinGuarantee(is);
    }
  }
}
