package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;

/** Answers users' requests, each of which is named by its exchange. */
final class UserResponses {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;

  private final CoreRuntime runtime;
  private final AdmissionController admission;
  private final CancelledJobs cancelled;
  private final BooleanSupplier stateServiceReachable;

  /**
   * Answers by these.
   *
   * @param stateServiceReachable whether requests to the state service may succeed at present
   */
  UserResponses(
      CoreRuntime runtime,
      AdmissionController admission,
      CancelledJobs cancelled,
      BooleanSupplier stateServiceReachable) {
    this.runtime = runtime;
    this.admission = admission;
    this.cancelled = cancelled;
    this.stateServiceReachable = stateServiceReachable;
  }

  /** Refuses at once what needs the state service while that does not answer; tells whether. */
  boolean refusedForNow(long exchange) {
    if (stateServiceReachable.getAsBoolean()) {
      return false;
    }
    refuse(exchange);
    return true;
  }

  /** Answers that the request cannot be served now, with a time to come back. */
  void refuse(long exchange) {
    runtime.answerUnavailable(exchange, UNAVAILABLE, admission.retryAfterS(runtime.now()));
  }

  /** Answers that there is no such job. */
  void notFound(long exchange) {
    runtime.answer(exchange, NOT_FOUND, null);
  }

  /** Answers that a submission can never be accepted. */
  void invalid(long exchange, String reason) {
    runtime.answer(exchange, UNPROCESSABLE, Json.object().put("error", reason));
  }

  /** Answers that a job was accepted. */
  void accepted(long exchange, String job) {
    JobStatus queued = new JobStatus(job, JobStatus.Phase.QUEUED, 0, 0);
    runtime.answer(exchange, CREATED, queued.toSummaryJson());
  }

  /** Answers with the short form of a job's status. */
  void brief(long exchange, JobStatus status) {
    answer(exchange, status, status.toSummaryJson());
  }

  /** Answers with all of a job's status. */
  void full(long exchange, JobStatus status) {
    answer(exchange, status, status.toJson());
  }

  /**
   * Whoever hears of a cancellation may rely on it from then on, so it is logged for the leader
   * before the answer leaves.
   */
  private void answer(long exchange, JobStatus status, JsonNode body) {
    if (status.phase() == JobStatus.Phase.ABORTED) {
      cancelled.confirm(status.id());
    }
    if (runtime.events().debug()) {
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
