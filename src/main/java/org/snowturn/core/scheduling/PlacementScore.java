package org.snowturn.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.JobSpec;

/** How good a machine is for a task, in seconds, roughly: the lowest score is the best. */
final class PlacementScore {
  /** Arrays that may run on spot machines prefer these. */
  private static final double ON_DEMAND_PENALTY_S = 10;

  /** For machines where a task would start later than its users want. */
  private static final double LATE_START_PENALTY_S = 8;

  /** For on-demand machines that would have no room left for a replica. */
  private static final double CROWDED_PENALTY_S = 12;

  /** For machines without a replica's image, beside the time of the fetch. */
  private static final double FETCH_PENALTY_S = 1;

  private static final double FAILURE_PENALTY_S = 20;
  private static final double SAME_MACHINE_PENALTY_S = 2.0;
  private static final double SAME_ZONE_PENALTY_S = 0.5;
  private static final double BIN_PACKING_WEIGHT_S = 3.0;

  /** A fast machine counts for no more than this share of the run. */
  private static final double MIN_SLOWDOWN = -0.5;

  /** A fetch may take so much longer than the machine's type says. */
  private static final double FETCH_SLACK = 1.3;

  private static final double MIN_FETCH_GB_PER_S = 0.01;

  private final PreemptionRate spotPreemptions;
  private final Map<String, Double> maxStartDelayS = new HashMap<>();
  private double overprovisioning;
  private double largestReplicaCpus;

  PlacementScore(Settings settings, PreemptionRate spotPreemptions) {
    this.spotPreemptions = spotPreemptions;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait")) {
        maxStartDelayS.merge(objective.jobClass(), objective.withinS(), Math::min);
      }
    }
  }

  /** Starts a scheduling round; {@link #considerReplica} is to be called for each job next. */
  void beginRound(double newOverprovisioning) {
    overprovisioning = newOverprovisioning;
    largestReplicaCpus = 0;
  }

  /** Takes a job into account for the room that is left for replicas. */
  void considerReplica(JobSpec spec) {
    if (spec.isService()) {
      largestReplicaCpus = Math.max(largestReplicaCpus, spec.cpus());
    }
  }

  /** Seconds, roughly, that the task loses by going there, plus what the choice costs others. */
  double score(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double score = 0;
    if (!machine.images.containsKey(spec.image())) {
      score += fetchS(spec, machine) + (isFetchTooLate(spec, machine) ? LATE_START_PENALTY_S : 0);
    }
    score =
        spec.isService()
            ? addReplicaScore(score, job, machine)
            : addArrayScore(score, spec, machine);
    double freeShare = machine.cpusFree() / machine.machineType().cpus();
    // Where cost is an objective the fullest machine is best, so that others can be returned.
    score +=
        overprovisioning * (1 - freeShare)
            + (1 - overprovisioning) * BIN_PACKING_WEIGHT_S * freeShare;
    if (machine.failures.unexplained() > 0) {
      score += FAILURE_PENALTY_S;
    }
    return score;
  }

  /** Replicas of one job are spread out, as far as their image is there to start them in time. */
  private static double addReplicaScore(double base, Job job, Machine machine) {
    double score = base;
    // Even a short fetch is worse than any difference in how full machines are.
    score += machine.images.containsKey(job.spec.image()) ? 0 : FETCH_PENALTY_S;
    score += SAME_MACHINE_PENALTY_S * job.tasksOn(machine);
    score += SAME_ZONE_PENALTY_S * job.assignedInZone(machine.zone());
    return score;
  }

  private double addArrayScore(double base, JobSpec spec, Machine machine) {
    double score = base;
    score += machine.isSpot() ? overprovisioning * spotRiskS(spec) : ON_DEMAND_PENALTY_S;
    // A replica that finds no room preempts a task: room is left where that costs nothing.
    boolean crowded = !machine.isSpot() && machine.cpusFree() - spec.cpus() < largestReplicaCpus;
    score += crowded ? overprovisioning * CROWDED_PENALTY_S : 0;
    score += spec.estimateS() * Math.max(MIN_SLOWDOWN, machine.slowness() - 1);
    return score;
  }

  /**
   * The expected loss by preemption of spot machines: one task that is lost halfway makes the whole
   * array late by half a run, so long and wide arrays had better be elsewhere.
   */
  private double spotRiskS(JobSpec spec) {
    double runS = Math.max(1, spec.estimateS());
    double probability = Math.min(1, spec.tasks() * runS * spotPreemptions.perSecond());
    return probability * runS / 2;
  }

  private static double fetchS(JobSpec spec, Machine machine) {
    return spec.imageGb() / Math.max(MIN_FETCH_GB_PER_S, machine.machineType().fetchGbPerS());
  }

  /** Whether a task would start too late there for its users, since its image has to be fetched. */
  boolean isFetchTooLate(JobSpec spec, Machine machine) {
    return !machine.images.containsKey(spec.image())
        && FETCH_SLACK * fetchS(spec, machine)
            > maxStartDelayS.getOrDefault(spec.jobClass(), Double.MAX_VALUE);
  }
}
