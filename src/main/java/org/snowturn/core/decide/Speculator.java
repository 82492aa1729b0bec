package org.snowturn.core.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Tunables;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.Reports;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.model.Samples;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.Slot;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.JobSpec;

/**
 * The restart of slow tasks, as DESIGN-snowturn.md has it: when room frees and no waiting task
 * fits, the slow task with the longest time to end is stopped and started again, once, on a machine
 * that has shown to be fast enough.
 */
public final class Speculator {
  /** Slow tasks that are put to the gain test in one consideration, longest time to end first. */
  private static final int MOST_TRIED = 20;

  private final Calls calls;
  private final Tunables figures;
  private final Ledger ledger;
  private final MachineBook machines;
  private final Placer placer;
  private final Writer writer;
  private final FormatGate gate;
  private final Map<String, Slot> counters = new HashMap<>();
  private int restarts;

  public Speculator(
      Calls calls,
      Tunables figures,
      Ledger ledger,
      MachineBook machines,
      Placer placer,
      Writer writer,
      FormatGate gate) {
    this.gate = gate;
    this.calls = calls;
    this.figures = figures;
    this.ledger = ledger;
    this.machines = machines;
    this.placer = placer;
    this.writer = writer;
  }

  public int restarts() {
    return restarts;
  }

  /** The counter record of an array as it was read. */
  public void loaded(Job j, long stamp) {
    slot(j).stamp = stamp;
  }

  private Slot slot(Job j) {
    return counters.computeIfAbsent(
        j.spec.id(),
        id ->
            writer.slot(
                Keys.restarts(id),
                0,
                () -> RestartRecords.json(j),
                () -> new org.snowturn.wire.StateMessage.Condition(Keys.job(id), j.stamp)));
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
    counters.keySet().removeIf(id -> ledger.job(id) == null);
    int running = 0;
    int again = 0;
    for (Job j : ledger.jobs()) {
      running += j.bound;
      again += j.restarts > 0 ? boundAgain(j) : 0;
    }
    if (again + 1 > Math.max(1, figures.speculativeCap() * running)) {
      return;
    }
    List<Candidate> slow = new ArrayList<>();
    for (Job j : ledger.jobs()) {
      if (j.spec.kind() == JobSpec.Kind.ARRAY
          && !j.unwanted()
          && !j.runTimes.isEmpty()
          && j.running > 0) {
        addSlow(j, slow);
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

  private static int boundAgain(Job j) {
    int n = 0;
    for (int t = j.restarted.nextSetBit(0); t >= 0; t = j.restarted.nextSetBit(t + 1)) {
      n += j.isBound(t) ? 1 : 0;
    }
    return n;
  }

  private double totalWork(Machine m) {
    double work = m.workDone;
    for (long ref : Reports.copy(m.bound)) {
      Job j = ledger.job(ref);
      int t = Ledger.task(ref);
      if (!j.spec.service() && j.since[t] != Job.UNKNOWN && !j.runTimes.isEmpty()) {
        work += Math.min(1, score(ran(j, t), expected(j, m)));
      }
    }
    return work;
  }

  /** The machines whose total work reaches the bar; looked up only once there is a slow task. */
  private List<Machine> fastEnough() {
    List<Machine> usable = new ArrayList<>();
    Samples work = new Samples();
    for (Machine m : machines.present()) {
      if (m.usable(calls.now())) {
        usable.add(m);
        work.add(totalWork(m));
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

  private double ran(Job j, int t) {
    return (calls.now() - j.since[t]) / 1000.0;
  }

  private double expected(Job j, Machine m) {
    return Math.max(0.1, j.median() * m.slowness());
  }

  /** Adds the array's tasks that are slow by the design's thresholds. */
  private void addSlow(Job j, List<Candidate> slow) {
    Samples rates = null;
    int mostBytes = gate.limits().valueBytes();
    for (int t = 0; t < j.state.length; t++) {
      if (!judged(j, t)
          || j.restarted.get(t)
          || j.stopping.get(t)
          || !RestartRecords.fits(j, t, mostBytes)) {
        continue;
      }
      double ran = ran(j, t);
      if (ran < figures.judgeAfterS()) {
        continue;
      }
      rates = rates == null ? rates(j) : rates;
      double expected = expected(j, machines.get(j.machine[t]));
      if (rate(ran, expected) < rates.percentile(figures.slowTaskPercentile())) {
        slow.add(new Candidate(j, t, ran > expected, timeLeft(ran, expected)));
      }
    }
  }

  /** Rates of the array's finished and running tasks. */
  private Samples rates(Job j) {
    Samples rates = new Samples();
    for (int i = 0; i < j.runTimes.size(); i++) {
      rates.add(1 / Math.max(0.1, j.runTimes.get(i)));
    }
    for (int t = 0; t < j.state.length; t++) {
      if (judged(j, t)) {
        rates.add(rate(ran(j, t), expected(j, machines.get(j.machine[t]))));
      }
    }
    return rates;
  }

  private boolean judged(Job j, int t) {
    return j.state[t] == Job.RUNNING && j.since[t] != Job.UNKNOWN;
  }

  private boolean gains(Candidate c, List<Machine> fast) {
    Machine target = target(c.job, machines.get(c.job.machine[c.task]), fast);
    if (target == null) {
      return false;
    }
    double fetch =
        target.images.containsKey(c.job.spec.image())
            ? 0
            : c.job.spec.imageGb() / Math.max(0.01, target.shape.fetchGbPerS());
    return c.left > figures.gainFactor() * expected(c.job, target) + fetch;
  }

  private Machine target(Job j, Machine at, List<Machine> fast) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine m : fast) {
      if (m != at && m.hasRoom(j.spec) && placer.allowed(j, m)) {
        double score = placer.score(j, m);
        if (score < bestScore) {
          best = m;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private void restart(Candidate c) {
    Job j = c.job;
    int t = c.task;
    long attempt = j.attempt[t];
    Machine at = machines.get(j.machine[t]);
    j.restarted.set(t);
    j.restarts++;
    restarts++;
    calls.note(
        String.format(
            java.util.Locale.ROOT,
            "restart of %s/%d on %s: ran %.1f s, median %.1f s, slowness %.2f",
            j.spec.id(),
            t,
            at.id,
            ran(j, t),
            j.median(),
            at.slowness()));
    // The counter is durable before the stop, so no later leader restarts the task again.
    writer.mark(
        slot(j),
        3,
        () -> {
          if (j.isBound(t) && j.attempt[t] == attempt) {
            ledger.stop(j, t);
            j.avoid.put(t, at.index);
          }
        });
  }
}
