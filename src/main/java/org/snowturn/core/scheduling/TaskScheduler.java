package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.Priority;

/** Scheduler that assigns waiting tasks to machines, in rounds over all waiting jobs. */
public final class TaskScheduler {
  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final SchedulingPolicy policy;
  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final Preemptor preemptor;
  private final Aging aging;
  private final FairOrdering fairOrdering;
  private final JobPlacement jobPlacement;
  private final ProbePlacement probePlacement;
  private final AgedJobPlacement agedJobPlacement;
  private final EvaluationCounter evaluations = new EvaluationCounter();

  /**
   * Creates a scheduler for one term of a leader.
   *
   * @param spotPreemptions the rate at which the cloud preempts spot machines
   */
  public TaskScheduler(
      CoreRuntime runtime,
      Settings settings,
      TaskAssignments assignments,
      MachineIndex machines,
      SchedulingPolicy policy,
      PreemptionRate spotPreemptions) {
    this.runtime = runtime;
    this.assignments = assignments;
    this.machines = machines;
    this.policy = policy;
    constraints = new PlacementConstraints(runtime, machines);
    score = new PlacementScore(settings, spotPreemptions);
    preemptor =
        new Preemptor(
            runtime, assignments, constraints, score, evaluations, policy.isPreemptionAllowed());
    aging = new Aging(policy.maxWaitS());
    fairOrdering = new FairOrdering(settings);
    jobPlacement =
        new JobPlacement(
            assignments,
            score,
            new CandidateQueue(
                constraints,
                score,
                aging,
                new FirstEpochWait(runtime, settings, policy.order()),
                evaluations),
            new GangScheduling(machines, constraints),
            preemptor,
            this::onPlaced);
    probePlacement = new ProbePlacement(assignments, constraints, score, jobPlacement, evaluations);
    agedJobPlacement =
        new AgedJobPlacement(runtime, assignments, constraints, jobPlacement, aging, evaluations);
  }

  /** Records the placement of a task of the job for minimum shares and aging. */
  private void onPlaced(Job job) {
    fairOrdering.recordPlacement(job, runtime.now());
    aging.recordPlacement(job.spec.cpus(), agedJobPlacement.isPlacing(), runtime.now());
  }

  /**
   * Runs one scheduling round: places tasks that fit and makes room for others.
   *
   * @return false if a task found no room
   */
  public boolean schedule() {
    long now = runtime.now();
    List<Machine> usableMachines = usableMachines(now);
    List<Job> waiting = new ArrayList<>();
    List<Job> suspected = new ArrayList<>();
    score.beginRound(now, policy.overprovisioning().getAsDouble());
    fairOrdering.beginRound(assignments.jobs(), now);
    collectJobs(now, waiting, suspected);
    jobPlacement.beginRound();
    preemptor.beginRound(usableMachines);
    suspected.stream()
        .filter(job -> ProbePlacement.isOverdue(job, now))
        .forEach(job -> probePlacement.place(job, usableMachines));
    boolean allPlaced = placeWaiting(waiting, usableMachines);
    suspected.stream()
        .filter(job -> !ProbePlacement.isOverdue(job, now))
        .forEach(job -> probePlacement.place(job, usableMachines));
    return allPlaced;
  }

  /** Returns the usable machines in zones that the settings name. */
  private List<Machine> usableMachines(long now) {
    List<Machine> usableMachines = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.isUsable(now) && machines.isZoneConfigured(machine.zone())) {
        usableMachines.add(machine);
      }
    }
    return usableMachines;
  }

  /** Adds the jobs whose tasks may be placed now to {@code waiting} or {@code suspected}. */
  private void collectJobs(long now, List<Job> waiting, List<Job> suspected) {
    for (Job job : assignments.jobs()) {
      score.recordReplicaSize(job.spec);
      if (!job.hasPlaceableTasks()) {
        continue;
      }
      if (job.failures.isSuspect()) {
        if (ProbePlacement.isDue(job, now)) {
          suspected.add(job);
        }
        continue;
      }
      fairOrdering.recordWaiting(job, runtime.wallMs());
      if (now >= job.failures.backOffUntil()) {
        waiting.add(job);
      }
    }
  }

  /**
   * Places tasks of the waiting jobs in fair order. Long-waiting jobs are placed after production
   * jobs and jobs within a guarantee, and before all others.
   *
   * @return false if a task found no room
   */
  private boolean placeWaiting(List<Job> waiting, List<Machine> usableMachines) {
    boolean allPlaced = true;
    boolean areAgedJobsPlaced = false;
    for (Job job : fairOrdering.sorted(policy.order().sorted(waiting, (double) runtime.wallMs()))) {
      if (!areAgedJobsPlaced
          && job.priority() != Priority.PRODUCTION
          && !job.scheduling.isWithinGuarantee()) {
        areAgedJobsPlaced = true;
        agedJobPlacement.place(waiting, usableMachines);
      }
      if (!jobPlacement.place(job, usableMachines)) {
        allPlaced = false;
        preemptor.makeRoom(job, usableMachines);
      }
    }
    return allPlaced;
  }

  /** Returns metrics for operators: waits and shares of placements by class and team. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(fairOrdering.gauges());
    gauges.putAll(aging.gauges());
    return gauges;
  }

  /** Returns the number of evaluations of a machine for a job since the scheduler was created. */
  public long machineEvaluations() {
    return evaluations.count();
  }

  /**
   * Returns whether a replica on {@code from} could start on another machine without an image
   * fetch.
   */
  public boolean canStartElsewhere(Job job, Machine from) {
    return constraints.canStartElsewhere(job, from);
  }

  /**
   * Returns whether the job's constraints allow one more of its tasks on the machine. Does not
   * check the machine's free resources.
   */
  boolean isAllowed(Job job, Machine machine) {
    return constraints.isAllowed(job, machine);
  }

  /** Returns the machine's score for a task of the job; the lowest is the best. */
  double score(Job job, Machine machine) {
    return score.score(job, machine);
  }
}
