package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.PeerMessage;
import org.snowturn.wire.Command;

/**
 * Guards against a digest that misses a change of behavior, or that differs between equal runs or
 * with log lines.
 */
class BehaviorDigestTest {
  private static final Simulation SMALL =
      new Simulation(
          "small",
          List.of(
              "at 5 submit wk-000001 batch tasks=3 run=8",
              "at 12 crash leader 1",
              "until 40",
              "expect done wk-000001"),
          7);

  private static String digestOf(Effect... effects) {
    BehaviorDigest digest = new BehaviorDigest();
    for (Effect effect : effects) {
      digest.onEffect(1_000, "n0", effect);
    }
    return digest.value();
  }

  private static Effect start(long attempt) {
    Command command = new Command(Command.Op.START, "wk-000001", 0, attempt, 0);
    return call(Command.directCommands(1, 1, List.of(command)));
  }

  private static Effect call(JsonNode body) {
    return new Effect.Call(3, Effect.Target.WORKER, "w:1", "POST", "/commands", body, 4_000);
  }

  @Test
  void equalRunsHaveEqualDigests() throws Exception {
    assertEquals(BehaviorDigest.of(SMALL), BehaviorDigest.of(SMALL));
  }

  @Test
  void differentSeedsHaveDifferentDigests() throws Exception {
    Simulation other = new Simulation("small", SMALL.text(), SMALL.seed() + 1);
    assertNotEquals(BehaviorDigest.of(SMALL), BehaviorDigest.of(other));
  }

  @Test
  void changedCommandChangesDigest() {
    assertNotEquals(digestOf(start(1)), digestOf(start(2)));
  }

  @Test
  void changedAnswerOrPeerMessageChangesDigest() {
    assertNotEquals(
        digestOf(new Effect.Answer(1, 200, null, 0)), digestOf(new Effect.Answer(1, 503, null, 0)));
    assertNotEquals(
        digestOf(new Effect.Broadcast(new PeerMessage.StandbyStatus("n0", true))),
        digestOf(new Effect.Broadcast(new PeerMessage.StandbyStatus("n0", false))));
  }

  @Test
  void logLinesDoNotChangeDigest() {
    Effect line = new Effect.Event(Effect.Severity.INFO, "event=any");
    assertEquals(digestOf(call(null)), digestOf(call(null), line));
  }
}
