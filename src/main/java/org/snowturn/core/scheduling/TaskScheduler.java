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

/** Decides which waiting task goes where, in rounds over all waiting jobs. */
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
  private final JobPlacement placement;
  private final ProbePlacement probes;
  private final LongWaitPlacement longWaits;
  private final EvaluationCounter evaluations = new EvaluationCounter();

  /**
   * A scheduler for one term; it acts only when asked to.
   *
   * @param spotPreemptions how often the cloud preempts spot machines
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
    placement =
        new JobPlacement(
            assignments,
            score,
            new CandidateQueue(constraints, score, aging, evaluations),
            new GangScheduling(machines, constraints),
            preemptor,
            this::onPlaced);
    probes = new ProbePlacement(assignments, constraints, score, placement, evaluations);
    longWaits =
        new LongWaitPlacement(runtime, assignments, constraints, placement, aging, evaluations);
  }

  private void onPlaced(Job job) {
    fairOrdering.recordPlacement(job, runtime.now());
    aging.recordPlacement(job.spec.cpus(), longWaits.isPlacing(), runtime.now());
  }

  /** Places what fits; tells whether every waiting task was placed or cannot be placed now. */
  public boolean schedule() {
    long now = runtime.now();
    List<Machine> usable = usableMachines(now);
    List<Job> waiting = new ArrayList<>();
    List<Job> suspected = new ArrayList<>();
    score.beginRound(policy.overprovisioning().getAsDouble());
    fairOrdering.beginRound(assignments.jobs(), now);
    collectJobs(now, waiting, suspected);
    placement.beginRound();
    preemptor.beginRound(usable);
    suspected.stream()
        .filter(job -> ProbePlacement.isOverdue(job, now))
        .forEach(job -> probes.place(job, usable));
    boolean allPlaced = placeWaiting(waiting, usable);
    suspected.stream()
        .filter(job -> !ProbePlacement.isOverdue(job, now))
        .forEach(job -> probes.place(job, usable));
    return allPlaced;
  }

  private List<Machine> usableMachines(long now) {
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.usable(now) && machines.zoneKnown(machine.zone())) {
        usable.add(machine);
      }
    }
    return usable;
  }

  private void collectJobs(long now, List<Job> waiting, List<Job> suspected) {
    for (Job job : assignments.jobs()) {
      score.recordReplicaSize(job.spec);
      if (!job.wantsRoom()) {
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

  /** Long-waiting jobs go after production and guarantees, before all others. */
  private boolean placeWaiting(List<Job> waiting, List<Machine> usable) {
    boolean allPlaced = true;
    boolean longWaitsPlaced = false;
    for (Job job : fairOrdering.sorted(policy.order().sorted(waiting, (double) runtime.wallMs()))) {
      if (!longWaitsPlaced && job.priority() != Priority.PRODUCTION && !job.isWithinGuarantee()) {
        longWaitsPlaced = true;
        longWaits.place(waiting, usable);
      }
      if (!placement.place(job, usable)) {
        allPlaced = false;
        preemptor.makeRoom(job, usable);
      }
    }
    return allPlaced;
  }

  /** For operators: how the classes of each team are served. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>(fairOrdering.gauges());
    gauges.putAll(aging.gauges());
    return gauges;
  }

  /** How many times a machine was evaluated for a job so far. */
  public long machineEvaluations() {
    return evaluations.count();
  }

  /** Whether a replica on {@code from} could start on another machine without an image fetch. */
  public boolean canStartElsewhere(Job job, Machine from) {
    return constraints.canStartElsewhere(job, from);
  }

  /** Whether the job's constraints allow one more task of it on the machine, room aside. */
  boolean isAllowed(Job job, Machine machine) {
    return constraints.isAllowed(job, machine);
  }

  /** The machine's score for a task of the job; the lowest is the best. */
  double score(Job job, Machine machine) {
    return score.score(job, machine);
  }
}
