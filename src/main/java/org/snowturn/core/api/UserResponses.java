package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;

/** Answers users' requests, each of which is identified by the id of its exchange. */
final class UserResponses {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;

  private final CoreRuntime runtime;
  private final AdmissionController admission;
  private final CancelledJobs cancelled;
  private final BooleanSupplier isStateServiceReachable;

  /**
   * Creates responses.
   *
   * @param admission provides the retry delay of refused requests
   * @param cancelled receives the cancellations that are confirmed to users
   * @param isStateServiceReachable supplies whether requests to the state service may succeed now
   */
  UserResponses(
      CoreRuntime runtime,
      AdmissionController admission,
      CancelledJobs cancelled,
      BooleanSupplier isStateServiceReachable) {
    this.runtime = runtime;
    this.admission = admission;
    this.cancelled = cancelled;
    this.isStateServiceReachable = isStateServiceReachable;
  }

  /**
   * Refuses a request that needs the state service if the service is unreachable.
   *
   * @return whether the request was refused
   */
  boolean refuseIfUnreachable(long exchange) {
    if (isStateServiceReachable.getAsBoolean()) {
      return false;
    }
    refuse(exchange);
    return true;
  }

  /** Answers that the request cannot be served now, with a retry delay. */
  void refuse(long exchange) {
    runtime.answerUnavailable(exchange, UNAVAILABLE, admission.retryAfterS(runtime.now()));
  }

  /** Answers that the job does not exist. */
  void answerNotFound(long exchange) {
    runtime.answer(exchange, NOT_FOUND, null);
  }

  /** Answers that a submission is invalid and can never be accepted. */
  void answerInvalid(long exchange, String reason) {
    runtime.answer(exchange, UNPROCESSABLE, Json.object().put("error", reason));
  }

  /** Answers that a job was accepted. */
  void answerAccepted(long exchange, String job) {
    JobStatus queued = new JobStatus(job, JobStatus.Phase.QUEUED, 0, 0);
    runtime.answer(exchange, CREATED, queued.toSummaryJson());
  }

  /** Answers with the summary of a job's status. */
  void answerSummary(long exchange, JobStatus status) {
    answer(exchange, status, status.toSummaryJson());
  }

  /** Answers with a job's full status. */
  void answerFull(long exchange, JobStatus status) {
    answer(exchange, status, status.toJson());
  }

  /**
   * Answers with a job's status. A user may rely on a cancellation from the answer on, so it is
   * recorded for the leader before the answer is sent.
   */
  private void answer(long exchange, JobStatus status, JsonNode body) {
    if (status.phase() == JobStatus.Phase.ABORTED) {
      cancelled.confirm(status.id());
    }
    if (runtime.events().isDebugEnabled()) {
      runtime
          .events()
          .debug(LogEvent.USER_ANSWER)
          .with(LogField.JOB, status.id())
          .with(LogField.PHASE, status.phase().wireName())
          .write();
    }
    runtime.answer(exchange, OK, body);
  }
}
