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
 * The number of on-demand machines that the operators run themselves, besides those that this
 * service rents. Such machines show that the operators value capacity more than cost, which no
 * setting states. The first leader of a cluster counts them in its first seconds and stores the
 * count for later leaders.
 */
public final class ExternallyManagedMachines {
  private static final int TIMEOUT_MS = 1_500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;

  /**
   * Time after its start for which the first leader counts machines. Hardly any machine that it
   * rents boots faster.
   */
  private static final long OBSERVATION_MS = 10_000;

  /** Name of the stored field that holds the count. */
  private static final String COUNT_FIELD = "ordinary";

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final Backoff backoff;
  private final long startedAt;
  private boolean isCountKnown;
  private int machineCount;
  private boolean isRecordAbsent;

  /** Creates a count of 0, which {@link #load} replaces by the stored count. */
  public ExternallyManagedMachines(CoreRuntime runtime, RecordWriter writer) {
    this.runtime = runtime;
    this.writer = writer;
    this.backoff = runtime.backoff();
    this.startedAt = runtime.now();
  }

  /** Reads the count that an earlier leader stored, and repeats the call until it is answered. */
  public void load() {
    runtime.callState(
        "GET", "/kv/" + StorageKeys.EXTERNALLY_MANAGED_MACHINES, null, TIMEOUT_MS, this::onReply);
  }

  private void onReply(Outcome outcome, int status, JsonNode body) {
    if (outcome == Outcome.ANSWERED && status == STATUS_OK && parse(body)) {
      return;
    }
    if (outcome == Outcome.ANSWERED && status == STATUS_NOT_FOUND) {
      isRecordAbsent = true;
    } else if (!writer.isTermOver()) {
      runtime.retry(backoff, this::load);
    }
  }

  private boolean parse(JsonNode body) {
    try {
      machineCount = StateMessage.entry(body).value().path(COUNT_FIELD).asInt(0);
      isCountKnown = true;
    } catch (MalformedException e) {
      runtime
          .events()
          .unreadable(
              LogEvent.RECORD_UNREADABLE, LogField.KEY, StorageKeys.EXTERNALLY_MANAGED_MACHINES, e);
    }
    return isCountKnown;
  }

  /**
   * Raises the count to this number if no leader has stored a count yet. The count is final and
   * stored after {@link #OBSERVATION_MS}, before most rented machines have booted. So all machines
   * that are up until then are considered run by the operators.
   *
   * @param onDemandMachines on-demand machines that are up and were not rented in this term
   */
  void observe(int onDemandMachines) {
    if (!isRecordAbsent || isCountKnown) {
      return;
    }
    machineCount = Math.max(machineCount, onDemandMachines);
    if (runtime.now() - startedAt >= OBSERVATION_MS) {
      isCountKnown = true;
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

  /** Returns whether the operators run any on-demand machines themselves. */
  public boolean hasMachines() {
    return machineCount > 0;
  }
}
