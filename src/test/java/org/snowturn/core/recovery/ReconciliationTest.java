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
  void verdictsWithinOneAgentEpoch(Stored stored, String withPresentToken, String withOtherToken) {
    for (Reported reported : Reported.values()) {
      Verdict expectedWithPresentToken = parseVerdicts(withPresentToken).get(reported);
      Verdict expectedWithOtherToken = parseVerdicts(withOtherToken).get(reported);
      assertEquals(
          expectedWithPresentToken,
          decide(stored, reported, EpochOrder.SAME, true, false, true),
          stored + " " + reported);
      assertEquals(
          expectedWithOtherToken,
          decide(stored, reported, EpochOrder.SAME, false, false, true),
          stored + " " + reported);
    }
  }

  @Test
  void agentEpochMattersOnlyForAttemptsPlacedOnTheMachine() {
    for (Stored stored : Stored.values()) {
      for (Reported reported : Reported.values()) {
        for (boolean hasPresentToken : new boolean[] {true, false}) {
          Verdict same = decide(stored, reported, EpochOrder.SAME, hasPresentToken, false, true);
          Verdict later = decide(stored, reported, EpochOrder.LATER, hasPresentToken, false, true);
          Verdict earlier =
              decide(stored, reported, EpochOrder.EARLIER, hasPresentToken, false, true);
          assertEquals(stored.isPlacedHere() ? Verdict.RELEASE : same, later);
          assertEquals(stored.isPlacedHere() ? Verdict.WAIT : same, earlier);
        }
      }
    }
  }

  @Test
  void stoppingAttemptIsStoppedWhileAlive() {
    for (Stored stored : new Stored[] {Stored.STARTED, Stored.INHERITED}) {
      assertEquals(
          Verdict.STOP, decide(stored, Reported.ALIVE, EpochOrder.SAME, false, true, false));
      // An end is an end, whoever asked for it.
      assertEquals(
          Verdict.RELEASE, decide(stored, Reported.ENDED, EpochOrder.SAME, true, true, false));
      assertEquals(
          Verdict.COMPLETE, decide(stored, Reported.DONE, EpochOrder.SAME, true, true, false));
    }
  }

  /** Its user may have been told that the job is cancelled: from then on no start may be sent. */
  @Test
  void stoppingAttemptIsReleasedOnceNoStartCanArrive() {
    assertEquals(
        Verdict.RELEASE,
        decide(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, true, true, true));
    assertEquals(
        Verdict.START, decide(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, false, true, true));
    assertEquals(
        Verdict.START, decide(Stored.STARTED, Reported.ABSENT, EpochOrder.SAME, true, true, false));
  }

  @Test
  void unsettledAttemptIsNeverForgotten() {
    for (Stored stored : Stored.values()) {
      for (Reported reported : Reported.values()) {
        for (EpochOrder epochOrder : EpochOrder.values()) {
          assertNotEquals(Verdict.FORGET, decide(stored, reported, epochOrder, true, false, false));
        }
      }
    }
  }

  private static Verdict decide(
      Stored stored,
      Reported reported,
      EpochOrder epochOrder,
      boolean hasPresentToken,
      boolean stopping,
      boolean settled) {
    return Reconciliation.decide(
        new Case(stored, reported, epochOrder, hasPresentToken, stopping, settled));
  }

  @Test
  void noOrderOfEventsRunsATaskTwice() {
    ReconciliationExplorer explorer = new ReconciliationExplorer(Reconciliation::decide);
    assertNull(explorer.findViolation());
    assertTrue(explorer.visitedStates() > 20_000, "too few states to mean anything");
    assertTrue(explorer.finishedStates() > 0, "the task is never done");
  }

  /** Without the guard the explorer must find an order in which the task runs twice. */
  @ParameterizedTest
  @CsvSource({"token", "own-start", "in-flight", "stop-in-flight"})
  void removingAnyGuardLetsATaskRunTwice(String guard) {
    ReconciliationExplorer explorer =
        new ReconciliationExplorer(
            attempt ->
                switch (guard) {
                  case "token" ->
                      Reconciliation.decide(
                          new Case(
                              attempt.stored(),
                              attempt.reported(),
                              attempt.epochOrder(),
                              true,
                              attempt.stopping(),
                              true));
                  case "own-start" ->
                      // Our own start may be executed late: that it is not listed proves nothing.
                      Reconciliation.decide(attempt) == Verdict.START && attempt.presentToken()
                          ? Verdict.RELEASE
                          : Reconciliation.decide(attempt);
                  case "stop-in-flight" ->
                      attempt.stopping() && attempt.reported() == Reported.ABSENT
                          ? Verdict.RELEASE
                          : Reconciliation.decide(attempt);
                  default ->
                      Reconciliation.decide(
                          new Case(
                              attempt.stored(),
                              attempt.reported(),
                              attempt.epochOrder(),
                              attempt.presentToken(),
                              attempt.stopping(),
                              true));
                });
    assertTrue(explorer.findViolation() != null, "no order breaks the rule without: " + guard);
  }

  /** The verdicts of a row, in the order in which {@link Reported} stands. */
  private static Map<Reported, Verdict> parseVerdicts(String row) {
    Map<Reported, Verdict> verdicts = new EnumMap<>(Reported.class);
    String[] words = row.trim().split("\\s+", -1);
    int column = 0;
    for (Reported reported : Reported.values()) {
      verdicts.put(reported, Verdict.valueOf(words[column++]));
    }
    return verdicts;
  }
}
