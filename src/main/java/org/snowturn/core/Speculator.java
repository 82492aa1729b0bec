package org.snowturn.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Tunables;
import org.snowturn.wire.JobSpec;

/**
 * The restart of slow tasks, as DESIGN-snowturn.md has it: when room frees and no waiting task
 * fits, the slow task with the longest time to end is stopped and started again, once, on a machine
 * that has shown to be fast enough.
 */
final class Speculator {
  private final Calls calls;
  private final Tunables figures;
  private final Ledger ledger;
  private final MachineBook machines;
  private final Placer placer;
  private final Writer writer;
  private final Map<String, Writer.Slot> counters = new HashMap<>();
  private int restarts;

  Speculator(
      Calls calls,
      Tunables figures,
      Ledger ledger,
      MachineBook machines,
      Placer placer,
      Writer writer) {
    this.calls = calls;
    this.figures = figures;
    this.ledger = ledger;
    this.machines = machines;
    this.placer = placer;
    this.writer = writer;
  }

  int restarts() {
    return restarts;
  }

  /** The counter record of an array as it was read. */
  void loaded(Job j, long stamp) {
    slot(j).stamp = stamp;
  }

  private Writer.Slot slot(Job j) {
    return counters.computeIfAbsent(
        j.spec.id(),
        id ->
            writer.slot(
                Keys.restarts(id),
                0,
                () -> Ledger.restartsJson(j),
                () -> new org.snowturn.wire.StateMessage.Condition(Keys.job(id), j.stamp)));
  }

  /** A running task's running time over the run that is expected of it; above 1: overdue. */
  static double score(double ran, double expected) {
    return ran / expected;
  }

  /** Score per second run; an overdue task's is one over its running time. */
  static double rate(double ran, double expected) {
    return 1 / Math.max(ran, expected);
  }

  /** What is left of the expected run; past it, the running time. */
  static double timeLeft(double ran, double expected) {
    return ran > expected ? ran : expected - ran;
  }

  private record Candidate(Job job, int task, boolean overdue, double left) {
    boolean before(Candidate o) {
      return o == null || (overdue != o.overdue ? overdue : left > o.left);
    }
  }

  /** Restarts at most one task; called when no waiting task fits and there is room. */
  void consider() {
    if (!figures.speculation()) {
      return;
    }
    counters.keySet().removeIf(id -> ledger.job(id) == null);
    int running = 0;
    int again = 0;
    for (Job j : ledger.jobs()) {
      for (int t = 0; t < j.state.length && j.bound > 0; t++) {
        if (j.isBound(t)) {
          running++;
          again += j.restarted.get(t) ? 1 : 0;
        }
      }
    }
    if (again + 1 > Math.max(1, figures.speculativeCap() * running)) {
      return;
    }
    double bar = workBar();
    Candidate best = null;
    for (Job j : ledger.jobs()) {
      if (j.spec.kind() == JobSpec.Kind.ARRAY
          && !j.cancelled
          && !j.runTimes.isEmpty()
          && j.bound > 0) {
        best = slowest(j, bar, best);
      }
    }
    if (best != null) {
      restart(best);
    }
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

  private double workBar() {
    List<Machine> present = machines.present();
    Samples work = new Samples();
    for (Machine m : present) {
      if (m.usable(calls.now())) {
        work.add(totalWork(m));
      }
    }
    return work.percentile(figures.slowNodePercentile());
  }

  private double ran(Job j, int t) {
    return (calls.now() - j.since[t]) / 1000.0;
  }

  private double expected(Job j, Machine m) {
    return Math.max(0.1, j.median() * m.slowness());
  }

  private Candidate slowest(Job j, double bar, Candidate best) {
    Samples rates = new Samples();
    for (int i = 0; i < j.runTimes.size(); i++) {
      rates.add(1 / Math.max(0.1, j.runTimes.get(i)));
    }
    for (int t = 0; t < j.state.length; t++) {
      if (judged(j, t)) {
        rates.add(rate(ran(j, t), expected(j, machines.get(j.machine[t]))));
      }
    }
    double threshold = rates.percentile(figures.slowTaskPercentile());
    Candidate found = best;
    for (int t = 0; t < j.state.length; t++) {
      if (!judged(j, t) || j.restarted.get(t) || j.stopping.get(t)) {
        continue;
      }
      Machine at = machines.get(j.machine[t]);
      double expected = expected(j, at);
      double ran = ran(j, t);
      if (ran < figures.judgeAfterS() || !(rate(ran, expected) < threshold)) {
        continue;
      }
      Candidate c = new Candidate(j, t, ran > expected, timeLeft(ran, expected));
      if (c.before(found) && gains(c, at, bar)) {
        found = c;
      }
    }
    return found;
  }

  private boolean judged(Job j, int t) {
    return j.state[t] == Job.RUNNING && j.since[t] != Job.UNKNOWN;
  }

  private boolean gains(Candidate c, Machine at, double bar) {
    Machine target = target(c.job, at, bar);
    if (target == null) {
      return false;
    }
    double fetch =
        target.images.containsKey(c.job.spec.image())
            ? 0
            : c.job.spec.imageGb() / Math.max(0.01, target.shape.fetchGbPerS());
    return c.left > figures.gainFactor() * expected(c.job, target) + fetch;
  }

  private Machine target(Job j, Machine at, double bar) {
    Machine best = null;
    for (Machine m : machines.present()) {
      boolean candidate =
          m != at
              && m.usable(calls.now())
              && m.hasRoom(j.spec)
              && placer.allowed(j, m)
              && totalWork(m) >= bar;
      if (candidate && (best == null || placer.score(j, m) < placer.score(j, best))) {
        best = m;
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
