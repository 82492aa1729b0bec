package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.wire.JobStatus;

/**
 * What this node remembers of jobs and may tell without asking the state service, since it never
 * changes; and the leader's counts of tasks, which are for display.
 */
final class JobStatusCache {
  private static final int MAX_FINISHED = 20_000;
  private static final int MAX_ACCEPTED = 5_000;
  private static final int MAX_IN_PROGRESS = 5_000;

  private final Map<String, JobStatus> finished = new LruMap<>(MAX_FINISHED);
  private final Map<String, Boolean> acceptedServices = new LruMap<>(MAX_ACCEPTED);
  private final Map<String, PeerMessage.JobProgress> progress = new LruMap<>(MAX_IN_PROGRESS);

  /** The leader tells how far a job is. */
  void onProgress(PeerMessage.JobProgress latest) {
    progress.put(latest.job(), latest);
  }

  /** Whether the job is known to be in a final state. */
  boolean isFinished(String id) {
    return finished.containsKey(id);
  }

  /** A job's final state; null if none is known. */
  JobStatus finished(String id) {
    return finished.get(id);
  }

  /** A job's final state is durable. */
  void addFinished(JobStatus status) {
    finished.put(status.id(), status);
  }

  /** Whether the job is known to have been accepted. */
  boolean isAccepted(String id) {
    return acceptedServices.containsKey(id);
  }

  /** Whether an accepted job is a service; null if it is not known to have been accepted. */
  Boolean acceptedService(String id) {
    return acceptedServices.get(id);
  }

  /** A job has been accepted. */
  void addAccepted(String id, boolean service) {
    acceptedServices.put(id, service);
  }

  /**
   * Jobs have been accepted.
   *
   * @param services whether each is a service, by its id
   */
  void addAccepted(Map<String, Boolean> services) {
    acceptedServices.putAll(services);
  }

  /** The status of a job by its stored record, live or final. */
  JobStatus ofRecord(String id, JsonNode value) {
    JobStatus.Phase phase = JobRecord.phaseOf(value);
    if (phase != JobStatus.Phase.DONE) {
      return ofPhase(id, phase);
    }
    int tasks = value.has("n") ? value.path("n").asInt() : value.path("s").path("flakes").asInt();
    return finish(new JobStatus(id, phase, tasks, 0));
  }

  /** The status of a job by the phase that its live record shows. */
  JobStatus ofPhase(String id, JobStatus.Phase phase) {
    PeerMessage.JobProgress latest = progress.get(id);
    int done = latest == null ? 0 : latest.done();
    if (phase.isTerminal()) {
      return finish(new JobStatus(id, phase, done, 0));
    }
    int running = latest == null ? 0 : latest.running();
    return new JobStatus(id, running > 0 ? JobStatus.Phase.RUNNING : phase, done, running);
  }

  private JobStatus finish(JobStatus status) {
    finished.put(status.id(), status);
    progress.remove(status.id());
    return status;
  }
}
