package org.snowturn.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Whose turn it is among waiting arrays: as many as possible are to be in time. They go by deadline
 * as long as all can make it; where they cannot, those with the most work stand back.
 *
 * <p>This is the rule of Moore and Hodgson for the fewest late jobs on one machine, with the fleet
 * taken as that machine.
 */
final class Turns {
  /** Estimates are often too low: what would just be in time by them counts as late. */
  private static final double CAUTION = 1.25;

  private final double wall;
  private final double cpus;
  private final double aheadS;

  /**
   * Looks at one moment.
   *
   * @param cpus what arrays can use in all
   * @param boundWork CPU seconds that are left of the arrays' placed tasks
   */
  Turns(double wall, double cpus, double boundWork) {
    this.wall = wall;
    this.cpus = Math.max(1, cpus);
    this.aheadS = boundWork / this.cpus;
  }

  /** Seconds of a task's run, as the array's finished tasks or else its owner have it. */
  static double taskS(Job j) {
    return Math.max(1, j.runTimes.isEmpty() ? j.spec.estimateS() : j.median());
  }

  /** CPU seconds of the tasks that wait. */
  static double workLeft(Job j) {
    return j.pending * j.spec.cpus() * taskS(j);
  }

  /** Sets each job's turn: first those that should be in time, by deadline. */
  void give(List<Job> arrays) {
    List<Job> byDeadline = new ArrayList<>();
    for (Job j : arrays) {
      double end = wall + taskS(j) * 1000;
      j.turn = end <= j.dueWall(1) ? 0 : end <= j.dueWall(1.5) ? 2 : 3;
      if (Double.isNaN(j.spec.deadlineS())) {
        j.turn = 1; // never late, so nobody should be late for it
      } else if (j.turn == 0) {
        byDeadline.add(j);
      }
    }
    byDeadline.sort(Comparator.comparingDouble(j -> j.dueWall(1)));
    PriorityQueue<Job> most =
        new PriorityQueue<>(Comparator.<Job>comparingDouble(j -> -workLeft(j)));
    double work = 0;
    for (Job j : byDeadline) {
      most.add(j);
      work += workLeft(j);
      while (!most.isEmpty() && lateWith(work, j)) {
        Job out = most.poll();
        work -= workLeft(out);
        out.turn = 1;
      }
    }
  }

  /** Whether the job would be late if this work, its own included, is done until then. */
  private boolean lateWith(double work, Job j) {
    double s = aheadS + work / cpus + taskS(j) / 2;
    return wall + 1000 * CAUTION * s > j.dueWall(1);
  }

  /** Within a turn: by deadline, or the least work first among those that stand back. */
  static double within(Job j) {
    return j.turn == 0 ? j.dueWall(1) : workLeft(j);
  }
}
