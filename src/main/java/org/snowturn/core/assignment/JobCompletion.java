package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.EventLog;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/** Replaces the live records of finished and aborted jobs by their short final records. */
final class JobCompletion {
  /**
   * Time before the deadline that only jobs without a deadline exceed. Their deadline is a time in
   * the far future.
   */
  private static final double NO_DEADLINE_S = 1e9;

  private static final int OK = 200;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final TaskAssignments assignments;

  /** Creates the completion of jobs for a term. */
  JobCompletion(
      CoreRuntime runtime, FormatGate gate, RecordWriter writer, TaskAssignments assignments) {
    this.runtime = runtime;
    this.gate = gate;
    this.writer = writer;
    this.assignments = assignments;
  }

  /**
   * Replaces the records of a job by its final record if the job is finished or aborted. The
   * transaction that writes the final record makes all results durable at once.
   */
  void finishIfEnded(Job job) {
    if (job.isFinishing() || !hasEnded(job) || assignments.job(job.spec.id()) != job) {
      return;
    }
    if (job.taskRecords().values().stream().anyMatch(PendingRecord::isInFlight)) {
      return; // retried once that write has completed
    }
    job.beginFinishing();
    JobStatus.Phase phase =
        job.isCancellationRecorded() ? JobStatus.Phase.ABORTED : JobStatus.Phase.DONE;
    List<Change> changes = finalRecordChanges(job, phase);
    List<Change> deletes = cleanupDeletes(job);
    // When many jobs finish together, the deletes are deferred so that other writes come first.
    int maxDeletes = writer.isBacklogged() ? 0 : gate.limits().maxTransactionOps() - changes.size();
    int included = Math.min(deletes.size(), Math.max(0, maxDeletes));
    changes.addAll(deletes.subList(0, included));
    write(job, phase, changes, deletes.subList(included, deletes.size()));
  }

  private static boolean hasEnded(Job job) {
    return job.isCancellationRecorded() ? job.assigned() == 0 : job.done() == job.taskCount();
  }

  /** Returns the changes that replace the live record of the job by its final one. */
  private static List<Change> finalRecordChanges(Job job, JobStatus.Phase phase) {
    String id = job.spec.id();
    List<Change> changes = new ArrayList<>();
    changes.add(Change.put(StorageKeys.finishedJob(id), JobRecord.finishedJson(phase, job.spec)));
    changes.add(Change.delete(StorageKeys.job(id)));
    if (job.restarts() > 0) {
      changes.add(Change.delete(StorageKeys.restarts(id)));
    }
    return changes;
  }

  /** Returns the deletes of the job's chunks and task records, which may be executed later. */
  private List<Change> cleanupDeletes(Job job) {
    List<Change> deletes = new ArrayList<>();
    JobRecord.chunkKeys(job.spec.id(), job.submission(), job.chunkCount())
        .forEach(key -> deletes.add(Change.delete(key)));
    for (PendingRecord record : job.taskRecords().values()) {
      writer.cancelWrite(record);
      addDeleteIfStored(record, deletes);
    }
    job.firstFormatRecords().forEach(record -> addDeleteIfStored(record, deletes));
    return deletes;
  }

  private void write(
      Job job, JobStatus.Phase phase, List<Change> changes, List<Change> deferredDeletes) {
    String id = job.spec.id();
    // Other jobs may depend on the results; the user already knows of a cancellation.
    writer.submit(
        phase == JobStatus.Phase.DONE
            ? RecordWriter.TransactionPriority.NORMAL
            : RecordWriter.TransactionPriority.BACKGROUND,
        List.of(new Condition(StorageKeys.job(id), job.version())),
        changes,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == OK) {
            logFinished(job, phase);
            assignments.registry().remove(id);
            writer.deleteLater(List.of(), deferredDeletes);
          } else {
            assignments.registry().reread(id, () -> handleFailedWrite(job, deferredDeletes));
          }
        });
  }

  private void handleFailedWrite(Job job, List<Change> deferredDeletes) {
    job.abortFinishing();
    if (assignments.job(job.spec.id()) != job) {
      // The job is no longer live: the transaction was executed and only its reply was lost.
      writer.deleteLater(List.of(), deferredDeletes);
    }
  }

  private static void addDeleteIfStored(PendingRecord record, List<Change> deletes) {
    if (record.isStored()) {
      deletes.add(Change.delete(record.key()));
    }
  }

  /** Logs the times, restarts and lateness of a finished job for the operator. */
  private void logFinished(Job job, JobStatus.Phase phase) {
    double lateS = (runtime.wallMs() - job.deadlineWallMs(1)) / 1000;
    EventLog.Line line =
        runtime
            .events()
            .info(LogEvent.JOB_FINISHED)
            .with(LogField.JOB, job.spec.id())
            .with(LogField.PHASE, phase.wireName())
            .with(LogField.TASKS, job.taskCount())
            .with(LogField.ESTIMATE_S, job.spec.estimateS())
            .with(LogField.MEDIAN_S, job.medianRunTimeS())
            .with(
                LogField.PLACED_AFTER_S,
                secondsAfterSubmission(
                    job, Math.max(job.scheduling.placedWallMs(), job.submittedWallMs)))
            .with(LogField.DONE_AFTER_S, secondsAfterSubmission(job, runtime.wallMs()))
            .with(LogField.RELEASED_AFTER_S, secondsAfterSubmission(job, job.releasedWallMs()))
            .with(LogField.RESTARTS, job.restarts());
    if (lateS >= -NO_DEADLINE_S) {
      line.with(LogField.LATE_S, lateS);
    }
    line.write();
  }

  private static double secondsAfterSubmission(Job job, long wallMs) {
    return (wallMs - job.submittedWallMs) / 1000.0;
  }
}
