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

/** Checks which events prove that a machine receives messages. */
class ReachabilityTest {
  private static final long NEXT_HEARTBEAT_WITHIN_MS = 4_900;

  private long sequence;

  private void sendHeartbeat(Reachability reachability, long at, boolean hasPresentToken) {
    reachability.onHeartbeatAccepted(hasPresentToken);
    reachability.onHeartbeatReceived(++sequence, at, NEXT_HEARTBEAT_WITHIN_MS);
    reachability.onHeartbeatAnswered(at);
  }

  @Test
  void newlyReportedTokenProvesReachability() {
    Reachability reachability = new Reachability();
    sendHeartbeat(reachability, 0, false);
    assertFalse(reachability.isProven());
    sendHeartbeat(reachability, 500, true);
    assertTrue(reachability.isProven());
  }

  @Test
  void unansweredMessageRevokesProofUntilReplyOrTwoTimelyHeartbeats() {
    Reachability reachability = new Reachability();
    reachability.markProven();
    reachability.onMessageUnanswered(1_000);
    assertFalse(reachability.isProven());
    reachability.markProven();
    assertTrue(reachability.isProven());
    reachability.onMessageUnanswered(5_000);
    sendHeartbeat(reachability, 6_000, true);
    assertFalse(reachability.isProven());
    sendHeartbeat(reachability, 8_000, true);
    assertTrue(reachability.isProven());
  }

  /**
   * A worker whose heartbeat is not answered sends the next one to this node only after a timeout
   * and an attempt at another node. Such late heartbeats must not prove reachability.
   */
  @Property(tries = 300, seed = "31")
  void machineThatReceivesNothingIsNeverProven(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 5) Integer> steps) {
    Reachability reachability = new Reachability();
    reachability.markProven();
    reachability.onMessageUnanswered(0);
    long now = 0;
    long lastHeartbeatAt = 0;
    for (int step : steps) {
      switch (step) {
        case 0, 1 -> {
          now += 5_000 + step * 1_000;
          lastHeartbeatAt = now;
          sendHeartbeat(reachability, lastHeartbeatAt, true);
        }
        case 2 ->
            sendHeartbeat(
                reachability, lastHeartbeatAt, true); // delayed together with the previous one
        case 3 -> reachability.onMessageUnanswered(now += 1_000);
        case 4 -> reachability.onNewAgentEpoch(now);
        default -> assertTrue(reachability.claimProbe(now += 4_000));
      }
      assertFalse(reachability.isProven());
    }
    for (int i = 0; i < Reachability.MIN_UNANSWERED_MESSAGES; i++) {
      reachability.onMessageUnanswered(now);
    }
    assertTrue(reachability.isUnreachable(now + 20_000, 20_000));
  }

  @Test
  void heartbeatCopyIsStaleUntilNewAgentEpoch() {
    Reachability reachability = new Reachability();
    reachability.onHeartbeatReceived(7, 0, NEXT_HEARTBEAT_WITHIN_MS);
    assertTrue(reachability.isStale(7));
    assertTrue(reachability.isStale(3));
    assertFalse(reachability.isStale(8));
    reachability.onNewAgentEpoch(0);
    assertFalse(reachability.isStale(1));
  }

  @Test
  void probeDelayGrowsWithUnansweredProbes() {
    Reachability reachability = new Reachability();
    int probes = 0;
    for (long now = 0; now < 20_000; now += 250) {
      if (reachability.claimProbe(now)) {
        probes++;
        reachability.onMessageUnanswered(now);
      }
    }
    assertEquals(8, probes, 1);
  }
}
