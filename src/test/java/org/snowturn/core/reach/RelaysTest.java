package org.snowturn.core.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.TestSettings;
import org.snowturn.core.admission.Purpose;
import org.snowturn.core.calls.Calls;
import org.snowturn.wire.Json;

/** What a peer answers to a former life of a node. */
class RelaysTest {
  private final List<Integer> answers = new ArrayList<>();

  /** One life of node "a" asks its peer once; returns what it sent. */
  private PeerRecord.Relay ask(Relays relays, Calls calls) {
    relays.state(
        Purpose.USERS,
        "GET",
        "/kv/j/x",
        null,
        1000,
        (outcome, status, body) -> answers.add(status));
    for (Effect e : calls.drain()) {
      if (e instanceof Effect.ToPeers p && p.message() instanceof PeerRecord.Relay r) {
        return r;
      }
    }
    throw new AssertionError("nothing was relayed");
  }

  private static Relays life(Calls calls) {
    calls.at(1000, 1000);
    ConnectivityMonitor s = new ConnectivityMonitor(TestSettings.withPeer("b"), calls, () -> 0);
    s.told(new PeerRecord.Reaches("b", new Connectivity(0, 0)));
    return new Relays(TestSettings.withPeer("b"), calls, s, () -> false);
  }

  @Test
  void anAnswerToTheFormerLifeIsNotTakenForOneToThisOne() {
    Calls first = new Calls("life-1".hashCode());
    PeerRecord.Relay former = ask(life(first), first);
    Calls second = new Calls("life-2".hashCode());
    Relays relays = life(second);
    PeerRecord.Relay mine = ask(relays, second);
    relays.answered(
        new PeerRecord.Relayed("b", "a", former.seq(), Outcome.ANSWERED, 404, Json.object()));
    assertTrue(answers.isEmpty(), "the former life's 404 was told: " + answers);
    relays.answered(
        new PeerRecord.Relayed("b", "a", mine.seq(), Outcome.ANSWERED, 200, Json.object()));
    assertEquals(List.of(200), answers);
  }
}
