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

/** What a peer answers to a previous process of a node. */
class StateRequestRelayTest {
  private final List<Integer> statuses = new ArrayList<>();

  /** A process of node "a" asks its peer once; returns what it sent. */
  private PeerMessage.RelayRequest sendRequest(StateRequestRelay relay, CoreRuntime runtime) {
    relay.callState(
        RequestClass.USERS,
        "GET",
        "/kv/j/x",
        null,
        1000,
        (outcome, status, body) -> statuses.add(status));
    for (Effect effect : runtime.drainEffects()) {
      if (effect instanceof Effect.Broadcast broadcast
          && broadcast.message() instanceof PeerMessage.RelayRequest request) {
        return request;
      }
    }
    throw new AssertionError("nothing was relayed");
  }

  private static StateRequestRelay newProcess(CoreRuntime runtime) {
    runtime.setTime(1000, 1000);
    ConnectivityMonitor connectivity =
        new ConnectivityMonitor(TestSettings.withPeer("b"), runtime, () -> 0);
    connectivity.onReport(new PeerMessage.ConnectivityReport("b", new Connectivity(0, 0)));
    return new StateRequestRelay(TestSettings.withPeer("b"), runtime, connectivity, () -> false);
  }

  @Test
  void replyToPreviousProcessIsIgnored() {
    CoreRuntime previousRuntime = new CoreRuntime("life-1".hashCode());
    PeerMessage.RelayRequest previousRequest =
        sendRequest(newProcess(previousRuntime), previousRuntime);
    CoreRuntime currentRuntime = new CoreRuntime("life-2".hashCode());
    StateRequestRelay relay = newProcess(currentRuntime);
    PeerMessage.RelayRequest currentRequest = sendRequest(relay, currentRuntime);
    relay.onReply(
        new PeerMessage.RelayReply(
            "b", "a", previousRequest.requestId(), Outcome.ANSWERED, 404, Json.object()));
    assertTrue(statuses.isEmpty(), "the previous process's 404 was taken: " + statuses);
    relay.onReply(
        new PeerMessage.RelayReply(
            "b", "a", currentRequest.requestId(), Outcome.ANSWERED, 200, Json.object()));
    assertEquals(List.of(200), statuses);
  }
}
