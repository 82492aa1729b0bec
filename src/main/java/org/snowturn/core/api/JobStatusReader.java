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
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Finds the status of a job: at once if its final state is known, from the cache of live jobs once
 * that is proven fresh, and else from the stored records. Refuses the user's request where the
 * status cannot be found out.
 */
final class JobStatusReader {
  /** For requests to the state service on which a user waits. */
  static final int TIMEOUT_MS = 1800;

  private final CoreRuntime runtime;
  private final StateRequestRelay relay;
  private final LiveJobCache liveJobs;
  private final CancelledJobs cancelled;
  private final JobStatusCache statuses;
  private final UserResponses responses;

  JobStatusReader(
      CoreRuntime runtime,
      StateRequestRelay relay,
      LiveJobCache liveJobs,
      CancelledJobs cancelled,
      JobStatusCache statuses,
      UserResponses responses) {
    this.runtime = runtime;
    this.relay = relay;
    this.liveJobs = liveJobs;
    this.cancelled = cancelled;
    this.statuses = statuses;
    this.responses = responses;
  }

  /**
   * Finds a job's status.
   *
   * @param exchange refused if the status cannot be found out
   * @param then takes the status, or null if nobody submitted the job
   */
  void read(long exchange, String id, Consumer<JobStatus> then) {
    JobStatus known = statuses.finished(id);
    if (known != null) {
      then.accept(known);
    } else if (liveJobs.known() && relay.direct()) {
      liveJobs.whenFresh(() -> readFromCache(exchange, id, then), () -> responses.refuse(exchange));
    } else {
      readRecords(exchange, id, then);
    }
  }

  private void readFromCache(long exchange, String id, Consumer<JobStatus> then) {
    LiveJobs.Seen live = liveJobs.get(id);
    if (live == null) {
      readFinalRecord(exchange, id, () -> readRecords(exchange, id, then), then);
    } else if (!live.cancelled() && mayNeedCancelled(live.awaits())) {
      responses.refuse(exchange);
    } else {
      JobStatus.Phase phase = live.cancelled() ? JobStatus.Phase.ABORTED : JobStatus.Phase.QUEUED;
      then.accept(statuses.ofPhase(id, phase));
    }
  }

  /** Reads the live record, then the final one: a job's record only moves that way. */
  private void readRecords(long exchange, String id, Consumer<JobStatus> then) {
    readRecord(
        RequestClass.READS,
        exchange,
        StorageKeys.job(id),
        live -> {
          if (live == null) {
            readFinalRecord(exchange, id, () -> then.accept(null), then);
          } else if (!JobRecord.phaseOf(live.value()).isTerminal()
              && mayNeedCancelled(JobRecord.awaits(live.value()))) {
            responses.refuse(exchange);
          } else {
            then.accept(statuses.ofRecord(id, live.value()));
          }
        });
  }

  private void readFinalRecord(
      long exchange, String id, Runnable absent, Consumer<JobStatus> then) {
    readRecord(
        RequestClass.USERS,
        exchange,
        StorageKeys.finishedJob(id),
        record -> {
          if (record == null) {
            absent.run();
          } else {
            then.accept(statuses.ofRecord(id, record.value()));
          }
        });
  }

  /**
   * Reads one record.
   *
   * @param exchange refused if the record cannot be read
   * @param then takes the record, or null if there is none
   */
  void readRecord(
      RequestClass purpose, long exchange, String key, Consumer<StateMessage.Entry> then) {
    relay.callState(
        purpose,
        "GET",
        "/kv/" + key,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome.notFound(status)) {
            then.accept(null);
            return;
          }
          if (outcome.succeeded(status)) {
            try {
              then.accept(StateMessage.entry(body));
              return;
            } catch (MalformedException e) {
              runtime
                  .events()
                  .info(LogEvent.RECORD_UNREADABLE)
                  .with(LogField.KEY, key)
                  .with(LogField.ERROR, e.getMessage())
                  .write();
            }
          }
          responses.refuse(exchange);
        });
  }

  /**
   * Whether one of these jobs, or of those that they depend on, is or may be cancelled: then so is
   * the dependent job, but its record does not say so yet, after an outage perhaps longer than it
   * may be called queued. It is not called anything until it does, nor while this node may not have
   * heard of the cancellation.
   */
  private boolean mayNeedCancelled(List<String> dependencies) {
    if (!dependencies.isEmpty() && !cancelled.current()) {
      return true;
    }
    Set<String> seen = new HashSet<>(dependencies);
    ArrayDeque<String> next = new ArrayDeque<>(dependencies);
    while (!next.isEmpty()) {
      String id = next.poll();
      if (cancelled.known(id)) {
        return true;
      }
      LiveJobs.Seen live = liveJobs.get(id);
      for (String dependency : live == null ? List.<String>of() : live.awaits()) {
        if (seen.add(dependency)) {
          next.add(dependency);
        }
      }
    }
    return false;
  }
}
