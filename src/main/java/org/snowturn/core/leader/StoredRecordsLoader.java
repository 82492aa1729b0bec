package org.snowturn.core.leader;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.SubmissionChunks;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader.Range;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Loads the stored records of earlier terms into this one. An unreadable record does not stop the
 * recovery: it is logged and counted. If it belongs to a job or its tasks, the job is quarantined
 * as a whole.
 */
final class StoredRecordsLoader {
  /** An action that parses and loads one record. */
  private interface RecordParser {
    void parse() throws MalformedException;
  }

  private final LeaderDependencies shared;
  private final CoreRuntime runtime;
  private final CancellationWatermark watermark;
  private final AssignmentServices services;
  private final TaskAssignments assignments;
  private final BiConsumer<String, StateMessage.Entry> onRestartRecord;
  private final Set<String> quarantinedJobs = new HashSet<>();
  private long unreadableCount;

  /**
   * Creates a loader for one term.
   *
   * @param onRestartRecord handles the stored restart counters of a job, given the job's id
   */
  StoredRecordsLoader(
      LeaderDependencies shared,
      AssignmentServices services,
      BiConsumer<String, StateMessage.Entry> onRestartRecord) {
    this.shared = shared;
    this.runtime = shared.runtime();
    this.watermark = shared.watermark();
    this.services = services;
    this.assignments = services.assignments();
    this.onRestartRecord = onRestartRecord;
  }

  /** Returns the number of records that could not be read. */
  long unreadableCount() {
    return unreadableCount;
  }

  /** Loads all records and sends stop commands for the tasks of cancelled jobs. */
  void load(StoredRecords records) {
    for (StateMessage.Entry entry : records.registryPages().entries()) {
      if (!tryLoad(entry.key(), () -> services.registry().load(entry, this::initializeMachine))) {
        assignments.markRegistryIncomplete();
      }
    }
    loadJobs(records);
    List<StateMessage.Change> orphans = new ArrayList<>();
    loadTasks(records.secondFormatTasks(), StorageKeys.SECOND_FORMAT_TASKS, orphans);
    loadTasks(records.firstFormatTasks(), StorageKeys.FIRST_FORMAT_TASKS, orphans);
    quarantinedJobs.forEach(assignments.registry()::quarantine);
    for (StateMessage.Entry entry : records.restartRecords().entries()) {
      String job = entry.key().substring(StorageKeys.RESTARTS.length());
      tryLoad(entry.key(), () -> onRestartRecord.accept(job, entry));
    }
    services.writer().deleteLater(List.of(), orphans);
    raiseAgentEpochs();
    stopCancelledTasks();
    watermark.onLiveJobsRead(records.jobsReadAt());
  }

  /** Runs the parser of a record; logs and counts the record if it is unreadable. */
  private boolean tryLoad(String key, RecordParser parser) {
    try {
      parser.parse();
      return true;
    } catch (MalformedException | RuntimeException e) {
      unreadableCount++;
      runtime.events().unreadable(LogEvent.RECORD_UNREADABLE, LogField.KEY, key, e);
      return false;
    }
  }

  private void initializeMachine(Machine machine) {
    machine.setMachineType(shared.machineTypes().get(machine.type()));
    machine.images.markStored();
    machine.session.setLastAnswerAt(Math.max(machine.session.lastAnswerAt(), runtime.now()));
    machine.lifecycle.setFirstSeenAt(runtime.now());
    machine.markRegistered();
  }

