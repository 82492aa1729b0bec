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

/**
 * A reply to a request of the previous process of a node must not complete a request of the present
 * process. After a quick restart the peer may still send such a reply.
 */
class StateRequestRelayTest {
  private final List<Integer> statuses = new ArrayList<>();

  /** Makes one call through the peer and returns the relay request that was sent to it. */
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
    throw new AssertionError("no RelayRequest was broadcast");
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
    assertTrue(
        statuses.isEmpty(),
        "a reply to the previous process completed a request with status " + statuses);
    relay.onReply(
        new PeerMessage.RelayReply(
            "b", "a", currentRequest.requestId(), Outcome.ANSWERED, 200, Json.object()));
    assertEquals(List.of(200), statuses);
  }
}
