package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.DoubleSamples;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Speculative execution of stragglers. When no waiting task fits, the slow task with the longest
 * remaining time, overdue tasks first, is stopped and placed again. At least one other machine with
 * room must have proved fast enough. Each task is restarted at most once.
 */
public final class Speculator {
  /** Maximum number of stragglers, in sort order, whose gain is estimated at a time. */
  private static final int MAX_EXAMINED_STRAGGLERS = 20;

  /** Urgency of writes of restart records. */
  private static final int RECORD_URGENCY = 3;

  /** Lower bound of run times, which avoids division by zero. */
  private static final double MIN_RUN_S = 0.1;

  /** Lower bound of the fetch rate, since a machine type may state a rate of zero. */
  private static final double MIN_FETCH_GB_PER_S = 0.01;

  private final CoreRuntime runtime;
  private final Tunables tunables;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final TaskScheduler scheduler;
  private final RecordWriter writer;
  private final FormatGate gate;
  private final Map<String, PendingRecord> restartRecords = new HashMap<>();
  private int restarts;

  /** Creates a speculator that has not restarted any task. */
  public Speculator(
      CoreRuntime runtime,
      Tunables tunables,
      TaskAssignments assignments,
      MachineIndex machines,
      TaskScheduler scheduler,
      RecordWriter writer,
      FormatGate gate) {
    this.gate = gate;
    this.runtime = runtime;
    this.tunables = tunables;
    this.assignments = assignments;
    this.machines = machines;
    this.scheduler = scheduler;
    this.writer = writer;
  }

  /** Returns the number of tasks that this leader has restarted. */
  public int restarts() {
    return restarts;
  }

  /**
   * Sets the version of the stored record of an array's restarts, after the record was read.
   *
   * @param version the record's version in the state service
   */
  public void setRecordVersion(Job job, long version) {
    restartRecord(job).setVersion(version);
  }

  /** Returns the record of the array's restarts, which is created on first use. */
  private PendingRecord restartRecord(Job job) {
    return restartRecords.computeIfAbsent(
        job.spec.id(),
        id ->
            writer.getOrAddRecord(
                StorageKeys.restarts(id),
                0,
                () -> RestartRecords.toJson(job),
                () -> new Condition(StorageKeys.job(id), job.version())));
  }

  /** Returns a task's run time as a multiple of its expected run time; above 1 it is overdue. */
  static double relativeRunTime(double runS, double expectedS) {
    return runS / expectedS;
  }

  /**
   * Returns the estimated progress per second as a fraction of the whole task. An overdue task is
   * taken to be about to finish.
   */
  static double progressRate(double runS, double expectedS) {
    return 1 / Math.max(runS, expectedS);
  }

  /**
   * Returns the estimated remaining time in seconds. It is the rest of the expected run time, or
   * the run time so far if the task is overdue.
   */
  static double remainingS(double runS, double expectedS) {
    return runS > expectedS ? runS : expectedS - runS;
  }

  /** A slow task. Overdue tasks sort first, then those with the longest remaining time. */
  private record Straggler(Job job, int task, boolean isOverdue, double remainingS)
      implements Comparable<Straggler> {
    @Override
    public int compareTo(Straggler other) {
      if (isOverdue != other.isOverdue) {
        return isOverdue ? -1 : 1;
      }
      return Double.compare(other.remainingS, remainingS);
    }
  }

  /**
   * Restarts one straggler if that is worthwhile and within the limits. Called when no waiting task
   * fits and there is room.
   */
  public void restartStraggler() {
    if (!tunables.speculation()) {
      return;
    }
    restartRecords.keySet().removeIf(id -> assignments.job(id) == null);
    if (!isBelowCap()) {
      return;
    }
    List<Straggler> stragglers = findStragglers();
    if (stragglers.isEmpty()) {
      return;
    }
    stragglers.sort(null);
    List<Machine> fastMachines = findFastMachines();
    int examined = Math.min(MAX_EXAMINED_STRAGGLERS, stragglers.size());
    for (Straggler straggler : stragglers.subList(0, examined)) {
      if (isRestartWorthwhile(straggler, fastMachines)) {
        restart(straggler);
        return;
      }
    }
  }

  /** Returns whether one more of the assigned tasks may be a restarted one. */
  private boolean isBelowCap() {
    int assigned = 0;
    int restarted = 0;
    for (Job job : assignments.jobs()) {
      assigned += job.assigned();
      restarted += job.restarts() > 0 ? assignedRestarts(job) : 0;
    }
    return restarted + 1 <= Math.max(1, tunables.speculativeCap() * assigned);
  }

  /** Returns the number of the job's restarted tasks that are assigned. */
  private static int assignedRestarts(Job job) {
    int count = 0;
    for (int task = job.restarted.nextSetBit(0);
        task >= 0;
        task = job.restarted.nextSetBit(task + 1)) {
      count += job.isAssigned(task) ? 1 : 0;
    }
    return count;
  }

  /** Returns the slow tasks of all arrays that have finished tasks to compare with. */
  private List<Straggler> findStragglers() {
    List<Straggler> stragglers = new ArrayList<>();
    for (Job job : assignments.jobs()) {
      if (job.spec.kind() == JobSpec.Kind.ARRAY
          && !job.isCancelled()
          && !job.runTimes.isEmpty()
          && job.running() > 0) {
        addStragglers(job, stragglers);
      }
    }
    return stragglers;
  }

