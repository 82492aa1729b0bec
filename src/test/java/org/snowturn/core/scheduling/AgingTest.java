package org.snowturn.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.TaskState;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Guards against starvation of large jobs under an endless stream of small ones, which the
 * scheduling order places first, and against long-waiting jobs getting more than their share.
 */
class AgingTest {
  private static final Machine MACHINE = new Machine(0, "i-000001", 7);

  private static final double MAX_WAIT_S = 90;
  private static final long STEP_MS = 250;

  private static Job largeJob(int index, int tasks, double atMs) throws Exception {
    ObjectNode object =
        Submissions.array(String.format("wk-%06d", index), tasks).put("guess_s", 30.0);
    return new Job(index, JobSpec.parse(object), (long) atMs, 1);
  }

  @Property(seed = "33", tries = 60)
  void eachLargeJobBeginsInBoundedTimeAndAllTogetherTakeNoMoreThanTheirShare(
      @ForAll @IntRange(min = 1, max = 20) int jobs,
      @ForAll @IntRange(min = 1, max = 60) int tasks,
      @ForAll @IntRange(min = 4, max = 80) int meanRoomPerStep,
      @ForAll long seed)
      throws Exception {
    Random random = new Random(seed);
    Aging aging = new Aging(MAX_WAIT_S);
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      waiting.add(largeJob(i, tasks, random.nextInt(20_000)));
    }
    double[] startedAt = new double[jobs];
    long placements = 0;
    long longWaitPlacements = 0;
    for (long now = 20_000; now < 600_000; now += STEP_MS) {
      int room = random.nextInt(2 * meanRoomPerStep);
      for (Job job : aging.beginRound(waiting, (double) now)) {
        if (!aging.isBelowShare(now)) {
          break;
        }
        for (int i = 0; i < Aging.batchSize(job) && room > 0 && job.pending() > 0; i++, room--) {
          startedAt[job.index] = startedAt[job.index] == 0 ? now : startedAt[job.index];
          job.assign(job.nextPending(), MACHINE, 1, 1, TaskState.PLACING);
          job.scheduling.setPlacedWallMs(now);
          aging.recordPlacement(1, true, now);
          placements++;
          longWaitPlacements++;
        }
      }
      waiting.removeIf(job -> job.pending() == 0);
      // Small jobs take all remaining room in every step.
      for (; room > 0; room--, placements++) {
        aging.recordPlacement(1, false, now);
      }
    }
    // All large jobs may be due for a batch at once, and together get their share of the room.
    double batches = jobs * Math.max(1, tasks / 8.0);
    double perSecond = meanRoomPerStep * 1000.0 / STEP_MS * Aging.MAX_SHARE;
    double bound = 20_000 + MAX_WAIT_S * 1000 + 5_000 + 1.5 * 1000 * batches / perSecond;
    for (double at : startedAt) {
      assertTrue(at > 0 && at <= bound, "started at " + at + ", bound " + bound);
    }
    double maxLongWaitPlacements = Aging.MAX_SHARE * placements * 1.2 + batches;
    assertTrue(
        longWaitPlacements <= maxLongWaitPlacements, longWaitPlacements + " of " + placements);
  }
}
