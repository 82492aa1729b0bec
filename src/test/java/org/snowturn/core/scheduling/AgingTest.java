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
 * Whatever the stream of small jobs, each large one begins in bounded time, at no more than the
 * stated cost; the order that it is held against is least work first, always with more to do.
 */
class AgingTest {
  private static final Machine MACHINE = new Machine(0, "i-000001");

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
      @ForAll @IntRange(min = 4, max = 80) int roomEachStep,
      @ForAll long seed)
      throws Exception {
    Random random = new Random(seed);
    Aging aging = new Aging(MAX_WAIT_S);
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      waiting.add(largeJob(i, tasks, random.nextInt(20_000)));
    }
    double[] begunAt = new double[jobs];
    long given = 0;
    long toLongWaiting = 0;
    for (long now = 20_000; now < 600_000; now += STEP_MS) {
      int room = random.nextInt(2 * roomEachStep);
      for (Job job : aging.beginRound(waiting, (double) now)) {
        if (!aging.isBelowShare(now)) {
          break;
        }
        for (int i = 0; i < Aging.batchSize(job) && room > 0 && job.pending() > 0; i++, room--) {
          begunAt[job.index] = begunAt[job.index] == 0 ? now : begunAt[job.index];
          job.assign(job.nextPending(), MACHINE, 1, 1, TaskState.PLACING);
          job.setPlacedWallMs(now);
          aging.recordPlacement(1, true, now);
          given++;
          toLongWaiting++;
        }
      }
      waiting.removeIf(job -> job.pending() == 0);
      // Small ones take all that is left, as they always would.
      for (; room > 0; room--, given++) {
        aging.recordPlacement(1, false, now);
      }
    }
    // All of them want a batch at once; what they get together is their share of the room.
    double batches = jobs * Math.max(1, tasks / 8.0);
    double perSecond = roomEachStep * 1000.0 / STEP_MS * Aging.MAX_SHARE;
    double bound = 20_000 + MAX_WAIT_S * 1000 + 5_000 + 1.5 * 1000 * batches / perSecond;
    for (double at : begunAt) {
      assertTrue(at > 0 && at <= bound, "begun at " + at + ", bound " + bound);
    }
    double most = Aging.MAX_SHARE * given * 1.2 + batches;
    assertTrue(toLongWaiting <= most, toLongWaiting + " of " + given);
  }
}
