package org.snowturn.core.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.storage.JobLookup;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;
import org.snowturn.wire.TransactionChanges;

/**
 * Accepts jobs, each by a transaction that writes its live record if the job has no record yet.
 * Submissions are idempotent: a repeated submission is answered with the job's status, even if the
 * job would no longer be accepted today.
 */
final class JobSubmission {
  private static final int TOO_MANY_REQUESTS = 429;

  /**
   * Timeout of the lookup of dependencies. Users wait 5 s, and the dependencies found are cached
   * for their next try.
   */
  private static final long DEPENDENCY_LOOKUP_TIMEOUT_MS = 3_500;

  private static final long MEMORY_LOG_INTERVAL_MS = 10_000;

  private final CoreRuntime runtime;
  private final JobApi.Services services;
  private final SubmissionValidator validator;
  private final JobStatusCache statuses;
  private final JobStatusReader reader;
  private final UserResponses responses;
  private long nextMemoryLogAt;

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

  /** Accepts a job, or answers with the reason for not accepting it. */
  void submit(long exchange, JobSpec spec) {
    if (responses.refuseIfUnreachable(exchange)) {
      return;
    }
    if (!validator.isReady()) {
      answerIfKnown(exchange, spec);
      return;
    }
    String rejection = validator.rejectionReason(spec);
    if (rejection != null) {
      reject(exchange, spec, rejection);
    } else if (spec.dependencies().isEmpty()) {
      admitAndWrite(exchange, spec);
    } else if (!services.formatGate().isOpen()) {
      // A node of the previous version would start the job without waiting for its dependencies.
      answerIfKnown(exchange, spec);
    } else {
      checkDependencies(exchange, spec);
    }
  }

  /** Answers with the status of a job that exists already; refuses a new job for now. */
  private void answerIfKnown(long exchange, JobSpec spec) {
    answerIfKnown(exchange, spec, () -> responses.refuse(exchange));
  }

  /** Rejects a new job as invalid; answers with the status of a job that exists already. */
  private void reject(long exchange, JobSpec spec, String reason) {
    answerIfKnown(exchange, spec, () -> responses.answerInvalid(exchange, reason));
  }

  private void answerIfKnown(long exchange, JobSpec spec, Runnable onNewJob) {
    reader.read(
        exchange,
        spec.id(),
        status -> {
          if (status != null) {
            responses.answerSummary(exchange, status);
          } else {
            onNewJob.run();
          }
        });
  }

  /**
   * Checks that every dependency has been accepted, by a node of any version, and then writes the
   * job.
   */
  private void checkDependencies(long exchange, JobSpec spec) {
    Map<String, Boolean> isServiceByJob = new HashMap<>();
    List<String> uncached = new ArrayList<>();
    for (String id : spec.dependencies()) {
      Boolean isService = statuses.isAcceptedService(id);
      if (isService == null) {
        uncached.add(id);
      } else {
        isServiceByJob.put(id, isService);
      }
    }
    JobLookup.find(
        runtime,
        RequestClass.USERS,
        JobLookup.LIVE_FIRST,
        uncached,
        DEPENDENCY_LOOKUP_TIMEOUT_MS,
        (found, isComplete) -> {
          found.forEach((id, storedJob) -> isServiceByJob.put(id, storedJob.isService()));
          statuses.addAccepted(isServiceByJob);
          if (isComplete) {
            writeOrReject(
                exchange,
                spec,
                SubmissionValidator.rejectionReason(spec.dependencies(), isServiceByJob));
          } else {
            responses.refuse(exchange);
          }
        });
  }

  private void writeOrReject(long exchange, JobSpec spec, String rejection) {
    if (rejection == null) {
      admitAndWrite(exchange, spec);
    } else {
      reject(exchange, spec, rejection);
    }
  }

