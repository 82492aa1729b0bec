package org.snowturn.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RateDemands;
import org.snowturn.core.connectivity.Connectivity;
import org.snowturn.wire.Json;

/** Guards against a message that a peer of the same or of an adjacent version cannot decode. */
class PeerCodecTest {
  private static final int LENGTH_BYTES = 2;

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.StandbyStatus("n0", true),
          new PeerMessage.PromiseRequest("n1", 7, 1L << 40, true),
          new PeerMessage.Promise("n2", 7, 1L << 40, 3000, false),
          new PeerMessage.StepDown("n0", 12, 99),
          new PeerMessage.JobProgress("n0", "wk-000001", 3, 4),
          new PeerMessage.ConnectivityReport("n1", new Connectivity(120, Connectivity.UNSET)),
          new PeerMessage.WorkerSample("n2", List.of("10.1.0.1:9000", "10.1.0.2:9000")),
          new PeerMessage.RelayRequest("n0", "n1", 5, "GET", "/kv/j/wk-000001", null, 1800),
          new PeerMessage.RelayRequest(
              "n0", "n1", 6, "POST", "/txn", Json.object().put("when", "é"), 1800),
          new PeerMessage.RelayReply("n1", "n0", 6, Outcome.UNKNOWN, 0, null),
          new PeerMessage.RelayReply(
              "n1", "n0", 7, Outcome.ANSWERED, 200, Json.object().put("epoch", 9)),
          new PeerMessage.RateDemandReport("n2", new RateDemands.Demand(31.5, 2.25, 0)),
          new PeerMessage.LeaseHandover("n0", 12, 99),
          new PeerMessage.LeaseEnded("n1", 99),
          new PeerMessage.ProgressRequest("n1", List.of("wk-000001", "wk-000002")),
          new PeerMessage.CancellationsRequest(
              "n0", 8, Map.of("n1", new PeerMessage.LogPosition("life", 41))),
          new PeerMessage.CancellationsReply(
              "n1", "n0", 8, "life", 41, 43, 3, 900, List.of("wk-1", "wk-2")));

  private static byte[] body(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    return Arrays.copyOfRange(frame, LENGTH_BYTES, frame.length);
  }

  @Test
  void decodesEveryEncodedMessage() throws IOException {
    for (PeerMessage message : MESSAGES) {
      assertEquals(message, PeerCodec.decode(body(message)));
    }
  }

  @Test
  void ignoresFieldsAndKindsOfLaterVersions() throws IOException {
    for (PeerMessage message : MESSAGES) {
      byte[] longer = Arrays.copyOf(body(message), body(message).length + 9);
      longer[0] = 2;
      assertEquals(message, PeerCodec.decode(longer));
    }
    byte[] unknownKind = body(MESSAGES.get(0));
    unknownKind[1] = 77;
    assertNull(PeerCodec.decode(unknownKind));
  }

  @Test
  void theLongestProgressRequestFitsIntoAFrame() {
    PeerMessage request =
        new PeerMessage.ProgressRequest(
            "a-node-name", Collections.nCopies(150, "wk-123456789012345678"));
    assertTrue(PeerCodec.encode(request).length <= PeerCodec.MAX_FRAME_BYTES);
  }

  @Test
  void rejectsTruncatedMessage() {
    byte[] body = body(MESSAGES.get(1));
    assertThrows(IOException.class, () -> PeerCodec.decode(Arrays.copyOf(body, body.length - 1)));
  }
}
