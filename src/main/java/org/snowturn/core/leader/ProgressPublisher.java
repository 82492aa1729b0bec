package org.snowturn.core.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.api.JobApi;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;

/** Publishes the progress of each job to the peers, which answer users' polls as well. */
final class ProgressPublisher {
  private static final long INTERVAL_MS = 1_000;

  private final CoreRuntime runtime;
  private final String nodeName;
  private final JobApi jobApi;
  private final TaskAssignments assignments;
  private final Map<String, PeerMessage.JobProgress> lastPublished = new HashMap<>();
  private final long maxReportAgeMs;
  private long nextPublishAt;

  ProgressPublisher(LeaderDependencies shared, TaskAssignments assignments) {
    this.runtime = shared.runtime();
    this.nodeName = shared.settings().node();
    this.jobApi = shared.jobApi();
    this.assignments = assignments;
    this.maxReportAgeMs = HeartbeatProcessor.leaseExpiryMs(shared.settings());
  }

  /** Publishes the progress that has changed since the last time, if that is due. */
  void tick() {
    if (runtime.now() < nextPublishAt) {
      return;
    }
    nextPublishAt = runtime.now() + INTERVAL_MS;
    lastPublished.keySet().removeIf(id -> assignments.job(id) == null);
    for (Job job : assignments.jobs()) {
      PeerMessage.JobProgress progress = progressOf(job);
      if (!progress.equals(lastPublished.put(job.spec.id(), progress))) {
        publish(progress);
      }
    }
  }

  /** Publishes the progress of these jobs. */
  void publish(List<String> jobs) {
    for (String id : jobs) {
      Job job = assignments.job(id);
      publish(job == null ? progressOfUnknown(id) : progressOf(job));
    }
  }

  /**
   * Returns the progress of a job that is not live, of which no task runs, or whose record is
   * unreadable: machines may still report its tasks.
   */
  private PeerMessage.JobProgress progressOfUnknown(String id) {
    long reportedAt = assignments.registry().quarantinedReportedAt(id);
    boolean isRunning =
        reportedAt != MonotonicTime.UNSET && runtime.now() - reportedAt <= maxReportAgeMs;
    return new PeerMessage.JobProgress(nodeName, id, 0, isRunning ? 1 : 0);
  }

  private void publish(PeerMessage.JobProgress progress) {
    jobApi.onProgress(progress);
    runtime.broadcast(progress);
  }

  private PeerMessage.JobProgress progressOf(Job job) {
    return new PeerMessage.JobProgress(nodeName, job.spec.id(), job.done(), job.running());
  }
}
