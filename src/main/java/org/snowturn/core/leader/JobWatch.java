package org.snowturn.core.leader;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.model.Job;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/** Watches the job records in the state service and applies their changes to the term's jobs. */
final class JobWatch {
  /** Time for which the state service holds a watch request open while nothing changes. */
  private static final int MAX_HOLD_MS = 10_000;

  private static final int REQUEST_TIMEOUT_MS = 12_000;
  private static final long RETRY_DELAY_MS = 200;
  private static final int OK = 200;

  /** HTTP status for a watch that starts at a revision which the state service has discarded. */
  private static final int REVISION_COMPACTED = 410;

  private final CoreRuntime runtime;
  private final Term term;
  private final CancellationWatermark watermark;
  private final TaskAssignments assignments;
  private boolean isRequestInFlight;
  private long nextRevision;
  private long nextRequestAt;

  JobWatch(LeaderDependencies shared, Term term, TaskAssignments assignments) {
    this.runtime = shared.runtime();
    this.watermark = shared.watermark();
    this.term = term;
    this.assignments = assignments;
  }

  /** Sets the revision of the state service from which changes are watched. */
  void startFrom(long revision) {
    nextRevision = revision;
  }

  /** Sends the next watch request if none is in flight and the retry delay is over. */
  void tick() {
    if (!isRequestInFlight && runtime.now() >= nextRequestAt) {
      watch();
    }
  }

  private void watch() {
    isRequestInFlight = true;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.WORK,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + nextRevision + "&hold_ms=" + MAX_HOLD_MS,
        REQUEST_TIMEOUT_MS,
        (outcome, status, body) -> {
          isRequestInFlight = false;
          if (term.hasEnded()) {
            return;
          }
          if (outcome == Outcome.ANSWERED && status == OK) {
            applyChanges(body, sentAt);
            return;
          }
          nextRequestAt = runtime.now() + RETRY_DELAY_MS;
          if (status == REVISION_COMPACTED) {
            readAll();
          }
        });
  }

  private void applyChanges(JsonNode body, long sentAt) {
    try {
      for (StateMessage.Entry change : StateMessage.changes(body)) {
        if (change.version() > nextRevision) {
          applyEntry(change);
        }
      }
      nextRevision = Math.max(nextRevision, StateMessage.revision(body));
      watermark.onLiveJobsRead(sentAt);
      assignments.retryFinishing();
    } catch (MalformedException e) {
      nextRequestAt = runtime.now() + RETRY_DELAY_MS;
    }
  }

  /** Reads all jobs again because some changes can no longer be watched. */
  private void readAll() {
    isRequestInFlight = true;
    new RangeReader(runtime, term::hasEnded)
        .read(
            StorageKeys.JOBS,
            range -> {
              if (term.hasEnded()) {
                return;
              }
              isRequestInFlight = false;
              nextRevision = range.oldestRevision();
              range.entries().forEach(this::applyEntry);
            });
  }

  private void applyEntry(StateMessage.Entry entry) {
    String id = entry.key().substring(StorageKeys.JOBS.length());
    Job knownJob = assignments.job(id);
    if (entry.value() == null) {
      if (knownJob != null && entry.version() >= knownJob.version()) {
        assignments.registry().remove(id);
      }
      return;
    }
    if (knownJob != null && knownJob.version() >= entry.version()) {
      return;
    }
    if (JobRecord.phaseOf(entry.value()) == JobStatus.Phase.ABORTED) {
      watermark.learn(id);
    }
    try {
      assignments.registry().add(id, JobRecord.parse(entry.value()), entry.version());
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.RECORD_UNREADABLE, LogField.KEY, entry.key(), e);
    }
  }
}
