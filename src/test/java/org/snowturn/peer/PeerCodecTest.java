package org.snowturn.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.admission.Needs;
import org.snowturn.core.reach.Connectivity;
import org.snowturn.wire.Json;

class PeerCodecTest {
  private static final List<PeerRecord> RECORDS =
      List.of(
          new PeerRecord.Status("n0", true),
          new PeerRecord.Ask("n1", 7, 1L << 40, true),
          new PeerRecord.Promise("n2", 7, 1L << 40, 3000, false),
          new PeerRecord.Resign("n0", 12, 99),
          new PeerRecord.Progress("n0", "wk-000001", 3, 4),
          new PeerRecord.Reaches("n1", new Connectivity(120, Connectivity.NEVER)),
          new PeerRecord.Sample("n2", List.of("10.1.0.1:9000", "10.1.0.2:9000")),
          new PeerRecord.Relay("n0", "n1", 5, "GET", "/kv/j/wk-000001", null, 1800),
          new PeerRecord.Relay("n0", "n1", 6, "POST", "/txn", Json.object().put("when", "é"), 1800),
          new PeerRecord.Relayed("n1", "n0", 6, Outcome.UNKNOWN, 0, null),
          new PeerRecord.Relayed(
              "n1", "n0", 7, Outcome.ANSWERED, 200, Json.object().put("epoch", 9)),
          new PeerRecord.Need("n2", new Needs.Need(31.5, 2.25, 0)),
          new PeerRecord.Offer("n0", 12, 99),
          new PeerRecord.LeaseEnded("n1", 99),
          new PeerRecord.AskCancelled("n0", 8, Map.of("n1", new PeerRecord.Heard("life", 41))),
          new PeerRecord.Cancelled("n1", "n0", 8, "life", 41, 43, 3, 900, List.of("wk-1", "wk-2")));

  private static byte[] body(PeerRecord r) {
    byte[] all = PeerCodec.encode(r);
    return Arrays.copyOfRange(all, 2, all.length);
  }

  @Test
  void whatIsWrittenIsRead() throws IOException {
    for (PeerRecord r : RECORDS) {
      assertEquals(r, PeerCodec.decode(body(r)));
    }
  }

  @Test
  void aLaterVersionIsUnderstoodAsFarAsKnown() throws IOException {
    for (PeerRecord r : RECORDS) {
      byte[] longer = Arrays.copyOf(body(r), body(r).length + 9);
      longer[0] = 2;
      assertEquals(r, PeerCodec.decode(longer));
    }
    byte[] unknownKind = body(RECORDS.get(0));
    unknownKind[1] = 77;
    assertNull(PeerCodec.decode(unknownKind));
  }

  @Test
  void aCutRecordIsRefused() {
    byte[] b = body(RECORDS.get(1));
    assertThrows(IOException.class, () -> PeerCodec.decode(Arrays.copyOf(b, b.length - 1)));
  }
}
