package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/** Cancels jobs, each by a compare-and-swap of its live record. */
final class JobCancellation {
  /** Maximum number of tries, as the record may change between the read and the write. */
  private static final int MAX_TRIES = 3;

  private final CoreRuntime runtime;
  private final FormatGate formatGate;
  private final StateRequestRelay relay;
  private final AdmissionController admission;
  private final JobStatusCache statuses;
  private final JobStatusReader reader;
  private final UserResponses responses;

  JobCancellation(
      CoreRuntime runtime,
      JobApi.Services services,
      JobStatusCache statuses,
      JobStatusReader reader,
      UserResponses responses) {
    this.runtime = runtime;
    this.formatGate = services.formatGate();
    this.relay = services.relay();
    this.admission = services.admission();
    this.statuses = statuses;
    this.reader = reader;
    this.responses = responses;
  }

  /** Cancels a job, unless it is in a final state already, and answers with its status. */
  void cancel(long exchange, String id) {
    JobStatus known = statuses.finalStatus(id);
    if (known != null) {
      responses.answerSummary(exchange, known);
    } else if (!responses.refuseIfUnreachable(exchange)) {
      cancel(exchange, id, MAX_TRIES);
    }
  }

  private void cancel(long exchange, String id, int triesLeft) {
    reader.readRecord(
        RequestClass.USERS,
        exchange,
        StorageKeys.job(id),
        live -> {
          if (live == null || JobRecord.phaseOf(live.value()).isTerminal()) {
            reader.read(exchange, id, status -> answerFinalStatus(exchange, status));
          } else {
            writeCancelled(exchange, id, live, triesLeft);
          }
        });
  }

  private void answerFinalStatus(long exchange, JobStatus status) {
    if (status == null) {
      responses.answerNotFound(exchange);
    } else if (status.phase().isTerminal()) {
      responses.answerSummary(exchange, status);
    } else {
      responses.refuse(exchange);
    }
  }

  private void writeCancelled(long exchange, String id, StateMessage.Entry live, int triesLeft) {
    admission.charge(1, runtime.now());
    JsonNode value = JobRecord.cancelledJson(live.value(), formatGate.limits().maxValueBytes());
    JsonNode transaction =
        StateMessage.transaction(
            List.of(new Condition(StorageKeys.job(id), live.version())),
            List.of(Change.put(StorageKeys.job(id), value)));
    relay.callState(
        RequestClass.USERS,
        "POST",
        "/txn",
        transaction,
        JobStatusReader.STATE_REQUEST_TIMEOUT_MS,
        (outcome, status, reply) -> {
          if (outcome.isSuccess(status)) {
            JobStatus aborted = new JobStatus(id, JobStatus.Phase.ABORTED, 0, 0);
            statuses.addFinished(aborted);
            responses.answerSummary(exchange, aborted);
          } else if (outcome.isConflict(status) && triesLeft > 1) {
            cancel(exchange, id, triesLeft - 1);
          } else {
            responses.refuse(exchange);
          }
        });
  }
}
