package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Tunables;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
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

/**
 * The restart of slow tasks, as DESIGN-snowturn.md has it: when room frees and no waiting task
 * fits, the slow task with the longest time to end is stopped and started again, once, on a machine
 * that has shown to be fast enough.
 */
public final class Speculator {
  /** Slow tasks that are put to the gain test in one consideration, longest time to end first. */
  private static final int MOST_TRIED = 20;

  private final CoreRuntime runtime;
  private final Tunables figures;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final TaskScheduler scheduler;
  private final RecordWriter writer;
  private final FormatGate gate;
  private final Map<String, PendingRecord> counters = new HashMap<>();
  private int restarts;

  public Speculator(
      CoreRuntime runtime,
      Tunables figures,
      TaskAssignments assignments,
      MachineIndex machines,
      TaskScheduler scheduler,
      RecordWriter writer,
      FormatGate gate) {
    this.gate = gate;
    this.runtime = runtime;
    this.figures = figures;
    this.assignments = assignments;
    this.machines = machines;
    this.scheduler = scheduler;
    this.writer = writer;
  }

  public int restarts() {
    return restarts;
  }

  /** The counter record of an array as it was read. */
  public void loaded(Job job, long stamp) {
    slot(job).stamp = stamp;
  }

  private PendingRecord slot(Job job) {
    return counters.computeIfAbsent(
        job.spec.id(),
        id ->
            writer.slot(
                StorageKeys.restarts(id),
                0,
                () -> RestartRecords.json(job),
                () ->
                    new org.snowturn.wire.StateMessage.Condition(
                        StorageKeys.job(id), job.version())));
  }

  /** A running task's running time over the run that is expected of it; above 1: overdue. */
  public static double score(double ran, double expected) {
    return ran / expected;
  }

  /** Score per second run; an overdue task's is one over its running time. */
  public static double rate(double ran, double expected) {
    return 1 / Math.max(ran, expected);
  }

  /** What is left of the expected run; past it, the running time. */
  public static double timeLeft(double ran, double expected) {
    return ran > expected ? ran : expected - ran;
  }

