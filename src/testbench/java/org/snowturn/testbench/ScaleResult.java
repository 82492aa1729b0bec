package org.snowturn.testbench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.snowturn.simulation.LoopbackPlan;
import org.snowturn.simulation.LoopbackStatus;

/** Figures of a finished scale run, in rows that each have a scope. */
final class ScaleResult {
  private static final double BYTES_PER_KB = 1024;

  /**
   * Figures of one scope.
   *
   * @param scope a region, a controller with its role, a simulated service or one worker
   * @param figures values by name
   */
  record Row(String scope, Map<String, Double> figures) {}

  private final ScalePlan plan;
  private final List<Row> rows;
  private final List<String> brokenRules;

  private ScaleResult(ScalePlan plan, List<Row> rows, List<String> brokenRules) {
    this.plan = plan;
    this.rows = rows;
    this.brokenRules = brokenRules;
  }

  ScalePlan plan() {
    return plan;
  }

  List<Row> rows() {
    return rows;
  }

  /** Returns the names of the broken rules, with some details. */
  List<String> brokenRules() {
    return brokenRules;
  }

  /** Collects the figures of a run. */
  static final class Builder {
    private final ScalePlan plan;
    private final Map<String, ProcessUsage> threadsBefore;
    private final List<Row> rows = new ArrayList<>();
    private final List<String> brokenRules = new ArrayList<>();
    private final double fillS;
    private double loadDurationS;
    private int reportingWorkers;

    /**
     * Creates a builder without figures.
     *
     * @param threadsBefore usage by thread name when the load began
     * @param fillS time in seconds until the long-running tasks ran
     */
    Builder(ScalePlan plan, Map<String, ProcessUsage> threadsBefore, double fillS) {
      this.plan = plan;
      this.threadsBefore = threadsBefore;
      this.fillS = fillS;
    }

    /** Sets the measured duration of the load, by which totals are divided. */
    void setLoadDurationS(double seconds) {
      loadDurationS = seconds;
    }

    /**
     * Adds the figures of a region.
     *
     * @param before status when the load began
     * @param after status when the load ended
     * @param urgent delays of tasks of urgent jobs until their start, in ms
     * @param accepted delays of submissions until they were accepted, in ms
     */
    void addRegion(
        LoopbackPlan regionPlan,
        LoopbackStatus before,
        LoopbackStatus after,
        Histogram urgent,
        Histogram accepted) {
      brokenRules.addAll(after.violations());
      reportingWorkers += after.workersUp();
      Map<String, Double> figures = new TreeMap<>();
      figures.put("workers", (double) after.workersUp());
      figures.put("running", (double) after.runningTasks());
      figures.put("starts_per_s", (after.startedTasks() - before.startedTasks()) / loadDurationS);
      figures.put("starts_in_all", (double) after.startedTasks());
      figures.put(
          "jobs_over_per_s", (after.finishedJobs() - before.finishedJobs()) / loadDurationS);
      figures.put("reports_per_s", (after.heartbeats() - before.heartbeats()) / loadDurationS);
      figures.put("commands_per_s", (after.commands() - before.commands()) / loadDurationS);
      figures.put(
          "state_requests_per_s", (after.stateRequests() - before.stateRequests()) / loadDurationS);
      figures.put(
          "state_changes_per_s", (after.stateWrites() - before.stateWrites()) / loadDurationS);
      figures.put("state_refused", (double) (after.stateRefusals() - before.stateRefusals()));
      figures.put("leader_changes", (double) (after.termsSeen() - before.termsSeen()));
      figures.put("longest_pause_s", after.longestPauseMs() / 1000.0);
      figures.put("rules_broken", (double) after.violations().size());
      figures.put("fill_s", fillS);
      addPercentiles(figures, "urgent", urgent);
      addPercentiles(figures, "accept", accepted);
      rows.add(new Row("region " + regionPlan.regionNumber(), figures));
    }

    private static void addPercentiles(
        Map<String, Double> figures, String name, Histogram histogram) {
      figures.put(name + "_p50_ms", (double) histogram.getValueAtPercentile(50));
      figures.put(name + "_p95_ms", (double) histogram.getValueAtPercentile(95));
      figures.put(name + "_p99_ms", (double) histogram.getValueAtPercentile(99));
      figures.put(name + "_count", (double) histogram.getTotalCount());
    }

    /** Adds the figures of a controller process. */
    void addController(int region, String name, boolean isLeader, ProcessUsage usage) {
      Map<String, Double> figures = usageFigures(usage, loadDurationS);
      figures.put("memory_peak_mb", usage.residentMb());
      figures.put("sockets_peak", (double) usage.sockets());
      rows.add(new Row((isLeader ? "leader " : "standby ") + name, figures));
    }

    private static Map<String, Double> usageFigures(ProcessUsage usage, double seconds) {
      Map<String, Double> figures = new TreeMap<>();
      figures.put("cores", usage.cpuTimeS() / seconds);
      figures.put("kb_in_per_s", usage.bytesRead() / BYTES_PER_KB / seconds);
      figures.put("kb_out_per_s", usage.bytesWritten() / BYTES_PER_KB / seconds);
      figures.put("reads_per_s", usage.readCalls() / seconds);
      figures.put("writes_per_s", usage.writeCalls() / seconds);
      return figures;
    }

    /**
     * Adds the figures of the threads of the simulated services, and of one worker. The figures of
     * one worker are those of the threads that simulate the workers, divided by the number of
     * workers.
     *
     * @param threadsAfter usage by thread name when the load ended
     */
    Builder addThreads(Map<String, ProcessUsage> threadsAfter) {
      ProcessUsage workerThreads = ProcessUsage.NONE;
      for (var thread : threadsAfter.entrySet()) {
        ProcessUsage usage =
            thread.getValue().since(threadsBefore.getOrDefault(thread.getKey(), ProcessUsage.NONE));
        if (List.of("world", "state", "hollow", "report", "users").contains(thread.getKey())) {
          rows.add(new Row("stand-in " + thread.getKey(), usageFigures(usage, loadDurationS)));
        }
        if (List.of("hollow", "report").contains(thread.getKey())) {
          workerThreads = workerThreads.plus(usage);
        }
      }
      Map<String, Double> figures = usageFigures(workerThreads, loadDurationS);
      figures.replaceAll((name, value) -> value / Math.max(1, reportingWorkers));
      rows.add(new Row("one worker", figures));
      return this;
    }

    /** Returns the result with all figures that were added. */
    ScaleResult build() {
      return new ScaleResult(plan, rows, brokenRules);
    }
  }
}
