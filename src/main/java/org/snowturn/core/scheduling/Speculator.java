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
 * Speculative execution of stragglers: when no waiting task fits, the slow task with the longest
 * time to end is stopped and started again, once, on a machine that has shown to be fast enough.
 */
public final class Speculator {
  /** Slow tasks whose gain is estimated at a time, longest time to end first. */
  private static final int MAX_EXAMINED = 20;

  private static final int RECORD_SLOT = 3;
  private static final double MIN_RUN_S = 0.1;
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

  /** Restarts nothing yet. */
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

  /** How many tasks this leader has restarted. */
  public int restarts() {
    return restarts;
  }

  /** The record of an array's restarts was read, at this revision. */
  public void loaded(Job job, long stamp) {
    restartRecord(job).setVersion(stamp);
  }

  private PendingRecord restartRecord(Job job) {
    return restartRecords.computeIfAbsent(
        job.spec.id(),
        id ->
            writer.pendingRecord(
                StorageKeys.restarts(id),
                0,
                () -> RestartRecords.json(job),
                () -> new Condition(StorageKeys.job(id), job.version())));
  }

  /** A task's running time over the run that is expected of it; above 1: overdue. */
  static double relativeRunTime(double runS, double expectedS) {
    return runS / expectedS;
  }

  /** Progress per second of running time; an overdue task's is one over its running time. */
  static double progressRate(double runS, double expectedS) {
    return 1 / Math.max(runS, expectedS);
  }

  /** What is left of the expected run; past it, the running time. */
  static double remainingS(double runS, double expectedS) {
    return runS > expectedS ? runS : expectedS - runS;
  }

  /** Sorted: the overdue first, then by the longest time to end. */
  private record Straggler(Job job, int task, boolean overdue, double remainingS)
      implements Comparable<Straggler> {
    @Override
    public int compareTo(Straggler other) {
      if (overdue != other.overdue) {
        return overdue ? -1 : 1;
      }
      return Double.compare(other.remainingS, remainingS);
    }
  }

  /** Restarts at most one task; to be called when no waiting task fits and there is room. */
  public void consider() {
    if (!tunables.speculation()) {
      return;
    }
    restartRecords.keySet().removeIf(id -> assignments.job(id) == null);
    if (!isBelowCap()) {
      return;
    }
    List<Straggler> stragglers = stragglers();
    if (stragglers.isEmpty()) {
      return;
    }
    stragglers.sort(null);
    List<Machine> fastMachines = fastMachines();
    int examined = Math.min(MAX_EXAMINED, stragglers.size());
    for (Straggler straggler : stragglers.subList(0, examined)) {
      if (gains(straggler, fastMachines)) {
        restart(straggler);
        return;
      }
    }
  }

  /** Whether one more of the running tasks may be a restarted one. */
  private boolean isBelowCap() {
    int assigned = 0;
    int restarted = 0;
    for (Job job : assignments.jobs()) {
      assigned += job.assigned();
      restarted += job.restarts() > 0 ? assignedRestarts(job) : 0;
    }
    return restarted + 1 <= Math.max(1, tunables.speculativeCap() * assigned);
  }

  private static int assignedRestarts(Job job) {
    int count = 0;
    for (int task = job.restarted.nextSetBit(0);
        task >= 0;
        task = job.restarted.nextSetBit(task + 1)) {
      count += job.isAssigned(task) ? 1 : 0;
    }
    return count;
  }

  private List<Straggler> stragglers() {
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

  private double totalWork(Machine machine) {
    double work = machine.workDone();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (!job.spec.isService()
          && job.stateSince(task) != MonotonicTime.NEVER
          && !job.runTimes.isEmpty()) {
        work += Math.min(1, relativeRunTime(runS(job, task), expectedS(job, machine)));
      }
    }
    return work;
  }

  /** The machines whose total work reaches the threshold. */
  private List<Machine> fastMachines() {
    List<Machine> usable = new ArrayList<>();
    DoubleSamples work = new DoubleSamples();
    for (Machine machine : machines.present()) {
      if (machine.usable(runtime.now())) {
        usable.add(machine);
        work.add(totalWork(machine));
      }
    }
    double threshold = work.percentile(tunables.slowNodePercentile());
    List<Machine> fast = new ArrayList<>();
    for (int i = 0; i < usable.size(); i++) {
      if (work.get(i) >= threshold) {
        fast.add(usable.get(i));
      }
    }
    return fast;
  }

  private double runS(Job job, int task) {
    return (runtime.now() - job.stateSince(task)) / 1000.0;
  }

  private double expectedS(Job job, Machine machine) {
    return Math.max(MIN_RUN_S, job.median() * machine.slowness());
  }

  /** Adds the array's tasks that are slow by the thresholds of the tunables. */
  private void addStragglers(Job job, List<Straggler> stragglers) {
    DoubleSamples rates = null;
    int maxRecordBytes = gate.limits().maxValueBytes();
    for (int task = 0; task < job.taskCount(); task++) {
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

  /** Rates of the array's finished and running tasks. */
  private DoubleSamples progressRates(Job job) {
    DoubleSamples rates = new DoubleSamples();
    for (int i = 0; i < job.runTimes.size(); i++) {
      rates.add(1 / Math.max(MIN_RUN_S, job.runTimes.get(i)));
    }
    for (int task = 0; task < job.taskCount(); task++) {
      if (isRunning(job, task)) {
        double expectedS = expectedS(job, machines.get(job.machineOf(task)));
        rates.add(progressRate(runS(job, task), expectedS));
      }
    }
    return rates;
  }

  private static boolean isRunning(Job job, int task) {
    return job.stateOf(task) == TaskState.RUNNING && job.stateSince(task) != MonotonicTime.NEVER;
  }

  /** Whether a restart on the best fast machine would end sufficiently sooner. */
  private boolean gains(Straggler straggler, List<Machine> fastMachines) {
    Job job = straggler.job;
    Machine target = target(job, machines.get(job.machineOf(straggler.task)), fastMachines);
    if (target == null) {
      return false;
    }
    double fetchS =
        target.images.containsKey(job.spec.image())
            ? 0
            : job.spec.imageGb() / Math.max(MIN_FETCH_GB_PER_S, target.machineType().fetchGbPerS());
    return straggler.remainingS > tunables.gainFactor() * expectedS(job, target) + fetchS;
  }

  private Machine target(Job job, Machine current, List<Machine> fastMachines) {
    Machine best = null;
    double lowestScore = Double.MAX_VALUE;
    for (Machine machine : fastMachines) {
      if (machine != current && machine.hasRoom(job.spec) && scheduler.isAllowed(job, machine)) {
        double score = scheduler.score(job, machine);
        if (score < lowestScore) {
          best = machine;
          lowestScore = score;
        }
      }
    }
    return best;
  }

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
        .with(LogField.MEDIAN_S, job.median())
        .with(LogField.SLOWNESS, current.slowness())
        .write();
    // The record is durable before the stop, so no later leader restarts the task again.
    writer.enqueue(
        restartRecord(job),
        RECORD_SLOT,
        () -> {
          if (job.isAssigned(task) && job.attemptOf(task) == attempt) {
            assignments.stop(job, task);
            job.failures.exclude(task, current.index);
          }
        });
  }
}
