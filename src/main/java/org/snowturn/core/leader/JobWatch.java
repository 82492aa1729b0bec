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

/** Watches the job records of the state service and applies their changes to the term's jobs. */
final class JobWatch {
  /** How long the state service holds a watch open while nothing changes. */
  private static final int HOLD_MS = 10_000;

  private static final int TIMEOUT_MS = 12_000;
  private static final long RETRY_MS = 200;
  private static final int OK = 200;

  /** The revision from which on changes are wanted is no longer kept. */
  private static final int COMPACTED = 410;

  private final CoreRuntime runtime;
  private final Term term;
  private final CancellationWatermark watermark;
  private final TaskAssignments assignments;
  private boolean inFlight;
  private long nextRevision;
  private long retryAt;

  JobWatch(LeaderDependencies node, Term term, TaskAssignments assignments) {
    this.runtime = node.runtime();
    this.watermark = node.watermark();
    this.term = term;
    this.assignments = assignments;
  }

  /** Sets the revision of the state service from which on changes are to be watched. */
  void startAt(long revision) {
    nextRevision = revision;
  }

  /** Sends the next watch request if none is under way and it is time for it. */
  void tick() {
    if (!inFlight && runtime.now() >= retryAt) {
      watch();
    }
  }

  private void watch() {
    inFlight = true;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.WORK,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + nextRevision + "&hold_ms=" + HOLD_MS,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          inFlight = false;
          if (term.ended()) {
            return;
          }
          if (outcome == Outcome.ANSWERED && status == OK) {
            apply(body, sentAt);
            return;
          }
          retryAt = runtime.now() + RETRY_MS;
          if (status == COMPACTED) {
            readAll();
          }
        });
  }

  private void apply(JsonNode body, long sentAt) {
    try {
      StateMessage.changes(body).forEach(this::apply);
      nextRevision = Math.max(nextRevision, StateMessage.revision(body));
      watermark.read(sentAt);
      assignments.retryFinishing();
    } catch (MalformedException e) {
      retryAt = runtime.now() + RETRY_MS;
    }
  }

  /** Reads all jobs, since changes were missed. */
  private void readAll() {
    inFlight = true;
    new RangeReader(runtime, term::ended)
        .read(
            StorageKeys.JOBS,
            range -> {
              if (term.ended()) {
                return;
              }
              inFlight = false;
              nextRevision = range.oldestRevision();
              range.entries().forEach(this::apply);
            });
  }

  private void apply(StateMessage.Entry entry) {
    String id = entry.key().substring(StorageKeys.JOBS.length());
    Job known = assignments.job(id);
    if (entry.value() == null) {
      if (known != null && entry.version() >= known.version()) {
        assignments.registry().remove(id);
      }
      return;
    }
    if (known != null && known.version() >= entry.version()) {
      return;
    }
    if (JobRecord.phaseOf(entry.value()) == JobStatus.Phase.ABORTED) {
      watermark.learn(id);
    }
    try {
      assignments.registry().add(id, JobRecord.parse(entry.value()), entry.version());
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.RECORD_UNREADABLE)
          .with(LogField.KEY, entry.key())
          .with(LogField.ERROR, e.getMessage())
          .write();
    }
  }
}
