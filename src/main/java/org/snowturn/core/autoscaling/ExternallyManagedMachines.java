package org.snowturn.core.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Whether the operators keep on-demand machines up themselves, beside those that this service
 * rents: a sign that capacity counts more to them than cost, which the settings do not tell. The
 * first leader ever observes it in its first seconds and stores what it saw for the others.
 */
public final class ExternallyManagedMachines {
  private static final int TIMEOUT_MS = 1_500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;

  /** Hardly any machine that the first leader rents is up before this. */
  private static final long OBSERVATION_MS = 10_000;

  /** The stored field's name. */
  private static final String COUNT_FIELD = "ordinary";

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final Backoff backoff;
  private final long startedAt;
  private boolean known;
  private int machineCount;
  private boolean recordAbsent;

  /** Knows nothing before {@link #load}. */
  public ExternallyManagedMachines(CoreRuntime runtime, RecordWriter writer) {
    this.runtime = runtime;
    this.writer = writer;
    this.backoff = runtime.backoff();
    this.startedAt = runtime.now();
  }

  /** Reads what an earlier leader stored, and tries again until there is an answer. */
  public void load() {
    runtime.callState(
        "GET", "/kv/" + StorageKeys.EXTERNALLY_MANAGED_MACHINES, null, TIMEOUT_MS, this::onReply);
  }

  private void onReply(Outcome outcome, int status, JsonNode body) {
    if (outcome == Outcome.ANSWERED && status == STATUS_OK && parse(body)) {
      return;
    }
    if (outcome == Outcome.ANSWERED && status == STATUS_NOT_FOUND) {
      recordAbsent = true;
    } else if (!writer.over()) {
      runtime.retry(backoff, this::load);
    }
  }

  private boolean parse(JsonNode body) {
    try {
      machineCount = StateMessage.entry(body).value().path(COUNT_FIELD).asInt(0);
      known = true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.RECORD_UNREADABLE)
          .with(LogField.KEY, StorageKeys.EXTERNALLY_MANAGED_MACHINES)
          .with(LogField.ERROR, e.getMessage())
          .write();
    }
    return known;
  }

  /**
   * Told how many on-demand machines are up that this leader has not rented. The first leader takes
   * all of them for the operators' until a machine of its own has had the time to boot.
   */
  void observe(int onDemandMachines) {
    if (!recordAbsent || known) {
      return;
    }
    machineCount = Math.max(machineCount, onDemandMachines);
    if (runtime.now() - startedAt >= OBSERVATION_MS) {
      known = true;
      store();
    }
  }

  private void store() {
    writer.submit(
        RecordWriter.TransactionPriority.BACKGROUND,
        List.of(new Condition(StorageKeys.EXTERNALLY_MANAGED_MACHINES, 0)),
        List.of(
            Change.put(
                StorageKeys.EXTERNALLY_MANAGED_MACHINES,
                Json.object().put("v", StorageKeys.FIRST_FORMAT).put(COUNT_FIELD, machineCount))),
        (outcome, status, body) ->
            runtime
                .events()
                .info(LogEvent.EXTERNALLY_MANAGED_MACHINES)
                .with(LogField.COUNT, machineCount)
                .write());
  }

  /** Whether there are any. */
  public boolean hasMachines() {
    return machineCount > 0;
  }
}