  /**
   * Loads the jobs.
   *
   * <p>A job with an unreadable record is quarantined as a whole. If only its readable records were
   * loaded, some of its tasks would be stopped, or started a second time. A cancelled job needs
   * none of its records, so an unreadable one does not quarantine it.
   */
  private void loadJobs(StoredRecords records) {
    List<StateMessage.Entry> chunks = records.submissionChunks().entries();
    Map<String, String> chunkTexts = JobRecord.chunkTexts(chunks);
    Set<String> usedChunkKeys = new HashSet<>();
    for (StoredJob job : records.jobs()) {
      String id = job.id();
      boolean isAborted = job.phase() == JobStatus.Phase.ABORTED;
      if (isAborted) {
        watermark.learn(id);
      }
      boolean isLoaded = tryLoad(job.key(), () -> loadJob(job, chunkTexts, usedChunkKeys));
      if (!isLoaded && !isAborted) {
        quarantinedJobs.add(id);
        String prefix = StorageKeys.SUBMISSION_CHUNKS + id + "/";
        chunks.stream()
            .map(StateMessage.Entry::key)
            .filter(key -> key.startsWith(prefix))
            .forEach(usedChunkKeys::add);
      }
    }
    new SubmissionChunks(runtime, services.writer()).deleteUnused(chunks, usedChunkKeys);
  }

  private void loadJob(StoredJob job, Map<String, String> chunkTexts, Set<String> usedChunkKeys)
      throws MalformedException {
    JobRecord stored = job.readableContent();
    String id = job.id();
    List<String> chunkKeys = JobRecord.chunkKeys(id, stored.submissionHash(), stored.chunkCount());
    usedChunkKeys.addAll(chunkKeys);
    if (stored.needsChunks() && chunkTexts.keySet().containsAll(chunkKeys)) {
      assignments.registry().addChunked(id, stored, job.version(), chunkTexts);
    } else {
      assignments.registry().add(id, stored, job.version());
    }
  }

  private void loadTasks(Range range, String prefix, List<StateMessage.Change> orphans) {
    boolean isOlderFormat =
        shared.formatGate().isOpen() && prefix.equals(StorageKeys.FIRST_FORMAT_TASKS);
    for (StateMessage.Entry entry : range.entries()) {
      String keySuffix = entry.key().substring(prefix.length());
      int slash = keySuffix.lastIndexOf('/');
      String id = slash < 0 ? keySuffix : keySuffix.substring(0, slash);
      if (quarantinedJobs.contains(id)) {
        continue;
      }
      Job job = assignments.job(id);
      boolean isLoaded =
          tryLoad(
              entry.key(),
              () -> {
                int chunk = Integer.parseInt(keySuffix.substring(slash + 1));
                if (job == null) {
                  orphans.add(StateMessage.Change.delete(entry.key()));
                } else if (isOlderFormat) {
                  assignments.loadFirstFormatRecord(job, chunk, entry.value(), entry.version());
                } else {
                  assignments.loadTaskRecord(job, chunk, entry.value(), entry.version());
                }
              });
      if (!isLoaded && job != null && !job.isCancellationRecorded()) {
        quarantinedJobs.add(id);
      }
    }
  }

  /** Raises each machine's agent epoch to the newest one in which a task was assigned to it. */
  private void raiseAgentEpochs() {
    for (Machine machine : services.machines().present()) {
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        long epoch = assignments.job(ref).epochOf(TaskAssignments.task(ref));
        machine.session.setEpoch(Math.max(machine.epoch(), epoch));
      }
    }
  }

  /**
   * Queues stop commands for the tasks of cancelled jobs, to be sent with the first probes. This
   * must follow {@link #raiseAgentEpochs}: a stop is queued only for a task of its machine's newest
   * agent epoch.
   */
  private void stopCancelledTasks() {
    int tasks = 0;
    for (Job job : assignments.jobs()) {
      tasks += job.isCancelled() ? stopTasks(job) : 0;
    }
    if (tasks > 0) {
      runtime.events().info(LogEvent.CANCELLED_TASKS_RECOVERED).with(LogField.TASKS, tasks).write();
    }
  }

  private int stopTasks(Job job) {
    int stopped = 0;
    for (int task = job.nextAssigned(0); task >= 0; task = job.nextAssigned(task + 1)) {
      assignments.stop(job, task);
      stopped++;
    }
    return stopped;
  }
}