  /**
   * Returns the number of tasks that the machine has finished, plus the estimated finished fraction
   * of each running one other than service replicas.
   */
  private double totalWork(Machine machine) {
    double work = machine.finishedTaskCount();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (!job.spec.isService()
          && job.runningSince(task) != MonotonicTime.UNSET
          && !job.runTimes.isEmpty()) {
        work += Math.min(1, relativeRunTime(runS(job, task), expectedS(job, machine)));
      }
    }
    return work;
  }

  /** Returns the usable machines whose total work reaches the configured percentile. */
  private List<Machine> findFastMachines() {
    List<Machine> usableMachines = new ArrayList<>();
    DoubleSamples work = new DoubleSamples();
    for (Machine machine : machines.present()) {
      if (machine.isUsable(runtime.now())) {
        usableMachines.add(machine);
        work.add(totalWork(machine));
      }
    }
    double threshold = work.percentile(tunables.slowNodePercentile());
    List<Machine> fastMachines = new ArrayList<>();
    for (int i = 0; i < usableMachines.size(); i++) {
      if (work.get(i) >= threshold) {
        fastMachines.add(usableMachines.get(i));
      }
    }
    return fastMachines;
  }

  /** Returns the task's run time so far in seconds. */
  private double runS(Job job, int task) {
    return (runtime.now() - job.runningSince(task)) / 1000.0;
  }

  /** Returns the expected run time of one of the job's tasks on the machine in seconds. */
  private double expectedS(Job job, Machine machine) {
    return Math.max(MIN_RUN_S, job.medianRunTimeS() * machine.slowness());
  }

  /**
   * Adds the array's slow tasks by the thresholds of the tunables. Tasks are skipped if they were
   * restarted before, are being stopped, or no longer fit into the record of restarts.
   */
  private void addStragglers(Job job, List<Straggler> stragglers) {
    DoubleSamples rates = null;
    int maxRecordBytes = gate.limits().maxValueBytes();
    for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
      if (!isRunning(job, task)
          || job.restarted.get(task)
          || job.stopping.get(task)
          || !RestartRecords.fits(job, task, maxRecordBytes)) {
        continue;
      }
      double runS = runS(job, task);
      if (runS < tunables.judgeAfterS()) {
        continue;
      }
      rates = rates == null ? progressRates(job) : rates;
      double expectedS = expectedS(job, machines.get(job.machineOf(task)));
      if (progressRate(runS, expectedS) < rates.percentile(tunables.slowTaskPercentile())) {
        stragglers.add(new Straggler(job, task, runS > expectedS, remainingS(runS, expectedS)));
      }
    }
  }

  /** Returns the progress rates of the array's finished and running tasks. */
  private DoubleSamples progressRates(Job job) {
    DoubleSamples rates = new DoubleSamples();
    for (int i = 0; i < job.runTimes.size(); i++) {
      rates.add(1 / Math.max(MIN_RUN_S, job.runTimes.get(i)));
    }
    for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
      if (isRunning(job, task)) {
        double expectedS = expectedS(job, machines.get(job.machineOf(task)));
        rates.add(progressRate(runS(job, task), expectedS));
      }
    }
    return rates;
  }

  /** Returns whether the task runs and the start of its run is known. */
  private static boolean isRunning(Job job, int task) {
    return job.stateOf(task) == TaskState.RUNNING && job.runningSince(task) != MonotonicTime.UNSET;
  }

  /** Returns whether a restart on the best of the fast machines would end sufficiently sooner. */
  private boolean isRestartWorthwhile(Straggler straggler, List<Machine> fastMachines) {
    Job job = straggler.job;
    Machine target = findTarget(job, machines.get(job.machineOf(straggler.task)), fastMachines);
    if (target == null) {
      return false;
    }
    double fetchS =
        target.images.containsKey(job.spec.image())
            ? 0
            : job.spec.imageGb() / Math.max(MIN_FETCH_GB_PER_S, target.machineType().fetchGbPerS());
    return straggler.remainingS > tunables.gainFactor() * expectedS(job, target) + fetchS;
  }

  /** Returns the fast machine with the lowest score that a task can move to, or null. */
  private Machine findTarget(Job job, Machine current, List<Machine> fastMachines) {
    Machine best = null;
    double lowestScore = Double.MAX_VALUE;
    for (Machine machine : fastMachines) {
      if (machine != current
          && machine.hasCapacityFor(job.spec)
          && scheduler.isAllowed(job, machine)) {
        double score = scheduler.score(job, machine);
        if (score < lowestScore) {
          best = machine;
          lowestScore = score;
        }
      }
    }
    return best;
  }

  /** Records the restart of the task, and stops the task once the record is durable. */
  private void restart(Straggler straggler) {
    Job job = straggler.job;
    int task = straggler.task;
    long attempt = job.attemptOf(task);
    Machine current = machines.get(job.machineOf(task));
    job.restarted.set(task);
    job.addRestarts(1);
    restarts++;
    runtime
        .events()
        .info(LogEvent.TASK_RESTARTED)
        .with(LogField.JOB, job.spec.id())
        .with(LogField.TASK, task)
        .with(LogField.MACHINE, current.id)
        .with(LogField.RUN_TIME_S, runS(job, task))
        .with(LogField.MEDIAN_S, job.medianRunTimeS())
        .with(LogField.SLOWNESS, current.slowness())
        .write();
    // Stops the task only when the record is durable, so that no later leader restarts it again.
    writer.enqueue(
        restartRecord(job),
        RECORD_URGENCY,
        () -> {
          if (job.isAssigned(task) && job.attemptOf(task) == attempt) {
            assignments.stop(job, task);
            job.failures.exclude(task, current.index);
          }
        });
  }
}
