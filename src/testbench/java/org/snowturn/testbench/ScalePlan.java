package org.snowturn.testbench;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.simulation.LoopbackPlan;

/**
 * What a scale run is asked to play.
 *
 * @param workers hollow workers in all regions together
 * @param tasks tasks that run at a time, in all
 * @param startsPerSecond starts of tasks, in all
 * @param regions how many
 * @param controllers of each region
 * @param teams in all; every team has a part of its limit in each region
 * @param durationS how long the load lasts once the standing tasks run
 * @param heapMb heap of a controller, 0 for what the run line says
 * @param failure what goes wrong after a third of the time
 * @param seed of all that is drawn
 * @param connections sockets that a controller may use
 * @param stateRps requests of each region's state service
 * @param stateWrites changes of each region's state service
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

  private static final int MOST_WORKERS = 20_000;
  private static final int MOST_TASKS = 500_000;
  private static final int MOST_STARTS = 2_000;
  private static final int MOST_REGIONS = 7;
  private static final int MOST_CONTROLLERS = 7;
  private static final int MOST_TEAMS = 1_000;
  private static final int LONGEST_S = 1_800;
  private static final int MOST_PROCESSES = 300;
  private static final int ZONES = 7;
  private static final int MOST_HEAP_MB = 4_096;

  /** What the memory of a plan is judged by: measured on runs of a thousand workers and more. */
  private static final double MB_PER_WORKER = 0.15;

  private static final double MB_PER_TASK = 0.003;
  private static final double MB_PER_CONTROLLER = 110;
  private static final double BASE_MB = 300;
  private static final int DEFAULT_HEAP_MB = 80;

  private static final Settings.Workers FIGURES = new Settings.Workers(5, 26.5, 56.5);
  private static final Settings.CloudLimits CLOUD = new Settings.CloudLimits(12, 4);
  private static final double STATE_VALUE_KB = 16;
  private static final int STATE_TXN_OPS = 24;

  /** Checks all figures; says in one line which is wrong. */
  void check(long machineMemoryMb) throws InvalidPlanException {
    between("--workers", workers, 1, MOST_WORKERS);
    between("--tasks", tasks, 1, MOST_TASKS);
    between("--starts", startsPerSecond, 0, MOST_STARTS);
    between("--regions", regions, 1, MOST_REGIONS);
    between("--controllers", controllers, 1, MOST_CONTROLLERS);
    between("--teams", teams, 1, MOST_TEAMS);
    between("--duration", durationS, 1, LONGEST_S);
    between("--heap", heapMb, 0, MOST_HEAP_MB);
    between("--connections", connections, 16, 60_000);
    if (!(stateRps >= 1) || !(stateWrites >= 1)) {
      throw new InvalidPlanException("the state service's rates must be at least 1");
    }
    if (workers < regions) {
      throw new InvalidPlanException("--workers: fewer than regions");
    }
    if (failure.workers() > workers) {
      throw new InvalidPlanException("--fail: more workers than there are");
    }
    if (controllers * regions + 1 > MOST_PROCESSES) {
      throw new InvalidPlanException("more than " + MOST_PROCESSES + " processes");
    }
    if (estimatedMemoryMb() > machineMemoryMb / 2) {
      throw new InvalidPlanException(
          "needs about "
              + estimatedMemoryMb()
              + " MB, more than half of the machine's "
              + machineMemoryMb);
    }
  }

  private static void between(String name, double value, double least, double most)
      throws InvalidPlanException {
    if (!(value >= least && value <= most)) {
      throw new InvalidPlanException(name + ": must be from " + least + " to " + most);
    }
  }

  /** About what all processes of the run will hold. */
  long estimatedMemoryMb() {
    double heap = heapMb > 0 ? heapMb : DEFAULT_HEAP_MB;
    return Math.round(
        BASE_MB
            + workers * MB_PER_WORKER
            + tasks * MB_PER_TASK
            + controllers * regions * (MB_PER_CONTROLLER + heap));
  }

  /** The regions, as even as they come; seven zones are dealt out among them. */
  List<LoopbackPlan> regionPlans() {
    List<LoopbackPlan> out = new ArrayList<>();
    for (int r = 0; r < regions; r++) {
      List<String> zones = new ArrayList<>();
      for (int z = r; z < Math.max(ZONES, regions); z += regions) {
        zones.add("r" + r + "-z" + zones.size());
      }
      List<String> names = new ArrayList<>();
      for (int c = 0; c < controllers; c++) {
        names.add("r" + r + "-n" + c);
      }
      out.add(
          new LoopbackPlan(
              r,
              zones,
              names,
              part(workers, r),
              Math.max(1, part(tasks, r)),
              startsPerSecond / regions,
              teams,
              seed + r,
              FIGURES,
              new Settings.StateLimits(stateRps, stateWrites, STATE_VALUE_KB, STATE_TXN_OPS),
              CLOUD,
              connections,
              0,
              0));
    }
    return out;
  }

  private int part(int all, int region) {
    return all / regions + (region < all % regions ? 1 : 0);
  }
}
