package org.snowturn.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.TestSettings;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.ListedTaskSize;

/**
 * Guards against heartbeats that are answered twice, never, or after their workers have given up.
 * The heartbeat interval is 2 s, so answers are deferred by 1 s, or 3.3 s for a placement.
 */
class DeferredAnswersTest {
  private final DeferredAnswers answers = new DeferredAnswers(TestSettings.with());
  private final Machine machine = new Machine(0, "i-1", 7);

  private static Heartbeat heartbeat(long sequence) {
    return new Heartbeat(
        "i-1",
        "a:1",
        "t8",
        "z",
        true,
        1,
        sequence,
        7,
        Double.NaN,
        List.of(),
        ListedTaskSize.NOT_MEASURED);
  }

  private static List<Long> exchanges(List<DeferredAnswers.Deferred> taken) {
    return taken.stream().map(DeferredAnswers.Deferred::exchange).toList();
  }

  @Test
  void heartbeatIsTakenOnceAfterTheMaximumTime() {
    answers.add(1, machine, heartbeat(1), 0);
    assertEquals(List.of(), answers.takeExpired(999));
    assertEquals(List.of(1L), exchanges(answers.takeExpired(1_000)));
    assertEquals(List.of(), answers.takeExpired(9_000));
  }

  @Test
  void heartbeatWaitsLongerForPlacementButNotUntilTheWorkerGivesUp() {
    answers.add(1, machine, heartbeat(1), 0);
    machine.addPendingPlacements(1);
    assertEquals(List.of(), answers.takeExpired(3_299));
    assertEquals(List.of(1L), exchanges(answers.takeExpired(3_300)));
  }

  @Test
  void startIsSentOnceAllPlacementsAreDurableOrAfterShortTime() {
    answers.add(1, machine, heartbeat(1), 0);
    machine.addPendingPlacements(1);
    assertTrue(answers.onStartDue(machine, 10));
    assertEquals(List.of(), answers.takeWithStart(20));
    assertEquals(List.of(1L), exchanges(answers.takeWithStart(110)));
    assertFalse(answers.onStartDue(machine, 120));
    assertEquals(List.of(), answers.takeExpired(9_000));
  }

  @Test
  void laterHeartbeatOfMachineReplacesTheEarlierOne() {
    assertNull(answers.add(1, machine, heartbeat(1), 0));
    answers.onStartDue(machine, 10);
    assertEquals(1, answers.add(2, machine, heartbeat(2), 20).exchange());
    assertEquals(List.of(), answers.takeWithStart(500));
    assertEquals(List.of(2L), exchanges(answers.takeAll()));
    assertEquals(List.of(), answers.takeExpired(9_000));
  }
}
