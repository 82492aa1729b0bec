package org.snowturn.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.assignment.HeartbeatPrompts;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.JobSpec;

/**
 * Score of a machine for a task: the approximate cost in seconds of placing the task there. The
 * lowest score is the best.
 */
final class PlacementScore {
  /** Penalty for an array task on an on-demand machine; spot machines are preferred if allowed. */
  private static final double ON_DEMAND_PENALTY_S = 10;

  /** Penalty for a machine where the task would start later than its class's objective. */
  private static final double LATE_START_PENALTY_S = 8;

  /** Penalty for an on-demand machine that would have no room left for a service replica. */
  private static final double CROWDED_PENALTY_S = 12;

  /** Time in which a machine that is prompted to send a heartbeat gets a start in the answer. */
  private static final double PROMPTED_START_DELAY_S = 0.3;

  /** Penalty for a machine without a replica's image, in addition to the fetch time. */
  private static final double FETCH_PENALTY_S = 1;

  /** Penalty for a machine with failures that no suspected job explains. */
  private static final double FAILURE_PENALTY_S = 20;

  /** Penalty for each task of the same service on the machine. */
  private static final double SAME_MACHINE_PENALTY_S = 2.0;

  /** Penalty for each task of the same service in the machine's zone. */
  private static final double SAME_ZONE_PENALTY_S = 0.5;

  /** Penalty for an empty machine without overprovisioning; it shrinks as the machine fills up. */
  private static final double BIN_PACKING_WEIGHT_S = 3.0;

  /** Lower bound of the relative slowdown: a fast machine saves at most half of the run time. */
  private static final double MIN_SLOWDOWN = -0.5;

  /** Factor by which a fetch may take longer than the fetch rate of the machine's type implies. */
  private static final double FETCH_SLACK_FACTOR = 1.3;

  /** Lower bound of the fetch rate, since a machine type may state a rate of zero. */
  private static final double MIN_FETCH_GB_PER_S = 0.01;

  private final PreemptionRate spotPreemptions;
  private final Map<String, Double> maxStartDelayS = new HashMap<>();
  private final double heartbeatIntervalS;
  private double overprovisioning;
  private long nowMs;
  private double largestReplicaCpus;

  /**
   * Creates a score that uses the start objectives of the settings.
   *
   * @param spotPreemptions the rate at which the cloud preempts spot machines
   */
  PlacementScore(Settings settings, PreemptionRate spotPreemptions) {
    this.spotPreemptions = spotPreemptions;
    this.heartbeatIntervalS = settings.workers().heartbeatIntervalS();
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait")) {
        maxStartDelayS.merge(objective.jobClass(), objective.withinS(), Math::min);
      }
    }
  }

  /**
   * Starts a scheduling round. The caller then passes each job to {@link #recordReplicaSize} before
   * it asks for scores.
   *
   * @param now the current time, in milliseconds of the monotonic clock
   * @param newOverprovisioning the degree of overprovisioning from 0 to 1, as described at {@link
   *     SchedulingPolicy}
   */
  void beginRound(long now, double newOverprovisioning) {
    nowMs = now;
    overprovisioning = newOverprovisioning;
    largestReplicaCpus = 0;
  }

  /**
   * Records the size of a service's replicas: array tasks avoid on-demand machines where they would
   * leave no room for the largest replica.
   */
  void recordReplicaSize(JobSpec spec) {
    if (spec.isService()) {
      largestReplicaCpus = Math.max(largestReplicaCpus, spec.cpus());
    }
  }

  /**
   * Returns the approximate number of seconds that the task loses by running on the machine, plus
   * the cost of the choice to other tasks.
   */
  double score(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double startDelayS = startDelayS(machine);
    double score = startDelayS + (isTooLate(spec, startDelayS) ? LATE_START_PENALTY_S : 0);
    if (!machine.images.containsKey(spec.image())) {
      score += fetchS(spec, machine) + (isFetchTooLate(spec, machine) ? LATE_START_PENALTY_S : 0);
    }
    score =
        spec.isService()
            ? addReplicaScore(score, job, machine)
            : addArrayScore(score, spec, machine);
    double freeShare = machine.cpusFree() / machine.machineType().cpus();
    // Where cost is an objective, full machines are preferred so that empty ones can be returned.
    score +=
        overprovisioning * (1 - freeShare)
            + (1 - overprovisioning) * BIN_PACKING_WEIGHT_S * freeShare;
    if (machine.failures.unexplainedCount() > 0) {
      score += FAILURE_PENALTY_S;
    }
    return score;
  }

  /**
   * Adds the cost of placing a service replica. Replicas of one job are spread over machines and
   * zones that already have the image, so that they start in time.
   */
  private static double addReplicaScore(double base, Job job, Machine machine) {
    double score = base;
    // Even a short fetch must cost more than any difference in machine utilization.
    score += machine.images.containsKey(job.spec.image()) ? 0 : FETCH_PENALTY_S;
    score += SAME_MACHINE_PENALTY_S * job.replicasOn(machine);
    score += SAME_ZONE_PENALTY_S * job.assignedInZone(machine.zone());
    return score;
  }

  /** Adds the cost of placing a task that is not a service replica. */
  private double addArrayScore(double base, JobSpec spec, Machine machine) {
    double score = base;
    score += machine.isSpot() ? overprovisioning * spotRiskS(spec) : ON_DEMAND_PENALTY_S;
    // A replica without room preempts a task, so leave room for it where another machine will do.
    boolean isCrowded = !machine.isSpot() && machine.cpusFree() - spec.cpus() < largestReplicaCpus;
    score += isCrowded ? overprovisioning * CROWDED_PENALTY_S : 0;
    score += spec.estimateS() * Math.max(MIN_SLOWDOWN, machine.slowness() - 1);
    return score;
  }

  /**
   * Returns the expected loss in seconds by preemption of spot machines. One task that is lost
   * halfway delays the whole array by half a run, so the cost is highest for long arrays with many
   * tasks.
   */
  private double spotRiskS(JobSpec spec) {
    double runS = Math.max(1, spec.estimateS());
    double probability = Math.min(1, spec.tasks() * runS * spotPreemptions.perSecond());
    return probability * runS / 2;
  }

  /** Returns the expected time in seconds until the machine gets a start. */
  private double startDelayS(Machine machine) {
    if (!machine.session.isInFirstEpoch() || machine.session.isAnswerDeferred()) {
      return 0;
    }
    if (HeartbeatPrompts.canPrompt(machine, nowMs)) {
      return PROMPTED_START_DELAY_S;
    }
    double sinceHeartbeatS = machine.sinceHeartbeatAnswerMs(nowMs) / 1000.0;
    return Math.max(PROMPTED_START_DELAY_S, heartbeatIntervalS - sinceHeartbeatS);
  }

  private boolean isTooLate(JobSpec spec, double startDelayS) {
    return startDelayS > maxStartDelayS.getOrDefault(spec.jobClass(), Double.MAX_VALUE);
  }

  /** Returns the time in seconds to fetch the image to the machine. */
  private static double fetchS(JobSpec spec, Machine machine) {
    return spec.imageGb() / Math.max(MIN_FETCH_GB_PER_S, machine.machineType().fetchGbPerS());
  }

  /**
   * Returns whether the task would miss its class's start objective because its image has to be
   * fetched to the machine first.
   */
  boolean isFetchTooLate(JobSpec spec, Machine machine) {
    return !machine.images.containsKey(spec.image())
        && FETCH_SLACK_FACTOR * fetchS(spec, machine)
            > maxStartDelayS.getOrDefault(spec.jobClass(), Double.MAX_VALUE);
  }
}
