package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Settings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.RecordWriter.TransactionPriority;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage.Change;

/**
 * Guards against a token that a later leader may hold as well: only the revision of a transaction
 * that was executed under this leader's key is one of this leader alone.
 */
class CommittedRevisionTest {
  private final Settings.StateLimits limits = TestSettings.with().stateLimits();
  private final CoreRuntime runtime = new CoreRuntime(1);
  private final RecordWriter writer =
      new RecordWriter(runtime, new TestWriterHost(7), () -> limits, rate -> rate);
  private long now = 1_000;

  private long revisionAfter(Outcome outcome, int status, ObjectNode body) {
    now += 1_000;
    runtime.setTime(now, now);
    writer.submit(
        TransactionPriority.NORMAL,
        List.of(),
        List.of(new Change("p/a", Json.object(), 0)),
        (replyOutcome, replyStatus, replyBody) -> {});
    writer.flush();
    Effect.Call call =
        runtime.drainEffects().stream()
            .filter(Effect.Call.class::isInstance)
            .map(Effect.Call.class::cast)
            .findFirst()
            .orElseThrow();
    runtime.handleReply(new Input.Reply(call.id(), outcome, status, body));
    return writer.committedRevision();
  }

  private static ObjectNode revision(long revision) {
    return Json.object().put("epoch", revision);
  }

  @Test
  void onlyExecutedTransactionsCount() {
    assertEquals(0, writer.committedRevision());
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 200, revision(50)));
    ObjectNode conflict = revision(90);
    conflict.putArray("failed").add("p/a");
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 409, conflict));
    ObjectNode keyLost = revision(91);
    keyLost.putArray("failed").add("l/leader");
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 409, keyLost));
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 503, revision(92)));
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 200, Json.object()));
    assertEquals(50, revisionAfter(Outcome.ANSWERED, 200, revision(48)));
    assertEquals(51, revisionAfter(Outcome.ANSWERED, 200, revision(51)));
  }
}
