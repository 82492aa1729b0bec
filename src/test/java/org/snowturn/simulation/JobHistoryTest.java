package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against a history checker that misses an inconsistent history of answers, or rejects one
 * that some order of steps explains.
 */
class JobHistoryTest {
  private static final String[] PHASES = {null, "queued", "done"};

  private record Answer(long askedAtMs, long atMs, int phase) {}

  /**
   * Returns whether some order of the answers has phases that never go back, with each answer
   * before those whose request began after it.
   */
  @SuppressWarnings("ReferenceEquality") // equal answers are distinct elements
  private static boolean isConsistent(List<Answer> remaining, int reachedPhase) {
    if (remaining.isEmpty()) {
      return true;
    }
    for (Answer next : remaining) {
      boolean canBeNext =
          remaining.stream().noneMatch(other -> other != next && other.atMs <= next.askedAtMs);
      if (canBeNext && next.phase >= reachedPhase) {
        List<Answer> rest = new ArrayList<>(remaining);
        rest.remove(next);
        if (isConsistent(rest, next.phase)) {
          return true;
        }
      }
    }
    return false;
  }

  @Test
  void agreesWithSearchOfAllOrders() {
    SplittableRandom random = new SplittableRandom(1);
    int inconsistent = 0;
    for (int i = 0; i < 20_000; i++) {
      List<Answer> all = new ArrayList<>();
      for (int n = random.nextInt(1, 6); n > 0; n--) {
        long askedMs = 10L * all.size() + random.nextInt(30);
        all.add(new Answer(askedMs, askedMs + 1 + random.nextInt(40), random.nextInt(3)));
      }
      all.sort(Comparator.comparingLong(Answer::atMs));
      JobHistory history = new JobHistory();
      boolean isViolated = false;
      for (Answer answer : all) {
        isViolated |=
            history.recordAnswer(answer.askedAtMs, answer.atMs, PHASES[answer.phase]) != null;
      }
      assertEquals(!isConsistent(all, 0), isViolated, all.toString());
      inconsistent += isViolated ? 1 : 0;
    }
    assertTrue(
        inconsistent > 1_000 && inconsistent < 19_000,
        "too few consistent or inconsistent histories; inconsistent: " + inconsistent);
  }

  @Test
  void doneJobIsNeverReportedAborted() {
    JobHistory history = new JobHistory();
    assertNull(history.recordAnswer(0, 10, "done"));
    assertEquals("went_back", history.recordAnswer(0, 11, "aborted"));
  }

  /** Covers a stale cache, a live record read before the final one, and a delayed answer. */
  @Test
  void staleAnswersAreReported() {
    JobHistory history = new JobHistory();
    assertNull(history.recordAnswer(0, 10, "queued"));
    assertNull(history.recordAnswer(20, 30, "aborted"));
    assertNull(
        history.recordAnswer(29, 40, "running"),
        "the request began before the other answer arrived");
    assertEquals("went_back", history.recordAnswer(30, 41, "running"));
    assertEquals("forgotten", history.recordAnswer(10, 42, null));
  }
}
