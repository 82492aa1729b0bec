package org.snowturn.testbench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.snowturn.simulation.LoopbackPlan;
import org.snowturn.simulation.LoopbackStatus;

/** The figures of a played scale run, as rows of a scope and named figures. */
final class ScaleResult {
  private static final double KB = 1024;

  /**
   * One line of the table.
   *
   * @param scope the run, a region, or a role of processes in a region
   */
  record Row(String scope, Map<String, Double> figures) {}

  private final ScalePlan plan;
  private final List<Row> rows;
  private final List<String> broken;

  private ScaleResult(ScalePlan plan, List<Row> rows, List<String> broken) {
    this.plan = plan;
    this.rows = rows;
    this.broken = broken;
  }

  ScalePlan plan() {
    return plan;
  }

  List<Row> rows() {
    return rows;
  }

  /** Rules that were broken, and details of the first. */
  List<String> brokenRules() {
    return broken;
  }

  /** Collects what is measured. */
  static final class Builder {
    private final ScalePlan plan;
    private final Map<String, ProcessUsage> threadsBefore;
    private final List<Row> rows = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final double fillS;
    private double lastedS;
    private int workersUp;

    Builder(ScalePlan plan, Map<String, ProcessUsage> threadsBefore, double fillS) {
      this.plan = plan;
      this.threadsBefore = threadsBefore;
      this.fillS = fillS;
    }

    void setLoadDurationS(double seconds) {
      lastedS = seconds;
    }

    void addRegion(
        LoopbackPlan p,
        LoopbackStatus from,
        LoopbackStatus to,
        Histogram urgent,
        Histogram accepted) {
      broken.addAll(to.broken());
      workersUp += to.workersUp();
      Map<String, Double> f = new TreeMap<>();
      f.put("workers", (double) to.workersUp());
      f.put("running", (double) to.running());
      f.put("starts_per_s", (to.starts() - from.starts()) / lastedS);
      f.put("starts_in_all", (double) to.starts());
      f.put("jobs_over_per_s", (to.jobsDone() - from.jobsDone()) / lastedS);
      f.put("reports_per_s", (to.reports() - from.reports()) / lastedS);
      f.put("commands_per_s", (to.commands() - from.commands()) / lastedS);
      f.put("state_requests_per_s", (to.stateRequests() - from.stateRequests()) / lastedS);
      f.put("state_changes_per_s", (to.stateWrites() - from.stateWrites()) / lastedS);
      f.put("state_refused", (double) (to.stateRefused() - from.stateRefused()));
      f.put("leader_changes", (double) (to.tokens() - from.tokens()));
      f.put("longest_pause_s", to.longestPauseMs() / 1000.0);
      f.put("rules_broken", (double) to.broken().size());
      f.put("fill_s", fillS);
      percentiles(f, "urgent", urgent);
      percentiles(f, "accept", accepted);
      rows.add(new Row("region " + p.number(), f));
    }

    private static void percentiles(Map<String, Double> f, String name, Histogram h) {
      f.put(name + "_p50_ms", (double) h.getValueAtPercentile(50));
      f.put(name + "_p95_ms", (double) h.getValueAtPercentile(95));
      f.put(name + "_p99_ms", (double) h.getValueAtPercentile(99));
      f.put(name + "_count", (double) h.getTotalCount());
    }

    void addController(int region, String name, boolean leads, ProcessUsage u) {
      Map<String, Double> f = usage(u, lastedS);
      f.put("memory_peak_mb", u.residentMb());
      f.put("sockets_peak", (double) u.sockets());
      rows.add(new Row((leads ? "leader " : "standby ") + name, f));
    }

    private static Map<String, Double> usage(ProcessUsage u, double seconds) {
      Map<String, Double> f = new TreeMap<>();
      f.put("cores", u.processorS() / seconds);
      f.put("kb_in_per_s", u.bytesIn() / KB / seconds);
      f.put("kb_out_per_s", u.bytesOut() / KB / seconds);
      f.put("reads_per_s", u.reads() / seconds);
      f.put("writes_per_s", u.writes() / seconds);
      return f;
    }

    /** The stand-ins' own threads; what one worker's control costs it is their part of it. */
    Builder addThreads(Map<String, ProcessUsage> now) {
      ProcessUsage hollow = ProcessUsage.NOTHING;
      for (var e : now.entrySet()) {
        ProcessUsage u =
            e.getValue().since(threadsBefore.getOrDefault(e.getKey(), ProcessUsage.NOTHING));
        if (List.of("world", "state", "hollow", "report", "users").contains(e.getKey())) {
          rows.add(new Row("stand-in " + e.getKey(), usage(u, lastedS)));
        }
        if (List.of("hollow", "report").contains(e.getKey())) {
          hollow = hollow.plus(u);
        }
      }
      Map<String, Double> f = usage(hollow, lastedS);
      f.replaceAll((k, v) -> v / Math.max(1, workersUp));
      rows.add(new Row("one worker", f));
      return this;
    }

    ScaleResult build() {
      return new ScaleResult(plan, rows, broken);
    }
  }
}
