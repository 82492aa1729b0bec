package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * The live jobs by id and index. Jobs are added from their stored records, cancelled and removed
 * here; {@link TaskAssignments} makes the corresponding changes to their tasks.
 */
public final class JobRegistry {
  /** Maximum number of ended jobs that are remembered. */
  private static final int MAX_ENDED_JOBS = 5_000;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int READ_TIMEOUT_MS = 1_500;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final KnownCancellations cancellations;
  private final TaskAssignments assignments;
  private final SubmissionChunks chunks;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> jobsByIndex = new ArrayList<>();

  /** Recently ended jobs. A watch may still deliver outdated versions of their records. */
  private final Map<String, Boolean> endedJobs = new LruMap<>(MAX_ENDED_JOBS);

  /** Jobs with an unreadable record, which are left unchanged. */
  private final Set<String> quarantinedJobs = new HashSet<>();

  private final Map<String, Long> quarantinedReportedAt = new HashMap<>();

  private final List<JobListener> listeners = new ArrayList<>();

  /** Creates an empty registry. */
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

  /**
   * Adds a listener for all changes from now on. Listeners are called in the order in which they
   * were added.
   */
  public void addListener(JobListener listener) {
    listeners.add(listener);
  }

  /** Returns all live jobs. */
  public Collection<Job> all() {
    return jobs.values();
  }

  /** Returns the live job with this id; null if there is none. */
  public Job find(String id) {
    return jobs.get(id);
  }

  /** Returns the job of a task reference made by {@link Job#taskReference}. */
  Job byReference(long reference) {
    return jobsByIndex.get((int) (reference >>> 32));
  }

  /**
   * Adds a job or applies a newer version of its record. A job whose record has chunks that are not
   * read yet is added once they are read.
   *
   * @param version the version of the stored record
   */
  public void add(String id, JobRecord stored, long version) {
    if (endedJobs.containsKey(id)) {
      return; // the job would be finished a second time, with writes that fail
    }
    if (quarantinedJobs.contains(id)) {
      if (stored.phase() != JobStatus.Phase.ABORTED) {
        return;
      }
      quarantinedJobs.remove(id); // the job is cancelled, so its tasks may be stopped
    }
    Job job = jobs.get(id);
    if (job == null && stored.needsChunks()) {
      chunks.read(id, stored, version, texts -> addChunked(id, stored, version, texts));
      return;
    }
    if (job == null) {
      job = create(id, stored);
    }
    job.setVersion(Math.max(job.version(), version));
    if (stored.phase() == JobStatus.Phase.ABORTED && !job.isCancellationRecorded()) {
      cancel(job);
    }
  }

  private Job create(String id, JobRecord stored) {
    chunks.cancelRead(id);
    int zones = Math.max(machines.zoneCount(), 1);
    Job job = new Job(jobsByIndex.size(), stored.spec(), stored.submittedWallMs(), zones);
    job.setSubmission(stored.submissionHash());
    job.setChunkCount(stored.chunkCount());
    if (gate.isOpen()) {
      job.useSecondFormat(gate.tasksPerRecord(), gate.limits().maxValueBytes(), machines);
    } else {
      job.useFirstFormat(gate.tasksPerRecord().firstFormat());
    }
    jobsByIndex.add(job);
    jobs.put(id, job);
    assignments.markChanged();
    listeners.forEach(listener -> listener.onJobAdded(job));
    return job;
  }

  /**
   * Adds a job whose record has chunks, after these have been read.
   *
   * @param version the version of the stored record
   * @param texts the chunks by key
   */
  public void addChunked(String id, JobRecord stored, long version, Map<String, String> texts) {
    try {
      add(id, stored.joinChunks(id, texts), version);
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.RECORD_UNREADABLE, LogField.JOB, id, e);
    }
  }

  private void cancel(Job job) {
    boolean wasCancelled = job.isCancelled();
    job.recordCancellation(cancellations.knownUntil());
    runtime
        .events()
        .info(LogEvent.JOB_CANCELLED)
        .with(LogField.JOB, job.spec.id())
        .with(LogField.ASSIGNED, job.assigned())
        .write();
    if (!wasCancelled) {
      assignments.stopAll(job);
    }
    listeners.forEach(listener -> listener.onJobCancelled(job));
  }

  /**
   * Stops the tasks of a job whose cancellation was confirmed to a user. The cancellation is
   * durable, but the job's record may not have been read again yet. Everything apart from the stops
   * waits for the record.
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

  /** Removes a job whose record is no longer live. */
  public void remove(String id) {
    chunks.cancelRead(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    endedJobs.put(id, true);
    // Only a leader removes a live record, and only in its last known version. So a job that this
    // leader was finishing has ended in the phase that this leader wrote.
    JobStatus.Phase phase =
        !job.isFinishing()
            ? null
            : job.isCancellationRecorded() ? JobStatus.Phase.ABORTED : JobStatus.Phase.DONE;
    listeners.forEach(listener -> listener.onJobEnded(job, phase));
    assignments.unassignAll(job);
    job.taskRecords().values().forEach(writer::remove);
    job.firstFormatRecords().forEach(writer::remove);
    jobsByIndex.set(job.index, null);
    assignments.markChanged();
  }

  /**
   * Quarantines a job with an unreadable record: the job is left unchanged and is no longer live,
   * and its tasks use no resources in the accounting. Machines that report tasks of the job receive
   * no new tasks.
   */
  public void quarantine(String id) {
    quarantinedJobs.add(id);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    listeners.forEach(listener -> listener.onJobEnded(job, null));
    assignments.unassignAll(job);
    jobsByIndex.set(job.index, null);
    assignments.markChanged();
  }

  /** Returns whether the job is quarantined because one of its records cannot be read. */
  public boolean isQuarantined(String id) {
    return quarantinedJobs.contains(id);
  }

  /** Records that a machine reports a running task of a quarantined job. */
  void onQuarantinedTaskReported(String id) {
    quarantinedReportedAt.put(id, runtime.now());
  }

  /**
   * Returns the time at which a machine last reported a running task of a quarantined job; {@link
   * MonotonicTime#UNSET} if none has.
   */
  public long quarantinedReportedAt(String id) {
    return quarantinedReportedAt.getOrDefault(id, MonotonicTime.UNSET);
  }

  /** Reads a job's record again after a write that failed or whose outcome is unknown. */
  public void reread(String id) {
    reread(id, () -> {});
  }

  /**
   * Reads a job's record again after a write that failed or whose outcome is unknown.
   *
   * @param onComplete called when the read has completed, also if it failed
   */
  public void reread(String id, Runnable onComplete) {
    runtime.callState(
        "GET",
        "/kv/" + StorageKeys.job(id),
        null,
        READ_TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == NOT_FOUND) {
            remove(id);
          } else if (outcome == Outcome.ANSWERED && status == OK) {
            try {
              StateMessage.Entry entry = StateMessage.entry(body);
              add(id, JobRecord.parse(entry.value()), entry.version());
            } catch (MalformedException e) {
              runtime.events().unreadable(LogEvent.RECORD_UNREADABLE, LogField.JOB, id, e);
            }
          }
          onComplete.run();
        });
  }
}
