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
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Whatever the stream of small jobs, each large one begins in bounded time, at no more than the
 * stated cost; the order that it is held against is least work first, always with more to do.
 */
class AgingTest {
  private static final double PATIENCE_S = 90;
  private static final long STEP_MS = 250;

  private static Job large(int n, int tasks, double at) throws Exception {
    ObjectNode object = Submissions.array(String.format("wk-%06d", n), tasks).put("guess_s", 30.0);
    return new Job(n, JobSpec.parse(object), (long) at, 1);
  }

  @Property(seed = "33", tries = 60)
  void eachLargeJobBeginsInBoundedTimeAndAllTogetherTakeNoMoreThanTheirShare(
      @ForAll @IntRange(min = 1, max = 20) int jobs,
      @ForAll @IntRange(min = 1, max = 60) int tasks,
      @ForAll @IntRange(min = 4, max = 80) int roomEachStep,
      @ForAll long seed)
      throws Exception {
    Random random = new Random(seed);
    Aging elders = new Aging(PATIENCE_S);
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      waiting.add(large(i, tasks, random.nextInt(20_000)));
    }
    double[] begun = new double[jobs];
    long given = 0;
    long toElders = 0;
    for (long now = 20_000; now < 600_000; now += STEP_MS) {
      int room = random.nextInt(2 * roomEachStep);
      for (Job job : elders.begin(waiting, (double) now)) {
        if (!elders.mayGo(now)) {
          break;
        }
        for (int i = 0; i < Aging.slice(job) && room > 0 && job.pending() > 0; i++, room--) {
          begun[job.index] = begun[job.index] == 0 ? now : begun[job.index];
          job.addPending(-1);
          job.setPlacedWall(now);
          elders.given(1, true, now);
          given++;
          toElders++;
        }
      }
      waiting.removeIf(job -> job.pending() == 0);
      // Small ones take all that is left, as they always would.
      for (; room > 0; room--, given++) {
        elders.given(1, false, now);
      }
    }
    // All of them want a slice at once; what they get together is their share of the room.
    double slices = jobs * Math.max(1, tasks / 8.0);
    double perSecond = roomEachStep * 1000.0 / STEP_MS * Aging.SHARE;
    double bound = 20_000 + PATIENCE_S * 1000 + 5_000 + 1.5 * 1000 * slices / perSecond;
    for (double at : begun) {
      assertTrue(at > 0 && at <= bound, "begun at " + at + ", bound " + bound);
    }
    double most = Aging.SHARE * given * 1.2 + slices;
    assertTrue(toElders <= most, toElders + " of " + given);
  }
}
