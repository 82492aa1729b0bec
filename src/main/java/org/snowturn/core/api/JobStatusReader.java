package org.snowturn.core.api;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.LiveJobs;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Determines the status of a job: at once if its final status is known, else from the validated
 * cache of live jobs, or else from the stored records. Refuses the user's request if the status
 * cannot be determined.
 */
final class JobStatusReader {
  /** Timeout of requests to the state service for which a user is waiting, in milliseconds. */
  static final int STATE_REQUEST_TIMEOUT_MS = 1800;

  /** Number of jobs for which the time of the latest progress is kept. */
  private static final int MAX_HEARD = 5_000;

  private final CoreRuntime runtime;
  private final StateRequestRelay relay;
  private final LiveJobCache liveJobs;
  private final CancelledJobs cancelled;
  private final JobStatusCache statuses;
  private final UserResponses responses;
  private final ProgressLookup progressLookup;

  JobStatusReader(
      CoreRuntime runtime,
      StateRequestRelay relay,
      LiveJobCache liveJobs,
      CancelledJobs cancelled,
      JobStatusCache statuses,
      UserResponses responses,
      Consumer<List<String>> requestProgress) {
    this.runtime = runtime;
    this.relay = relay;
    this.liveJobs = liveJobs;
    this.cancelled = cancelled;
    this.statuses = statuses;
    this.responses = responses;
    this.progressLookup = new ProgressLookup(runtime, new LruMap<>(MAX_HEARD), requestProgress);
  }

  /** Handles the progress of a job that the leader has published. */
  void onProgress(String job) {
    progressLookup.onProgress(job);
  }

  /**
   * Determines a job's status.
   *
   * @param exchange id of the user's exchange, which is refused if the status cannot be determined
   * @param onStatus handler of the status; receives null if the job does not exist
   */
  void read(long exchange, String id, Consumer<JobStatus> onStatus) {
    JobStatus known = statuses.finalStatus(id);
    if (known != null) {
      onStatus.accept(known);
    } else if (liveJobs.isLoaded() && relay.hasDirectLink()) {
      liveJobs.whenFresh(
          () -> readFromCache(exchange, id, onStatus), () -> responses.refuse(exchange));
    } else {
      readRecords(exchange, id, onStatus);
    }
  }

  private void readFromCache(long exchange, String id, Consumer<JobStatus> onStatus) {
    LiveJobs.CachedJob live = liveJobs.get(id);
    if (live == null) {
      readFinalRecord(exchange, id, () -> readRecords(exchange, id, onStatus), onStatus);
    } else if (!live.cancelled() && mayHaveCancelledDependency(live.dependencies())) {
      responses.refuse(exchange);
    } else {
      JobStatus.Phase phase = live.cancelled() ? JobStatus.Phase.ABORTED : JobStatus.Phase.QUEUED;
      acceptLive(statuses.ofPhase(id, phase), onStatus);
    }
  }

  /**
   * Passes on the status of a job. One that seems to wait may run by now: the leader is asked
   * unless its word is recent.
   */
  private void acceptLive(JobStatus status, Consumer<JobStatus> onStatus) {
    if (status.phase() != JobStatus.Phase.QUEUED) {
      onStatus.accept(status);
      return;
    }
    progressLookup.whenKnown(
        status.id(),
        () -> {
          JobStatus known = statuses.finalStatus(status.id());
          onStatus.accept(
              known != null ? known : statuses.ofPhase(status.id(), JobStatus.Phase.QUEUED));
        });
  }

  /** Reads the live record, then the final one. A record moves only in this direction. */
  private void readRecords(long exchange, String id, Consumer<JobStatus> onStatus) {
    readRecord(
        RequestClass.READS,
        exchange,
        StorageKeys.job(id),
        live -> {
          if (live == null) {
            readFinalRecord(exchange, id, () -> onStatus.accept(null), onStatus);
          } else if (!JobRecord.phaseOf(live.value()).isTerminal()
              && mayHaveCancelledDependency(JobRecord.dependencies(live.value()))) {
            responses.refuse(exchange);
          } else {
            acceptLive(statuses.ofRecord(id, live.value()), onStatus);
          }
        });
  }

  private void readFinalRecord(
      long exchange, String id, Runnable onAbsent, Consumer<JobStatus> onStatus) {
    readRecord(
        RequestClass.USERS,
        exchange,
        StorageKeys.finishedJob(id),
        record -> {
          if (record == null) {
            onAbsent.run();
          } else {
            onStatus.accept(statuses.ofRecord(id, record.value()));
          }
        });
  }

  /**
   * Reads one record.
   *
   * @param requestClass purpose of the read
   * @param exchange id of the user's exchange, which is refused if the record cannot be read
   * @param onRecord handler of the record; receives null if there is none
   */
  void readRecord(
      RequestClass requestClass, long exchange, String key, Consumer<StateMessage.Entry> onRecord) {
    relay.callState(
        requestClass,
        "GET",
        "/kv/" + key,
        null,
        STATE_REQUEST_TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome.isNotFound(status)) {
            onRecord.accept(null);
            return;
          }
          if (outcome.isSuccess(status)) {
            try {
              onRecord.accept(StateMessage.entry(body));
              return;
            } catch (MalformedException e) {
              runtime.events().unreadable(LogEvent.RECORD_UNREADABLE, LogField.KEY, key, e);
            }
          }
          responses.refuse(exchange);
        });
  }

  /**
   * Returns whether one of the jobs, or a job on which they depend directly or indirectly, is or
   * may be cancelled. The dependent job is then cancelled as well, but its record may not show this
   * yet; after an outage, possibly not until after it may still be reported as queued. Its status
   * is withheld until the record shows the cancellation, and also while this node may have missed a
   * cancellation.
   */
  private boolean mayHaveCancelledDependency(List<String> dependencies) {
    if (!dependencies.isEmpty() && !cancelled.canReportLive()) {
      return true;
    }
    Set<String> visited = new HashSet<>(dependencies);
    ArrayDeque<String> pending = new ArrayDeque<>(dependencies);
    while (!pending.isEmpty()) {
      String id = pending.poll();
      if (cancelled.isKnownCancelled(id)) {
        return true;
      }
      LiveJobs.CachedJob live = liveJobs.get(id);
      for (String dependency : live == null ? List.<String>of() : live.dependencies()) {
        if (visited.add(dependency)) {
          pending.add(dependency);
        }
      }
    }
    return false;
  }
}