  private void admitAndWrite(long exchange, JobSpec spec) {
    JobRecord job = new JobRecord(JobStatus.Phase.QUEUED, runtime.wallMs(), spec);
    int maxBytes =
        Math.min(
            services.formatGate().limits().maxValueBytes(), TransactionChanges.MAX_VALUE_BYTES);
    ObjectNode record = job.liveJson();
    if (!services.formatGate().isOpen() || Json.bytes(record).length <= maxBytes) {
      if (admit(exchange, spec, record)) {
        writeRecord(exchange, spec, record, List.of());
      }
      return;
    }
    String text = Json.text(spec.toJson());
    List<ObjectNode> chunks = JobRecord.split(text, maxBytes);
    JobRecord chunked = job.toChunked(JobRecord.hashSubmission(text, maxBytes), chunks.size());
    if (admit(exchange, spec, chunked.liveJson())) {
      new ChunkedSubmission(runtime, services, spec, chunked, chunks, chunkListener(exchange, spec))
          .start();
    }
  }

  /** Returns whether the job may be written now; refuses the submission if not. */
  private boolean admit(long exchange, JobSpec spec, ObjectNode record) {
    boolean isAdmitted =
        services.admission().tryAdmit(spec.jobClass() + "/" + spec.team(), 1, runtime.now())
            && hasMemory(spec, record);
    if (!isAdmitted) {
      refuseUnlessKnown(exchange, spec);
    }
    return isAdmitted;
  }

  /**
   * Returns whether a leader has memory for the job. Shortage is logged at intervals, as it lasts.
   */
  private boolean hasMemory(JobSpec spec, ObjectNode record) {
    long textBytes =
        JobRecord.submissionBytes(record, services.formatGate().limits().maxValueBytes());
    String group = JobRecord.group(record);
    if (services.memory().tryReserve(spec.id(), group, textBytes, runtime.now())) {
      return true;
    }
    if (runtime.now() >= nextMemoryLogAt) {
      nextMemoryLogAt = runtime.now() + MEMORY_LOG_INTERVAL_MS;
      runtime
          .events()
          .info(LogEvent.SUBMISSIONS_EXCEED_MEMORY)
          .with(LogField.TEAM, spec.team())
          .with(LogField.JOBS, services.liveJobs().size())
          .write();
    }
    return false;
  }

  /**
   * Refuses a submission that was not admitted, unless this node has cached that the job exists: a
   * repeated submission of such a job is answered under any load.
   */
  private void refuseUnlessKnown(long exchange, JobSpec spec) {
    LiveJobCache liveJobs = services.liveJobs();
    if (statuses.isAccepted(spec.id())
        || (liveJobs.isLoaded() && liveJobs.get(spec.id()) != null)) {
      answerIfKnown(exchange, spec);
    } else {
      responses.refuse(exchange);
    }
  }

  private ChunkedSubmission.Listener chunkListener(long exchange, JobSpec spec) {
    return new ChunkedSubmission.Listener() {
      @Override
      public void onStored(ObjectNode record, Condition firstChunkUnchanged) {
        writeRecord(exchange, spec, record, List.of(firstChunkUnchanged));
      }

      @Override
      public void onUnreadable() {
        responses.refuse(exchange);
      }

      @Override
      public void onFailed() {
        answerIfKnown(exchange, spec);
      }
    };
  }

  /** Returns conditions that hold as long as no job with this id has been accepted. */
  static List<Condition> newJobConditions(String id) {
    return List.of(
        new Condition(StorageKeys.job(id), 0), new Condition(StorageKeys.finishedJob(id), 0));
  }

  private void writeRecord(
      long exchange, JobSpec spec, ObjectNode record, List<Condition> chunkConditions) {
    List<Condition> conditions = new ArrayList<>(newJobConditions(spec.id()));
    conditions.addAll(chunkConditions);
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "POST",
            "/txn",
            StateMessage.transaction(
                conditions, List.of(Change.put(StorageKeys.job(spec.id()), record))),
            JobStatusReader.STATE_REQUEST_TIMEOUT_MS,
            (outcome, status, reply) -> {
              if (outcome.isSuccess(status)) {
                statuses.addAccepted(spec.id(), spec.isService());
                responses.answerAccepted(exchange, spec.id());
              } else if (outcome.isConflict(status)) {
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
