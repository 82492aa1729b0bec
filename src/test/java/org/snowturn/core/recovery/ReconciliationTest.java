package org.snowturn.core.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snowturn.core.recovery.Reconciliation.Case;
import org.snowturn.core.recovery.Reconciliation.EpochOrder;
import org.snowturn.core.recovery.Reconciliation.Reported;
import org.snowturn.core.recovery.Reconciliation.Stored;
import org.snowturn.core.recovery.Reconciliation.Verdict;

/** The table cell by cell, and what it leads to over all orders of events. */
class ReconciliationTest {
  /** Verdicts for a report of the same session: absent, alive, done, ended; ours, then not. */
  @ParameterizedTest
  @CsvSource({
    "PLACING,   WAIT    WAIT WAIT     WAIT,    WAIT  WAIT WAIT WAIT",
    "STARTED,   START   KEEP COMPLETE RELEASE, START KEEP WAIT WAIT",
    "INHERITED, RELEASE KEEP COMPLETE RELEASE, WAIT  KEEP WAIT WAIT",
    "WAITING,   WAIT    STOP COMPLETE FORGET,  WAIT  STOP WAIT WAIT",
    "ELSEWHERE, WAIT    STOP FORGET   FORGET,  WAIT  STOP WAIT WAIT",
    "FINISHED,  WAIT    STOP FORGET   FORGET,  WAIT  STOP WAIT WAIT",
    "NOTHING,   WAIT    STOP FORGET   FORGET,  WAIT  STOP WAIT WAIT",
  })
  void sameSession(Stored stored, String ours, String others) {
    for (Reported seen : Reported.values()) {
      Verdict mine = verdicts(ours).get(seen);
      Verdict other = verdicts(others).get(seen);
      assertEquals(mine, of(stored, seen, EpochOrder.SAME, true, false, true), stored + " " + seen);
      assertEquals(
          other, of(stored, seen, EpochOrder.SAME, false, false, true), stored + " " + seen);
    }
  }

  @Test
  void sessionsDecideOnlyAboutWhatWasPlacedThere() {
    for (Stored stored : Stored.values()) {
      for (Reported seen : Reported.values()) {
        for (boolean ours : new boolean[] {true, false}) {
          Verdict same = of(stored, seen, EpochOrder.SAME, ours, false, true);
          Verdict later = of(stored, seen, EpochOrder.LATER, ours, false, true);
          Verdict earlier = of(stored, seen, EpochOrder.EARLIER, ours, false, true);
          assertEquals(stored.isPlacedHere() ? Verdict.RELEASE : same, later);
          assertEquals(stored.isPlacedHere() ? Verdict.WAIT : same, earlier);
        }
      }
    }
  }

  @Test
  void whatIsToStopIsStoppedWhileItLives() {
    for (Stored stored : new Stored[] {Stored.STARTED, Stored.INHERITED}) {
      assertEquals(Verdict.STOP, of(stored, Reported.ALIVE, EpochOrder.SAME, false, true, false));
      // An end is an end, whoever asked for it.
      assertEquals(Verdict.RELEASE, of(stored, Reported.ENDED, EpochOrder.SAME, true, true, false));
      assertEquals(Verdict.COMPLETE, of(stored, Reported.DONE, EpochOrder.SAME, true, true, false));
    }
  }

  /** Its user may have been told that the job is cancelled: from then on no start may be sent. */
  @Test
  void whatIsToStopIsNotStartedToBeStoppedOnceNoStartOfItCanArrive() {
    assertEquals(
        Verdict.RELEASE, of(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, true, true, true));
    assertEquals(
        Verdict.START, of(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, false, true, true));
    assertEquals(
        Verdict.START, of(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, true, true, false));
  }

  @Test
  void nothingIsForgottenThatIsNotSettled() {
    for (Stored stored : Stored.values()) {
      for (Reported seen : Reported.values()) {
        for (EpochOrder session : EpochOrder.values()) {
          assertNotEquals(Verdict.FORGET, of(stored, seen, session, true, false, false));
        }
      }
    }
  }

  private static Verdict of(
      Stored stored,
      Reported seen,
      EpochOrder session,
      boolean ours,
      boolean stopping,
      boolean settled) {
    return Reconciliation.decide(new Case(stored, seen, session, ours, stopping, settled));
  }

  @Test
  void noOrderOfReportsLossesAndLateStartsRunsATaskTwice() {
    ReconciliationExplorer explorer = new ReconciliationExplorer(Reconciliation::decide);
    assertNull(explorer.explore());
    assertTrue(explorer.states() > 20_000, "too few states to mean anything");
    assertTrue(explorer.finished() > 0, "the task is never done");
  }

  /** Without the guard the explorer must find an order in which the task runs twice. */
  @ParameterizedTest
  @CsvSource({"token", "own-start", "in-flight", "stop-in-flight"})
  void eachGuardMatters(String guard) {
    ReconciliationExplorer explorer =
        new ReconciliationExplorer(
            c ->
                switch (guard) {
                  case "token" ->
                      Reconciliation.decide(
                          new Case(
                              c.stored(), c.reported(), c.epochOrder(), true, c.stopping(), true));
                  case "own-start" ->
                      // Our own start may be executed late: that it is not listed proves nothing.
                      Reconciliation.decide(c) == Verdict.START && c.presentToken()
                          ? Verdict.RELEASE
                          : Reconciliation.decide(c);
                  case "stop-in-flight" ->
                      c.stopping() && c.reported() == Reported.ABSENT
                          ? Verdict.RELEASE
                          : Reconciliation.decide(c);
                  default ->
                      Reconciliation.decide(
                          new Case(
                              c.stored(),
                              c.reported(),
                              c.epochOrder(),
                              c.presentToken(),
                              c.stopping(),
                              true));
                });
    assertTrue(explorer.explore() != null, "no order breaks the rule without: " + guard);
  }

  /** The verdicts of a row, in the order in which {@link Reported} stands. */
  private static Map<Reported, Verdict> verdicts(String row) {
    Map<Reported, Verdict> verdicts = new EnumMap<>(Reported.class);
    String[] words = row.trim().split("\\s+", -1);
    int column = 0;
    for (Reported seen : Reported.values()) {
      verdicts.put(seen, Verdict.valueOf(words[column++]));
    }
    return verdicts;
  }
}
