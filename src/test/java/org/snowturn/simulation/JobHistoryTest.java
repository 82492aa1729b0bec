package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The checker of what users are told finds every history that no order of steps explains. */
class JobHistoryTest {
  private static final String[] PHASES = {null, "queued", "done"};

  private record Answer(long askedAt, long at, int phase) {}

  /** Some order of the answers, in which each that ended before another began comes first. */
  @SuppressWarnings("ReferenceEquality") // two equal answers are two
  private static boolean explained(List<Answer> left, int reached) {
    if (left.isEmpty()) {
      return true;
    }
    for (Answer next : left) {
      boolean first = left.stream().noneMatch(a -> a != next && a.at <= next.askedAt);
      if (first && next.phase >= reached) {
        List<Answer> rest = new ArrayList<>(left);
        rest.remove(next);
        if (explained(rest, next.phase)) {
          return true;
        }
      }
    }
    return false;
  }

  @Test
  void itAgreesWithTryingAllOrders() {
    SplittableRandom random = new SplittableRandom(1);
    int bad = 0;
    for (int i = 0; i < 20_000; i++) {
      List<Answer> all = new ArrayList<>();
      for (int n = random.nextInt(1, 6); n > 0; n--) {
        long asked = 10L * all.size() + random.nextInt(30);
        all.add(new Answer(asked, asked + 1 + random.nextInt(40), random.nextInt(3)));
      }
      all.sort(Comparator.comparingLong(Answer::at));
      JobHistory h = new JobHistory();
      boolean broken = false;
      for (Answer a : all) {
        broken |= h.recordAnswer(a.askedAt, a.at, PHASES[a.phase]) != null;
      }
      assertEquals(!explained(all, 0), broken, all.toString());
      bad += broken ? 1 : 0;
    }
    assertTrue(bad > 1_000 && bad < 19_000, "too one-sided to mean anything: " + bad);
  }

  @Test
  void aJobIsNeverCalledBothDoneAndCancelled() {
    JobHistory h = new JobHistory();
    assertNull(h.recordAnswer(0, 10, "done"));
    assertEquals("went_back", h.recordAnswer(0, 11, "aborted"));
  }

  /** A cache that is stale, a live record read before the short one, an answer kept too long. */
  @Test
  void staleAnswersAreSeen() {
    JobHistory h = new JobHistory();
    assertNull(h.recordAnswer(0, 10, "queued"));
    assertNull(h.recordAnswer(20, 30, "aborted"));
    assertNull(h.recordAnswer(29, 40, "running"), "asked before the other answer came");
    assertEquals("went_back", h.recordAnswer(30, 41, "running"));
    assertEquals("forgotten", h.recordAnswer(10, 42, null));
  }
}
