package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * The live jobs by their ids and indices: how they are taken in from their stored records,
 * cancelled and removed. What follows for their tasks is done by {@link TaskAssignments}.
 */
public final class JobRegistry {
  private static final int MAX_ENDED = 5_000;
  private static final int READ_TIMEOUT_MS = 1_500;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final KnownCancellations cancellations;
  private final TaskAssignments assignments;
  private final SubmissionChunks chunks;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> byIndex = new ArrayList<>();

  /** Jobs that were over lately: what a watch still tells of their records is old. */
  private final Map<String, Boolean> ended = new LruMap<>(MAX_ENDED);

  /** Jobs of which a record cannot be read: they are left as they are. */
  private final Set<String> quarantined = new HashSet<>();

  private final List<JobListener> listeners = new ArrayList<>();

  JobRegistry(
      CoreRuntime runtime,
      FormatGate gate,
      RecordWriter writer,
      MachineIndex machines,
      KnownCancellations cancellations,
      TaskAssignments assignments) {
    this.runtime = runtime;
    this.gate = gate;
    this.writer = writer;
    this.machines = machines;
    this.cancellations = cancellations;
    this.assignments = assignments;
    this.chunks = new SubmissionChunks(runtime, writer);
  }

  /** The listener is told of all jobs from now on, after those that were added before it. */
  public void listen(JobListener listener) {
    listeners.add(listener);
  }

  /** All live jobs. */
  public Collection<Job> all() {
    return jobs.values();
  }

  /** The live job with this id; null if there is none. */
  public Job find(String id) {
    return jobs.get(id);
  }

  /** The job of a task that {@link Job#ref} names. */
  Job byReference(long reference) {
    return byIndex.get((int) (reference >>> 32));
  }

  /** Adds a job or takes over a newer version of its record. */
  public void add(String id, JobRecord stored, long stamp) {
    if (ended.containsKey(id)) {
      return; // else it would be ended once more, at the cost of changes that fail
    }
    if (quarantined.contains(id)) {
      if (stored.phase() != JobStatus.Phase.ABORTED) {
        return;
      }
      quarantined.remove(id); // cancelled: whatever runs of it may be stopped
    }
    Job job = jobs.get(id);
    if (job == null && stored.needsParts()) {
      chunks.read(id, stored, stamp, texts -> addChunked(id, stored, stamp, texts));
      return;
    }
    if (job == null) {
      job = create(id, stored);
    }
    job.setVersion(Math.max(job.version(), stamp));
    if (stored.phase() == JobStatus.Phase.ABORTED && !job.isCancellationRecorded()) {
      cancel(job);
    }
  }

  private Job create(String id, JobRecord stored) {
    chunks.forget(id);
    int zones = Math.max(machines.zoneCount(), 1);
    Job job = new Job(byIndex.size(), stored.spec(), stored.submittedWall(), zones);
    job.setSubmission(stored.submission());
    job.setChunkCount(stored.parts());
    if (gate.open()) {
      job.useSecondFormat(gate.recordSizes(), gate.limits().maxValueBytes(), machines);
    } else {
      job.useFirstFormat(gate.recordSizes().first());
    }
    byIndex.add(job);
    jobs.put(id, job);
    assignments.markChanged();
    listeners.forEach(listener -> listener.joined(job));
    return job;
  }

  /** Takes in a record whose parts have been read. */
  public void addChunked(String id, JobRecord stored, long stamp, Map<String, String> texts) {
    try {
      add(id, stored.withParts(id, texts), stamp);
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.RECORD_UNREADABLE)
          .with(LogField.JOB, id)
          .with(LogField.ERROR, e.getMessage())
          .write();
    }
  }

  private void cancel(Job job) {
    boolean known = job.isCancelled();
    job.recordCancellation(cancellations.knownUntil());
    runtime
        .events()
        .info(LogEvent.JOB_CANCELLED)
        .with(LogField.JOB, job.spec.id())
        .with(LogField.ASSIGNED, job.assigned())
        .write();
    if (!known) {
      assignments.stopAll(job);
    }
    listeners.forEach(listener -> listener.cancelled(job));
  }

  /**
   * A user was told that the job is cancelled; that is durable, but may not have been read here
   * yet. What runs of it is stopped at once; all else waits for the record.
   */
  public void confirmCancellation(String id) {
    Job job = jobs.get(id);
    if (job != null && !job.isCancelled()) {
      job.confirmCancellation(cancellations.knownUntil());
      runtime
          .events()
          .info(LogEvent.JOB_CANCELLATION_CONFIRMED)
          .with(LogField.JOB, id)
          .with(LogField.ASSIGNED, job.assigned())
          .write();
      assignments.stopAll(job);
    }
  }

  /** The record is no longer live: nothing of the job is left to do. */
  public void remove(String id) {
    chunks.forget(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    ended.put(id, true);
    // Only a leader moves a record, under its version as we last read it: what we were about to
    // write is what it became.
    JobStatus.Phase phase =
        !job.isFinishing()
            ? null
            : job.isCancellationRecorded() ? JobStatus.Phase.ABORTED : JobStatus.Phase.DONE;
    listeners.forEach(listener -> listener.over(job, phase));
    assignments.detachAll(job);
    for (PendingRecord record : job.taskRecords()) {
      if (record != null) {
        writer.forget(record);
      }
    }
    job.firstFormatRecords().forEach(writer::forget);
    byIndex.set(job.index, null);
    assignments.markChanged();
  }

  /**
   * Leaves a job alone of which a record cannot be read. What has been taken in of it is let go: no
   * room is counted for it, and its machines get nothing new while they list its tasks.
   */
  public void quarantine(String id) {
    quarantined.add(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    listeners.forEach(listener -> listener.over(job, null));
    assignments.unassignAll(job);
    byIndex.set(job.index, null);
    assignments.markChanged();
  }

  /** Whether the job is left alone since a record of it cannot be read. */
  public boolean isQuarantined(String id) {
    return quarantined.contains(id);
  }

  /** Reads a job's record again after a write that did not go through as expected. */
  public void reread(String id) {
    reread(id, () -> {});
  }

  /** The same, and goes on whatever came of it. */
  public void reread(String id, Runnable then) {
    runtime.callState(
        "GET",
        "/kv/" + StorageKeys.job(id),
        null,
        READ_TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 404) {
            remove(id);
          } else if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              StateMessage.Entry entry = StateMessage.entry(body);
              add(id, JobRecord.parse(entry.value()), entry.version());
            } catch (MalformedException e) {
              runtime
                  .events()
                  .info(LogEvent.RECORD_UNREADABLE)
                  .with(LogField.JOB, id)
                  .with(LogField.ERROR, e.getMessage())
                  .write();
            }
          }
          then.run();
        });
  }
}
