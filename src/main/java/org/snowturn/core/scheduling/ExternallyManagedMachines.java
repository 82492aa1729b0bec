package org.snowturn.core.scheduling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Whether the operators keep ordinary machines up themselves, beside those that this service hires:
 * a sign that capacity counts more to them than money, which the settings do not tell. The first
 * leader ever sees it, in its first seconds; what it has seen is stored for the others.
 */
public final class ExternallyManagedMachines {
  private static final int TIMEOUT_MS = 1_500;

  /** So long the first leader looks; no machine that it hires is up before, or hardly one. */
  private static final long LOOK_MS = 10_000;

  private static final String COUNT = "ordinary";

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final Backoff backoff;
  private final long startedAt;
  private boolean known;
  private int machines;
  private boolean absent;

  /** Looks what earlier leaders have seen. */
  public ExternallyManagedMachines(CoreRuntime runtime, RecordWriter writer) {
    this.runtime = runtime;
    this.writer = writer;
    this.backoff = runtime.backoff();
    this.startedAt = runtime.now();
  }

  /** Reads what is stored. */
  public void look() {
    runtime.callState(
        "GET",
        "/kv/" + StorageKeys.STANDING,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200 && read(body)) {
            return;
          }
          if (outcome == Outcome.ANSWERED && status == 404) {
            absent = true;
          } else if (!writer.over()) {
            runtime.retry(backoff, this::look);
          }
        });
  }

  private boolean read(JsonNode body) {
    try {
      machines = StateMessage.entry(body).value().path(COUNT).asInt(0);
      known = true;
    } catch (MalformedException e) {
      runtime.note("unusable record " + StorageKeys.STANDING + ": " + e.getMessage());
    }
    return known;
  }

  /**
   * So many ordinary machines are up that this leader has not hired. It is the first leader if
   * nothing is stored, and until a machine has had the time to boot all of them are the operators'.
   */
  void seen(int ordinary) {
    if (!absent || known) {
      return;
    }
    machines = Math.max(machines, ordinary);
    if (runtime.now() - startedAt >= LOOK_MS) {
      known = true;
      writer.whole(
          RecordWriter.Turn.SPARE,
          List.of(new Condition(StorageKeys.STANDING, 0)),
          List.of(
              Change.put(
                  StorageKeys.STANDING,
                  Json.object().put("v", StorageKeys.VERSION).put(COUNT, machines))),
          (outcome, status, body) ->
              runtime.note("the operators keep " + machines + " ordinary machines up themselves"));
    }
  }

  /** Whether there is a standing fleet. */
  public boolean present() {
    return machines > 0;
  }
}
