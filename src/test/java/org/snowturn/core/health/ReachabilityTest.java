package org.snowturn.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What shows that a machine receives, and what does not. */
class ReachabilityTest {
  private static final long IN_TIME = 4_900;

  private long seq;

  private void checkIn(Reachability c, long at, boolean token) {
    c.believed(token);
    c.checkedIn(++seq, at, IN_TIME);
    c.answeredCheckIn(at);
  }

  @Test
  void aLearntTokenProves() {
    Reachability c = new Reachability();
    checkIn(c, 0, false);
    assertFalse(c.proven());
    checkIn(c, 500, true);
    assertTrue(c.proven());
  }

  @Test
  void anUnansweredMessageIsDoubtUntilAnAnswerOrTwoReportsInTime() {
    Reachability c = new Reachability();
    c.answered();
    c.unanswered(1_000);
    assertFalse(c.proven());
    c.answered();
    assertTrue(c.proven());
    c.unanswered(5_000);
    checkIn(c, 6_000, true);
    assertFalse(c.proven());
    checkIn(c, 8_000, true);
    assertTrue(c.proven());
  }

  /** The next report of a worker without an answer comes after a time-out and a try elsewhere. */
  @Property(tries = 300, seed = "31")
  void aMachineThatReceivesNothingIsNeverProven(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 5) Integer> steps) {
    Reachability c = new Reachability();
    c.answered();
    c.unanswered(0);
    long now = 0;
    long last = 0;
    for (int step : steps) {
      switch (step) {
        case 0, 1 -> {
          now += 5_000 + step * 1_000;
          last = now;
          checkIn(c, last, true);
        }
        case 2 -> checkIn(c, last, true); // held back with the one before
        case 3 -> c.unanswered(now += 1_000);
        case 4 -> c.newSession(now);
        default -> assertTrue(c.toAsk(now += 4_000));
      }
      assertFalse(c.proven());
    }
    for (int i = 0; i < Reachability.DEAF_AFTER; i++) {
      c.unanswered(now);
    }
    assertTrue(c.deaf(now + 20_000, 20_000));
  }

  @Test
  void aCopyIsLateAndANewSessionCountsAnew() {
    Reachability c = new Reachability();
    c.checkedIn(7, 0, IN_TIME);
    assertTrue(c.late(7));
    assertTrue(c.late(3));
    assertFalse(c.late(8));
    c.newSession(0);
    assertFalse(c.late(1));
  }

  @Test
  void whoDoesNotAnswerIsAskedEverLater() {
    Reachability c = new Reachability();
    int asked = 0;
    for (long now = 0; now < 20_000; now += 250) {
      if (c.toAsk(now)) {
        asked++;
        c.unanswered(now);
      }
    }
    assertEquals(8, asked, 1);
  }
}
