package org.snowturn.core.connectivity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.TestSettings;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.wire.Json;

/** What a peer answers to a former life of a node. */
class StateRequestRelayTest {
  private final List<Integer> answers = new ArrayList<>();

  /** One life of node "a" asks its peer once; returns what it sent. */
  private PeerMessage.RelayRequest ask(StateRequestRelay relays, CoreRuntime runtime) {
    relays.callState(
        RequestClass.USERS,
        "GET",
        "/kv/j/x",
        null,
        1000,
        (outcome, status, body) -> answers.add(status));
    for (Effect effect : runtime.drainEffects()) {
      if (effect instanceof Effect.Broadcast broadcast
          && broadcast.message() instanceof PeerMessage.RelayRequest r) {
        return r;
      }
    }
    throw new AssertionError("nothing was relayed");
  }

  private static StateRequestRelay life(CoreRuntime runtime) {
    runtime.setTime(1000, 1000);
    ConnectivityMonitor s = new ConnectivityMonitor(TestSettings.withPeer("b"), runtime, () -> 0);
    s.onReport(new PeerMessage.ConnectivityReport("b", new Connectivity(0, 0)));
    return new StateRequestRelay(TestSettings.withPeer("b"), runtime, s, () -> false);
  }

  @Test
  void anAnswerToTheFormerLifeIsNotTakenForOneToThisOne() {
    CoreRuntime first = new CoreRuntime("life-1".hashCode());
    PeerMessage.RelayRequest former = ask(life(first), first);
    CoreRuntime second = new CoreRuntime("life-2".hashCode());
    StateRequestRelay relays = life(second);
    PeerMessage.RelayRequest mine = ask(relays, second);
    relays.onReply(
        new PeerMessage.RelayReply(
            "b", "a", former.requestId(), Outcome.ANSWERED, 404, Json.object()));
    assertTrue(answers.isEmpty(), "the former life's 404 was told: " + answers);
    relays.onReply(
        new PeerMessage.RelayReply(
            "b", "a", mine.requestId(), Outcome.ANSWERED, 200, Json.object()));
    assertEquals(List.of(200), answers);
  }
}
