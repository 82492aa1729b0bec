package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
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
    boolean done = !job.isCancellationRecorded() && job.done() == job.taskCount();
    boolean aborted = job.isCancellationRecorded() && job.assigned() == 0;
    if (job.isFinishing() || !(done || aborted) || assignments.job(job.spec.id()) != job) {
      return;
    }
    for (PendingRecord record : job.taskRecords()) {
      if (record != null && record.inFlight) {
        return; // retried when that write is settled
      }
    }
    job.beginFinishing();
    String id = job.spec.id();
    JobStatus.Phase phase = done ? JobStatus.Phase.DONE : JobStatus.Phase.ABORTED;
    List<Change> apply = new ArrayList<>();
    apply.add(Change.put(StorageKeys.over(id), JobRecord.over(phase, job.spec)));
    apply.add(Change.delete(StorageKeys.job(id)));
    if (job.restarts() > 0) {
      apply.add(Change.delete(StorageKeys.restarts(id)));
    }
    List<Change> drops = new ArrayList<>();
    JobRecord.partKeys(id, job.submission(), job.chunkCount())
        .forEach(k -> drops.add(Change.delete(k)));
    for (PendingRecord record : job.taskRecords()) {
      if (record != null) {
        writer.clear(record);
        dropIfStored(record, drops);
      }
    }
    job.firstFormatRecords.forEach(record -> dropIfStored(record, drops));
    // Where many jobs end together, what is only to be cleared away leaves the rate to others.
    int most = writer.pressed() ? 0 : gate.limits().txnOps() - apply.size();
    int now = Math.min(drops.size(), Math.max(0, most));
    apply.addAll(drops.subList(0, now));
    List<Change> later = drops.subList(now, drops.size());
    // Others may wait for a result; an abortion has been told already.
    writer.whole(
        done ? RecordWriter.Turn.NEXT : RecordWriter.Turn.SPARE,
        List.of(new Condition(StorageKeys.job(id), job.version())),
        apply,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            runtime.note(id + " " + phase.wire() + outcome(job));
            assignments.removeJob(id);
            writer.drop(List.of(), later);
          } else {
            assignments.rereadJob(
                id,
                () -> {
                  job.finishingFailed();
                  if (assignments.job(id) != job) {
                    // It was carried out, and only its answer was lost.
                    writer.drop(List.of(), later);
                  }
                });
          }
        });
  }

  private static void dropIfStored(PendingRecord record, List<Change> drops) {
    if (record.stamp != 0) {
      drops.add(Change.delete(record.key));
    }
  }

  /** What an operator wants to know of a job that is over. */
  private String outcome(Job job) {
    double late = (runtime.wallMs() - job.deadlineWallMs(1)) / 1000;
    String due = late < -1e9 ? "no deadline" : String.format(Locale.ROOT, "%.1f s late", late);
    return String.format(
        Locale.ROOT,
        ": %d tasks, estimate %.1f s, median %.1f s, last placed after %.1f s, done after %.1f s,"
            + " released after %.1f s, %s, %d restarts",
        job.taskCount(),
        job.spec.estimateS(),
        job.median(),
        Math.max(0, job.placedWall() - job.submittedWall) / 1000.0,
        (runtime.wallMs() - job.submittedWall) / 1000.0,
        (job.releasedWall() - job.submittedWall) / 1000.0,
        due,
        job.restarts());
  }
}
