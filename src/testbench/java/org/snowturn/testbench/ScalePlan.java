package org.snowturn.testbench;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.simulation.LoopbackPlan;

/**
 * Size, load and failure of a scale run. The JSON output of a run contains the text form of this
 * record.
 *
 * @param workers number of simulated workers in all regions together
 * @param tasks number of tasks that run at a time in all regions together
 * @param startsPerSecond task starts per second in all regions together
 * @param regions number of regions
 * @param controllers number of controllers in each region
 * @param teams number of teams; every team has a part of its limit in each region
 * @param durationS duration of the load in seconds, after the long-running tasks have started
 * @param heapMb heap of a controller in MB, or 0 for the heap in the launch command
 * @param failure what fails after a third of the duration
 * @param seed seed of all random choices
 * @param connections maximum number of sockets of a controller
 * @param stateRps maximum requests per second to the state service of each region
 * @param stateWrites maximum changes per second in the state service of each region
 */
record ScalePlan(
    int workers,
    int tasks,
    double startsPerSecond,
    int regions,
    int controllers,
    int teams,
    int durationS,
    int heapMb,
    Failure failure,
    long seed,
    int connections,
    double stateRps,
    double stateWrites) {

  private static final int MAX_WORKERS = 20_000;
  private static final int MAX_TASKS = 500_000;
  private static final int MAX_STARTS_PER_SECOND = 2_000;
  private static final int MAX_REGIONS = 7;
  private static final int MAX_CONTROLLERS = 7;
  private static final int MAX_TEAMS = 1_000;
  private static final int MAX_DURATION_S = 1_800;
  private static final int MAX_PROCESSES = 300;
  private static final int ZONES = 7;
  private static final int MIN_CONNECTIONS = 16;
  private static final int MAX_CONNECTIONS = 60_000;
  private static final int MAX_HEAP_MB = 4_096;

  /** Estimated memory per worker. The estimates hold for runs of at least 1,000 workers. */
  private static final double MB_PER_WORKER = 0.15;

  private static final double MB_PER_TASK = 0.003;
  private static final double MB_PER_CONTROLLER = 110;
  private static final double BASE_MB = 300;
  private static final int DEFAULT_HEAP_MB = 80;

  private static final Settings.Workers WORKER_SETTINGS = new Settings.Workers(5, 26.5, 56.5);
  private static final Settings.CloudLimits CLOUD_LIMITS = new Settings.CloudLimits(12, 4);
  private static final double STATE_MAX_VALUE_KB = 16;
  private static final int STATE_MAX_TXN_OPS = 24;

  /**
   * Checks that all values are in range and that the run fits into half of the machine's memory.
   *
   * @param machineMemoryMb memory of this machine in MB
   * @throws InvalidInputException naming in one line the first option that is out of range
   */
  void check(long machineMemoryMb) throws InvalidInputException {
    requireInRange("--workers", workers, 1, MAX_WORKERS);
    requireInRange("--tasks", tasks, 1, MAX_TASKS);
    requireInRange("--starts", startsPerSecond, 0, MAX_STARTS_PER_SECOND);
    requireInRange("--regions", regions, 1, MAX_REGIONS);
    requireInRange("--controllers", controllers, 1, MAX_CONTROLLERS);
    requireInRange("--teams", teams, 1, MAX_TEAMS);
    requireInRange("--duration", durationS, 1, MAX_DURATION_S);
    requireInRange("--heap", heapMb, 0, MAX_HEAP_MB);
    requireInRange("--connections", connections, MIN_CONNECTIONS, MAX_CONNECTIONS);
    if (!(stateRps >= 1) || !(stateWrites >= 1)) {
      throw new InvalidInputException("--state-requests, --state-changes: must be at least 1");
    }
    if (workers < regions) {
      throw new InvalidInputException(
          "--workers: must be at least the number of regions, " + regions);
    }
    if (failure.workers() > workers) {
      throw new InvalidInputException("--fail: must not exceed --workers, " + workers);
    }
    if (controllers * regions + 1 > MAX_PROCESSES) {
      throw new InvalidInputException(
          "--controllers, --regions: the run needs more than " + MAX_PROCESSES + " processes");
    }
    if (estimatedMemoryMb() > machineMemoryMb / 2) {
      throw new InvalidInputException(
          "the run needs about "
              + estimatedMemoryMb()
              + " MB of memory, more than half of the machine's "
              + machineMemoryMb
              + " MB");
    }
  }

  private static void requireInRange(String option, double value, double min, double max)
      throws InvalidInputException {
    if (!(value >= min && value <= max)) {
      throw new InvalidInputException(option + ": must be from " + min + " to " + max);
    }
  }

  /** Returns the estimated memory of all processes of the run, in MB. */
  long estimatedMemoryMb() {
    double heap = heapMb > 0 ? heapMb : DEFAULT_HEAP_MB;
    return Math.round(
        BASE_MB
            + workers * MB_PER_WORKER
            + tasks * MB_PER_TASK
            + controllers * regions * (MB_PER_CONTROLLER + heap));
  }

  /**
   * Returns the plan of each region. Workers, tasks and starts are divided evenly; zones are
   * assigned to the regions in turn.
   */
  List<LoopbackPlan> regionPlans() {
    List<LoopbackPlan> plans = new ArrayList<>();
    for (int region = 0; region < regions; region++) {
      List<String> zones = new ArrayList<>();
      for (int zone = region; zone < Math.max(ZONES, regions); zone += regions) {
        zones.add("r" + region + "-z" + zones.size());
      }
      List<String> controllerNames = new ArrayList<>();
      for (int controller = 0; controller < controllers; controller++) {
        controllerNames.add("r" + region + "-n" + controller);
      }
      plans.add(
          new LoopbackPlan(
              region,
              zones,
              controllerNames,
              regionShare(workers, region),
              Math.max(1, regionShare(tasks, region)),
              startsPerSecond / regions,
              teams,
              seed + region,
              WORKER_SETTINGS,
              new Settings.StateLimits(
                  stateRps, stateWrites, STATE_MAX_VALUE_KB, STATE_MAX_TXN_OPS),
              CLOUD_LIMITS,
              connections,
              0,
              0));
    }
    return plans;
  }

  private int regionShare(int total, int region) {
    return total / regions + (region < total % regions ? 1 : 0);
  }
}
