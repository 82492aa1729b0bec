package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.wire.JobStatus;

/**
 * Caches final statuses and acceptances of jobs, which never change and can be reported without
 * asking the state service. Also holds the leader's task counts, which are for display.
 */
final class JobStatusCache {
  private static final int MAX_FINISHED = 20_000;
  private static final int MAX_ACCEPTED = 5_000;
  private static final int MAX_IN_PROGRESS = 5_000;

  private final Map<String, JobStatus> finalStatuses = new LruMap<>(MAX_FINISHED);
  private final Map<String, Boolean> isServiceByAcceptedJob = new LruMap<>(MAX_ACCEPTED);
  private final Map<String, PeerMessage.JobProgress> latestProgress = new LruMap<>(MAX_IN_PROGRESS);

  /** Records the progress of a job that the leader has published. */
  void onProgress(PeerMessage.JobProgress latest) {
    latestProgress.put(latest.job(), latest);
  }

  /** Returns whether the job is known to be in a final state. */
  boolean isFinished(String id) {
    return finalStatuses.containsKey(id);
  }

  /** Returns a job's final status, or null if none is known. */
  JobStatus finalStatus(String id) {
    return finalStatuses.get(id);
  }

  /** Adds a job's final status, which must be durable. */
  void addFinished(JobStatus status) {
    finalStatuses.put(status.id(), status);
  }

  /** Returns whether the job is known to have been accepted. */
  boolean isAccepted(String id) {
    return isServiceByAcceptedJob.containsKey(id);
  }

  /** Returns whether an accepted job is a service, or null if no acceptance is known. */
  Boolean isAcceptedService(String id) {
    return isServiceByAcceptedJob.get(id);
  }

  /** Adds a job that has been accepted. */
  void addAccepted(String id, boolean isService) {
    isServiceByAcceptedJob.put(id, isService);
  }

  /**
   * Adds jobs that have been accepted.
   *
   * @param isServiceByJob whether each job is a service, by job id
   */
  void addAccepted(Map<String, Boolean> isServiceByJob) {
    isServiceByAcceptedJob.putAll(isServiceByJob);
  }

  /** Returns the status that a job's stored record shows, live or final; caches a final one. */
  JobStatus ofRecord(String id, JsonNode value) {
    JobStatus.Phase phase = JobRecord.phaseOf(value);
    if (phase != JobStatus.Phase.DONE) {
      return ofPhase(id, phase);
    }
    int tasks = value.has("n") ? value.path("n").asInt() : value.path("s").path("flakes").asInt();
    return cacheFinal(new JobStatus(id, phase, tasks, 0));
  }

  /** Returns the status of a job in a phase with its latest counts; caches a final one. */
  JobStatus ofPhase(String id, JobStatus.Phase phase) {
    PeerMessage.JobProgress latest = latestProgress.get(id);
    int done = latest == null ? 0 : latest.done();
    if (phase.isTerminal()) {
      return cacheFinal(new JobStatus(id, phase, done, 0));
    }
    int running = latest == null ? 0 : latest.running();
    return new JobStatus(id, running > 0 ? JobStatus.Phase.RUNNING : phase, done, running);
  }

  private JobStatus cacheFinal(JobStatus status) {
    finalStatuses.put(status.id(), status);
    latestProgress.remove(status.id());
    return status;
  }
}