  /** Sorted: the overdue first, then by the longest time to end. */
  private record Candidate(Job job, int task, boolean overdue, double left)
      implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate o) {
      return overdue != o.overdue ? (overdue ? -1 : 1) : Double.compare(o.left, left);
    }
  }

  /** Restarts at most one task; called when no waiting task fits and there is room. */
  public void consider() {
    if (!figures.speculation()) {
      return;
    }
    counters.keySet().removeIf(id -> assignments.job(id) == null);
    int running = 0;
    int again = 0;
    for (Job job : assignments.jobs()) {
      running += job.assigned();
      again += job.restarts() > 0 ? boundAgain(job) : 0;
    }
    if (again + 1 > Math.max(1, figures.speculativeCap() * running)) {
      return;
    }
    List<Candidate> slow = new ArrayList<>();
    for (Job job : assignments.jobs()) {
      if (job.spec.kind() == JobSpec.Kind.ARRAY
          && !job.isCancelled()
          && !job.runTimes.isEmpty()
          && job.running() > 0) {
        addSlow(job, slow);
      }
    }
    if (slow.isEmpty()) {
      return;
    }
    slow.sort(null);
    List<Machine> fast = fastEnough();
    for (Candidate c : slow.subList(0, Math.min(MOST_TRIED, slow.size()))) {
      if (gains(c, fast)) {
        restart(c);
        return;
      }
    }
  }

  private static int boundAgain(Job job) {
    int n = 0;
    for (int task = job.restarted.nextSetBit(0);
        task >= 0;
        task = job.restarted.nextSetBit(task + 1)) {
      n += job.isAssigned(task) ? 1 : 0;
    }
    return n;
  }

  private double totalWork(Machine machine) {
    double work = machine.workDone();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (!job.spec.service() && job.stateSince(task) != Job.UNKNOWN && !job.runTimes.isEmpty()) {
        work += Math.min(1, score(ran(job, task), expected(job, machine)));
      }
    }
    return work;
  }

  /** The machines whose total work reaches the bar; looked up only once there is a slow task. */
  private List<Machine> fastEnough() {
    List<Machine> usable = new ArrayList<>();
    DoubleSamples work = new DoubleSamples();
    for (Machine machine : machines.present()) {
      if (machine.usable(runtime.now())) {
        usable.add(machine);
        work.add(totalWork(machine));
      }
    }
    double bar = work.percentile(figures.slowNodePercentile());
    List<Machine> out = new ArrayList<>();
    for (int i = 0; i < usable.size(); i++) {
      if (work.get(i) >= bar) {
        out.add(usable.get(i));
      }
    }
    return out;
  }

  private double ran(Job job, int task) {
    return (runtime.now() - job.stateSince(task)) / 1000.0;
  }

  private double expected(Job job, Machine machine) {
    return Math.max(0.1, job.median() * machine.slowness());
  }

  /** Adds the array's tasks that are slow by the design's thresholds. */
  private void addSlow(Job job, List<Candidate> slow) {
    DoubleSamples rates = null;
    int mostBytes = gate.limits().valueBytes();
    for (int task = 0; task < job.taskCount(); task++) {
      if (!judged(job, task)
          || job.restarted.get(task)
          || job.stopping.get(task)
          || !RestartRecords.fits(job, task, mostBytes)) {
        continue;
      }
      double ran = ran(job, task);
      if (ran < figures.judgeAfterS()) {
        continue;
      }
      rates = rates == null ? rates(job) : rates;
      double expected = expected(job, machines.get(job.machineOf(task)));
      if (rate(ran, expected) < rates.percentile(figures.slowTaskPercentile())) {
        slow.add(new Candidate(job, task, ran > expected, timeLeft(ran, expected)));
      }
    }
  }

  /** Rates of the array's finished and running tasks. */
  private DoubleSamples rates(Job job) {
    DoubleSamples rates = new DoubleSamples();
    for (int i = 0; i < job.runTimes.size(); i++) {
      rates.add(1 / Math.max(0.1, job.runTimes.get(i)));
    }
    for (int task = 0; task < job.taskCount(); task++) {
      if (judged(job, task)) {
        rates.add(rate(ran(job, task), expected(job, machines.get(job.machineOf(task)))));
      }
    }
    return rates;
  }

  private boolean judged(Job job, int task) {
    return job.stateOf(task) == TaskState.RUNNING && job.stateSince(task) != Job.UNKNOWN;
  }

  private boolean gains(Candidate c, List<Machine> fast) {
    Machine target = target(c.job, machines.get(c.job.machineOf(c.task)), fast);
    if (target == null) {
      return false;
    }
    double fetch =
        target.images.containsKey(c.job.spec.image())
            ? 0
            : c.job.spec.imageGb() / Math.max(0.01, target.machineType().fetchGbPerS());
    return c.left > figures.gainFactor() * expected(c.job, target) + fetch;
  }

  private Machine target(Job job, Machine at, List<Machine> fast) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : fast) {
      if (machine != at && machine.hasRoom(job.spec) && scheduler.allowed(job, machine)) {
        double score = scheduler.score(job, machine);
        if (score < bestScore) {
          best = machine;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private void restart(Candidate c) {
    Job job = c.job;
    int task = c.task;
    long attempt = job.attemptOf(task);
    Machine at = machines.get(job.machineOf(task));
    job.restarted.set(task);
    job.addRestarts(1);
    restarts++;
    runtime.note(
        String.format(
            java.util.Locale.ROOT,
            "restart of %s/%d on %s: ran %.1f s, median %.1f s, slowness %.2f",
            job.spec.id(),
            task,
            at.id,
            ran(job, task),
            job.median(),
            at.slowness()));
    // The counter is durable before the stop, so no later leader restarts the task again.
    writer.mark(
        slot(job),
        3,
        () -> {
          if (job.isAssigned(task) && job.attemptOf(task) == attempt) {
            assignments.stop(job, task);
            job.excludedMachine.put(task, at.index);
          }
        });
  }
}
