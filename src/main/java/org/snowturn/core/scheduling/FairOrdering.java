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

/**
 * Fair ordering of waiting jobs: jobs within their team's guarantee, and jobs of groups below their
 * minimum share, come first. A group consists of the jobs of one class and team.
 */
final class FairOrdering {
  private final QuotaGuarantees guarantees;
  private final MinimumShares minimumShares = new MinimumShares();

  /** Creates the ordering with the teams' guarantees. */
  FairOrdering(Settings settings) {
    this.guarantees = new QuotaGuarantees(settings.teams());
  }

  /** Starts a scheduling round and determines which of the jobs are within a guarantee. */
  void beginRound(Collection<Job> jobs, long nowMs) {
    minimumShares.beginRound(nowMs);
    if (guarantees.isAnyConfigured()) {
      guarantees.evaluate(
          jobs.stream().filter(FairOrdering::updateGuaranteeEligibility).map(Claim::new).toList());
    }
  }

  /** Records a job with waiting tasks, and on its first call assigns the job to its group. */
  void recordWaiting(Job job, long wallMs) {
    if (job.scheduling.shareGroup() < 0) {
      job.scheduling.setShareGroup(minimumShares.groupIndex(job.spec.jobClass(), job.spec.team()));
      minimumShares.recordArrivals(job.scheduling.shareGroup(), job.taskCount());
    }
    double waitedS = (wallMs - job.releasedWallMs()) / 1000.0;
    minimumShares.recordWaiting(job.scheduling.shareGroup(), waitedS, job.pending());
  }

  /** Records the placement of a task of the job. */
  void recordPlacement(Job job, long nowMs) {
    minimumShares.recordPlacement(job.scheduling.shareGroup(), job.spec.cpus(), nowMs);
  }

  /**
   * Returns the jobs in fair order: first those within their team's guarantee, then the production
   * jobs, then all others. Among the latter two, jobs of groups below their minimum share come
   * first. These jobs are marked, so that only production jobs and guarantees preempt their tasks;
   * otherwise work of higher priority would preempt them at once.
   *
   * @param ordered the waiting jobs in scheduling order, which is kept among equals
   */
  List<Job> sorted(List<Job> ordered) {
    List<Job> sorted = new ArrayList<>(ordered.size());
    if (guarantees.isAnyConfigured()) {
      ordered.stream().filter(job -> job.scheduling.isWithinGuarantee()).forEach(sorted::add);
    }
    for (boolean isProduction : new boolean[] {true, false}) {
      for (boolean isBelowMinimum : new boolean[] {true, false}) {
        addMatching(ordered, isProduction, isBelowMinimum, sorted);
      }
    }
    return sorted;
  }

  /** Adds the jobs that match both flags and are not within a guarantee. */
  private void addMatching(
      List<Job> ordered, boolean isProduction, boolean isBelowMinimum, List<Job> sorted) {
    for (Job job : ordered) {
      boolean matches =
          (job.priority() == Priority.PRODUCTION) == isProduction
              && !job.scheduling.isWithinGuarantee();
      if (matches && minimumShares.isBelowMinimum(job.scheduling.shareGroup()) == isBelowMinimum) {
        job.scheduling.setPreemptionProtection(
            job.scheduling.hasPreemptionProtection() || isBelowMinimum);
        sorted.add(job);
      }
    }
  }

  /** Returns metrics for operators on minimum shares and guarantees. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(minimumShares.gauges());
    gauges.putAll(guarantees.gauges());
    return gauges;
  }

  /**
   * Returns whether the job counts towards its team's guarantee, and clears its mark otherwise.
   * Cancelled jobs, and jobs that wait for dependencies, do not count.
   */
  private static boolean updateGuaranteeEligibility(Job job) {
    boolean countsTowardsGuarantee = !job.isCancelled() && !job.awaitsDependencies();
    job.scheduling.setWithinGuarantee(job.scheduling.isWithinGuarantee() && countsTowardsGuarantee);
    return countsTowardsGuarantee;
  }

  /** The part of its team's guarantee that all tasks of a job need together. */
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
    public long submittedAt() {
      return job.submittedWallMs;
    }

    @Override
    public String id() {
      return job.spec.id();
    }

    @Override
    public void setWithinGuarantee(boolean withinGuarantee) {
      job.scheduling.setWithinGuarantee(withinGuarantee);
    }
  }
}
