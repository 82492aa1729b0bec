package org.snowturn.core.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.JobLookup;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Accepts jobs, each by a transaction that writes its live record if the job has none. A repeated
 * submission is idempotent: it gets the job's status, whatever is found about the job today.
 */
final class JobSubmission {
  private static final int TOO_MANY_REQUESTS = 429;

  /** Users wait five seconds; what was found is remembered for their next try. */
  private static final long DEPENDENCY_LOOKUP_MS = 3_500;

  private final CoreRuntime runtime;
  private final JobApi.Services services;
  private final SubmissionValidator validator;
  private final JobStatusCache statuses;
  private final JobStatusReader reader;
  private final UserResponses responses;

  JobSubmission(
      CoreRuntime runtime,
      JobApi.Services services,
      SubmissionValidator validator,
      JobStatusCache statuses,
      JobStatusReader reader,
      UserResponses responses) {
    this.runtime = runtime;
    this.services = services;
    this.validator = validator;
    this.statuses = statuses;
    this.reader = reader;
    this.responses = responses;
  }

  /** Accepts a job or answers why not. */
  void submit(long exchange, JobSpec spec) {
    if (responses.refusedForNow(exchange)) {
      return;
    }
    if (!validator.ready()) {
      answerIfKnown(exchange, spec);
      return;
    }
    String rejection = validator.rejection(spec);
    if (rejection != null) {
      reject(exchange, spec, rejection);
    } else if (spec.dependencies().isEmpty()) {
      write(exchange, spec);
    } else if (!services.format().open()) {
      // A node of the previous version would not make the job wait for its dependencies.
      answerIfKnown(exchange, spec);
    } else {
      checkDependencies(exchange, spec);
    }
  }

  /** Answers with the status of a job that is known already; refuses another one for now. */
  private void answerIfKnown(long exchange, JobSpec spec) {
    answerIfKnown(exchange, spec, () -> responses.refuse(exchange));
  }

  /** Rejects a job for good, unless it is known already. */
  private void reject(long exchange, JobSpec spec, String reason) {
    answerIfKnown(exchange, spec, () -> responses.invalid(exchange, reason));
  }

  private void answerIfKnown(long exchange, JobSpec spec, Runnable otherwise) {
    reader.read(
        exchange,
        spec.id(),
        status -> {
          if (status != null) {
            responses.brief(exchange, status);
          } else {
            otherwise.run();
          }
        });
  }

  /** Every dependency must have been accepted, by whichever node and version. */
  private void checkDependencies(long exchange, JobSpec spec) {
    Map<String, Boolean> serviceByJob = new HashMap<>();
    List<String> unknown = new ArrayList<>();
    for (String id : spec.dependencies()) {
      Boolean service = statuses.acceptedService(id);
      if (service == null) {
        unknown.add(id);
      } else {
        serviceByJob.put(id, service);
      }
    }
    JobLookup.find(
        runtime,
        RequestClass.USERS,
        JobLookup.LIVE_FIRST,
        unknown,
        DEPENDENCY_LOOKUP_MS,
        (found, complete) -> {
          found.forEach((id, fact) -> serviceByJob.put(id, fact.service()));
          statuses.addAccepted(serviceByJob);
          if (complete) {
            writeOrReject(
                exchange, spec, SubmissionValidator.rejection(spec.dependencies(), serviceByJob));
          } else {
            responses.refuse(exchange);
          }
        });
  }

  private void writeOrReject(long exchange, JobSpec spec, String rejection) {
    if (rejection == null) {
      write(exchange, spec);
    } else {
      reject(exchange, spec, rejection);
    }
  }

  private void write(long exchange, JobSpec spec) {
    String flow = spec.jobClass() + "/" + spec.team();
    if (!services.admission().admits(flow, 1, runtime.now())) {
      answerUnderPressure(exchange, spec);
      return;
    }
    JobRecord job = new JobRecord(JobStatus.Phase.QUEUED, runtime.wallMs(), spec);
    int maxBytes = services.format().limits().maxValueBytes();
    ObjectNode record = job.live();
    if (!services.format().open() || Json.bytes(record).length <= maxBytes) {
      commit(exchange, spec, record, List.of());
      return;
    }
    String text = Json.text(spec.toJson());
    List<ObjectNode> chunks = JobRecord.split(text, maxBytes);
    JobRecord chunked = job.inParts(JobRecord.submissionName(text, maxBytes), chunks.size());
    new ChunkedSubmission(runtime, services, spec, chunked, chunks, chunkListener(exchange, spec))
        .start();
  }

  /** A known job's repeat is answered whatever the pressure, from what is at hand. */
  private void answerUnderPressure(long exchange, JobSpec spec) {
    LiveJobCache liveJobs = services.liveJobs();
    if (statuses.isAccepted(spec.id()) || (liveJobs.known() && liveJobs.get(spec.id()) != null)) {
      answerIfKnown(exchange, spec);
    } else {
      responses.refuse(exchange);
    }
  }

  private ChunkedSubmission.Listener chunkListener(long exchange, JobSpec spec) {
    return new ChunkedSubmission.Listener() {
      @Override
      public void stored(ObjectNode record, Condition firstChunkUnchanged) {
        commit(exchange, spec, record, List.of(firstChunkUnchanged));
      }

      @Override
      public void unreadable() {
        responses.refuse(exchange);
      }

      @Override
      public void failed() {
        answerIfKnown(exchange, spec);
      }
    };
  }

  /** Conditions that hold as long as no job of this name has been accepted. */
  static List<Condition> isNew(String id) {
    return List.of(
        new Condition(StorageKeys.job(id), 0), new Condition(StorageKeys.finishedJob(id), 0));
  }

  private void commit(
      long exchange, JobSpec spec, ObjectNode record, List<Condition> chunkConditions) {
    List<Condition> conditions = new ArrayList<>(isNew(spec.id()));
    conditions.addAll(chunkConditions);
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "POST",
            "/txn",
            StateMessage.transaction(
                conditions, List.of(Change.put(StorageKeys.job(spec.id()), record))),
            JobStatusReader.TIMEOUT_MS,
            (outcome, status, reply) -> {
              if (outcome.succeeded(status)) {
                statuses.addAccepted(spec.id(), spec.isService());
                responses.accepted(exchange, spec.id());
              } else if (outcome.conflict(status)) {
                answerIfKnown(exchange, spec);
              } else {
                if (status == TOO_MANY_REQUESTS) {
                  services.admission().onServiceRefusal(runtime.now());
                }
                responses.refuse(exchange);
              }
            });
  }
}
