package org.snowturn.core.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks the pacing of probes, and the retry delays and phases of a recovery. Too many probes in
 * flight would delay the renewal of the leader's own lease.
 */
class PacedProbesTest {
  private final PacedProbes probes = new PacedProbes(500);

  private List<Integer> sendProbes(long now) {
    List<Integer> probed = new ArrayList<>();
    int id;
    while ((id = probes.nextMachine(now)) >= 0) {
      probed.add(id);
    }
    return probed;
  }

  @Test
  void mostUrgentMachinesAreProbedFirstWithinTheWindow() {
    for (int id = 0; id < 1000; id++) {
      probes.add(id, id % 5, 0);
    }
    List<Integer> first = sendProbes(0);
    assertEquals(16, first.size());
    assertTrue(first.stream().allMatch(id -> id % 5 == 0));
    assertEquals(List.of(), sendProbes(1));
  }

  @Test
  void windowGrowsWithPromptRepliesAndShrinksWithLateOnes() {
    for (int id = 0; id < 1000; id++) {
      probes.add(id, 0, 0);
    }
    List<Integer> probed = sendProbes(0);
    probed.forEach(id -> probes.onHeard(id, 10));
    assertEquals(32, probes.window());
    sendProbes(10).forEach(id -> probes.onHeard(id, 260));
    assertTrue(probes.window() < 32);
    int windowBefore = probes.window();
    probes.onNodeLate(1000);
    assertTrue(probes.window() < windowBefore);
    for (int i = 0; i < 100; i++) {
      probes.onNodeLate(2000 + 200L * i);
    }
    assertEquals(4, probes.window());
    for (int i = 0; i < 100; i++) {
      probes.onNodeOnTime();
    }
    assertEquals(64, probes.window());
  }

  @Test
  void heardMachineIsNotProbedAndPostponedMachineIsProbedLater() {
    probes.add(1, 0, 0);
    probes.add(2, 0, 0);
    probes.add(3, 0, 700);
    probes.onHeard(1, 0);
    probes.postpone(2, 400);
    assertEquals(List.of(), sendProbes(0));
    assertEquals(List.of(2), sendProbes(400));
    assertEquals(List.of(3), sendProbes(700));
    assertEquals(2, probes.unheardMachines());
    assertEquals(2, probes.sentCount());
  }

  @Test
  void machineIsUnresponsiveAfterThreeProbesAndMinimumTime() {
    probes.add(7, 0, 0);
    long now = 0;
    for (int i = 0; i < PacedProbes.MIN_UNANSWERED_PROBES; i++) {
      assertEquals(List.of(7), sendProbes(now));
      assertFalse(probes.isUnresponsive(7, 2000, now));
      probes.onProbeUnanswered(7, now + 1000, true);
      now += 1500;
    }
    assertTrue(probes.isUnresponsive(7, 2000, now));
    assertFalse(probes.isUnresponsive(7, 60_000, now));
    probes.add(8, 0, now);
    for (int i = 0; i < 9; i++) {
      sendProbes(now);
      probes.onProbeUnanswered(8, now, false);
      now += 600;
    }
    assertFalse(probes.isUnresponsive(8, 2000, now));
    probes.onHeard(7, now);
    assertFalse(probes.isUnresponsive(7, 2000, now));
  }

  @Test
  void deadMachinesLeaveTheWindowSoon() {
    for (int id = 0; id < 64; id++) {
      probes.add(id, 0, 0);
    }
    assertEquals(16, sendProbes(0).size());
    assertEquals(16, sendProbes(300).size());
    assertEquals(16, sendProbes(600).size());
  }

  @Test
  void backoffDoublesWithJitterUpToMaximumAndHonorsRetryAfter() {
    Backoff backoff = new Backoff(new SplittableRandom(7), 50, 800);
    long upper = 50;
    for (int i = 0; i < 10; i++) {
      long delay = backoff.nextDelayMs(0);
      assertTrue(delay > upper / 2 - 1 && delay <= upper, delay + " of " + upper);
      upper = Math.min(800, upper * 2);
    }
    assertEquals(3000, backoff.nextDelayMs(3000));
    backoff.reset();
    assertTrue(backoff.nextDelayMs(0) <= 50);
  }

  @Test
  void recoveryPhasesOnlyAdvance() {
    RecoveryProgress phases = new RecoveryProgress(100);
    assertTrue(phases.enter(RecoveryPhase.PROBING, 350));
    assertFalse(phases.enter(RecoveryPhase.READING, 400));
    assertFalse(phases.enter(RecoveryPhase.PROBING, 500));
    assertEquals(250, phases.sinceTermBeganMs(RecoveryPhase.PROBING));
    assertEquals(-1, phases.sinceTermBeganMs(RecoveryPhase.READING));
    assertEquals("won 0 ms, probing 250 ms", phases.toString());
  }
}
