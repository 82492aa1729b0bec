package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Settings;
import org.snowturn.core.assignment.SubmissionChunks;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;

/**
 * Guards against a repeated submission that counts on stored chunks while a leader deletes them as
 * unused. One of the two transactions must fail.
 */
class ChunkCleanupTest {
  private static final String CHUNKS = StorageKeys.submissionChunks("wk-000001", "s");

  private static StateMessage.Entry chunk(int number, long version) {
    return new StateMessage.Entry(CHUNKS + number, Json.object(), version);
  }

  private static Effect.Call onlyCall(CoreRuntime runtime) {
    List<Effect> effects = runtime.drainEffects();
    assertEquals(1, effects.size());
    return (Effect.Call) effects.get(0);
  }

  private static String conditions(Effect.Call call) {
    JsonNode conditions = call.body().path("when");
    return conditions.toString();
  }

  @Test
  void deletesOtherChunksOnlyWhileTheFirstIsAbsent() {
    Settings settings = TestSettings.with();
    Settings.StateLimits limits = settings.stateLimits();
    CoreRuntime runtime = new CoreRuntime(1);
    RecordWriter writer = new RecordWriter(runtime, new TestWriterHost(7), () -> limits, r -> r);

    new SubmissionChunks(runtime, writer)
        .deleteUnused(List.of(chunk(0, 41), chunk(1, 42)), Set.of());
    writer.flush();
    Effect.Call first = onlyCall(runtime);
    assertEquals(
        "[{\"path\":\"l/leader\",\"stamp\":7},{\"path\":\"j/wk-000001\",\"stamp\":0},"
            + "{\"path\":\"x/wk-000001/s/0\",\"stamp\":41}]",
        conditions(first));
    runtime.handleReply(
        new Input.Reply(first.id(), Outcome.ANSWERED, 200, Json.object().put("epoch", 50)));
    writer.flush();
    Effect.Call rest = onlyCall(runtime);
    assertEquals(
        "[{\"path\":\"l/leader\",\"stamp\":7},{\"path\":\"x/wk-000001/s/0\",\"stamp\":0}]",
        conditions(rest));
  }
}
