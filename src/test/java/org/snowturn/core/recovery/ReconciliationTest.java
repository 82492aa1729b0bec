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

/**
 * Checks each cell of the decision table, and that no order of events runs a task twice with it.
 */
class ReconciliationTest {
  /**
   * Verdicts for a report of the agent epoch of the placement, in the order absent, alive, done,
   * ended; first for reports with the present token, then for others.
   */
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
      // The verdict on an end does not depend on whether a stop was requested.
      assertEquals(
          Verdict.RELEASE, decide(stored, Reported.ENDED, EpochOrder.SAME, true, true, false));
      assertEquals(
          Verdict.COMPLETE, decide(stored, Reported.DONE, EpochOrder.SAME, true, true, false));
    }
  }

  /**
   * Once the user has been told that the job is cancelled, no start may be sent. A start that was
   * repeated for an attempt that is to stop would break that.
   */
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
    assertTrue(
        explorer.visitedStates() > 20_000,
        "only " + explorer.visitedStates() + " states explored, expected more than 20000");
    assertTrue(explorer.finishedStates() > 0, "no explored state has the task finished");
  }

  /** The explorer finds an order of events that runs the task twice if a guard is missing. */
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
                      // A start of this term may be executed late: absence proves nothing.
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
    assertTrue(
        explorer.findViolation() != null,
        "no order of events runs the task twice without the guard " + guard);
  }

  /** Returns the verdicts of a row by reported state, in the order of {@link Reported}. */
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
