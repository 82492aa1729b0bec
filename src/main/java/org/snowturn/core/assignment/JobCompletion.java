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

/** Moves jobs that are over from their live records to their short ones. */
final class JobCompletion {
  /** Further ahead than any deadline: a job without one is "late" by less than the opposite. */
  private static final double NO_DEADLINE_S = 1e9;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final TaskAssignments assignments;

  JobCompletion(
      CoreRuntime runtime, FormatGate gate, RecordWriter writer, TaskAssignments assignments) {
    this.runtime = runtime;
    this.gate = gate;
    this.writer = writer;
    this.assignments = assignments;
  }

  /** Moves a job that is over to its short record, in one transaction that proves every result. */
  void finishIfOver(Job job) {
    if (job.isFinishing() || !isOver(job) || assignments.job(job.spec.id()) != job) {
      return;
    }
    for (PendingRecord record : job.taskRecords()) {
      if (record != null && record.inFlight()) {
        return; // retried when that write is settled
      }
    }
    job.beginFinishing();
    JobStatus.Phase phase =
        job.isCancellationRecorded() ? JobStatus.Phase.ABORTED : JobStatus.Phase.DONE;
    List<Change> apply = moves(job, phase);
    List<Change> drops = drops(job);
    // Where many jobs end together, what is only to be cleared away leaves the rate to others.
    int room = writer.backlogged() ? 0 : gate.limits().maxTransactionOps() - apply.size();
    int now = Math.min(drops.size(), Math.max(0, room));
    apply.addAll(drops.subList(0, now));
    write(job, phase, apply, drops.subList(now, drops.size()));
  }

  private static boolean isOver(Job job) {
    return job.isCancellationRecorded() ? job.assigned() == 0 : job.done() == job.taskCount();
  }

  /** What makes the job over. */
  private static List<Change> moves(Job job, JobStatus.Phase phase) {
    String id = job.spec.id();
    List<Change> apply = new ArrayList<>();
    apply.add(Change.put(StorageKeys.finishedJob(id), JobRecord.over(phase, job.spec)));
    apply.add(Change.delete(StorageKeys.job(id)));
    if (job.restarts() > 0) {
      apply.add(Change.delete(StorageKeys.restarts(id)));
    }
    return apply;
  }

  /** What is only to be cleared away. */
  private List<Change> drops(Job job) {
    List<Change> drops = new ArrayList<>();
    JobRecord.partKeys(job.spec.id(), job.submission(), job.chunkCount())
        .forEach(key -> drops.add(Change.delete(key)));
    for (PendingRecord record : job.taskRecords()) {
      if (record != null) {
        writer.cancel(record);
        dropIfStored(record, drops);
      }
    }
    job.firstFormatRecords().forEach(record -> dropIfStored(record, drops));
    return drops;
  }

  private void write(Job job, JobStatus.Phase phase, List<Change> apply, List<Change> later) {
    String id = job.spec.id();
    // Others may wait for a result; an abortion has been told already.
    writer.submit(
        phase == JobStatus.Phase.DONE
            ? RecordWriter.TransactionPriority.NORMAL
            : RecordWriter.TransactionPriority.BACKGROUND,
        List.of(new Condition(StorageKeys.job(id), job.version())),
        apply,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            logFinished(job, phase);
            assignments.registry().remove(id);
            writer.deleteLater(List.of(), later);
          } else {
            assignments.registry().reread(id, () -> retryLater(job, later));
          }
        });
  }

  private void retryLater(Job job, List<Change> later) {
    job.finishingFailed();
    if (assignments.job(job.spec.id()) != job) {
      // It was carried out, and only its answer was lost.
      writer.deleteLater(List.of(), later);
    }
  }

  private static void dropIfStored(PendingRecord record, List<Change> drops) {
    if (record.stored()) {
      drops.add(Change.delete(record.key()));
    }
  }

  /** What an operator wants to know of a job that is over. */
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
            .with(LogField.MEDIAN_S, job.median())
            .with(
                LogField.PLACED_AFTER_S,
                secondsAfterSubmission(job, Math.max(job.placedWall(), job.submittedWall)))
            .with(LogField.DONE_AFTER_S, secondsAfterSubmission(job, runtime.wallMs()))
            .with(LogField.RELEASED_AFTER_S, secondsAfterSubmission(job, job.releasedWall()))
            .with(LogField.RESTARTS, job.restarts());
    if (lateS >= -NO_DEADLINE_S) {
      line.with(LogField.LATE_S, lateS);
    }
    line.write();
  }

  private static double secondsAfterSubmission(Job job, long wallMs) {
    return (wallMs - job.submittedWall) / 1000.0;
  }
}
