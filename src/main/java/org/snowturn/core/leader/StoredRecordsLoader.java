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
 * Loads the stored records of earlier terms into this one. A record that cannot be read never ends
 * the recovery: it is logged and counted, and its job is quarantined as a whole.
 */
final class StoredRecordsLoader {
  /** Parses and loads one record. */
  private interface RecordParser {
    void parse() throws MalformedException;
  }

  private final LeaderDependencies node;
  private final CoreRuntime runtime;
  private final CancellationWatermark watermark;
  private final AssignmentServices services;
  private final TaskAssignments assignments;
  private final BiConsumer<String, StateMessage.Entry> restarts;
  private final Set<String> quarantined = new HashSet<>();
  private long unreadable;

  /**
   * Has loaded nothing yet.
   *
   * @param restarts takes a job's id and its stored counter of restarts
   */
  StoredRecordsLoader(
      LeaderDependencies node,
      AssignmentServices services,
      BiConsumer<String, StateMessage.Entry> restarts) {
    this.node = node;
    this.runtime = node.runtime();
    this.watermark = node.watermark();
    this.services = services;
    this.assignments = services.assignments();
    this.restarts = restarts;
  }

  /** How many records could not be read. */
  long unreadable() {
    return unreadable;
  }

  /** Loads all records and sends the stops of cancelled tasks. */
  void load(StoredRecords records) {
    for (StateMessage.Entry entry : records.registry().entries()) {
      if (!load(entry, () -> services.registry().load(entry, this::initialize))) {
        assignments.registryIncomplete();
      }
    }
    loadJobs(records);
    List<StateMessage.Change> orphans = new ArrayList<>();
    loadTasks(records.tasks(), StorageKeys.SECOND_FORMAT_TASKS, orphans);
    loadTasks(records.firstFormatTasks(), StorageKeys.FIRST_FORMAT_TASKS, orphans);
    quarantined.forEach(assignments.registry()::quarantine);
    for (StateMessage.Entry entry : records.restarts().entries()) {
      String job = entry.key().substring(StorageKeys.RESTARTS.length());
      load(entry, () -> restarts.accept(job, entry));
    }
    services.writer().deleteLater(List.of(), orphans);
    raiseAgentEpochs();
    stopCancelled();
    watermark.read(records.jobsReadAt());
  }

  private boolean load(StateMessage.Entry entry, RecordParser parser) {
    try {
      parser.parse();
      return true;
    } catch (MalformedException | RuntimeException e) {
      unreadable++;
      runtime
          .events()
          .info(LogEvent.RECORD_UNREADABLE)
          .with(LogField.KEY, entry.key())
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
  }

  private void initialize(Machine machine) {
    machine.setMachineType(node.machineTypes().get(machine.type()));
    machine.images.markStored();
    machine.session.setLastAnswerAt(Math.max(machine.session.lastAnswerAt(), runtime.now()));
    machine.setFirstSeenAt(runtime.now());
    machine.registered();
  }

  /**
   * Loads the jobs. One of which a record cannot be read is left alone as a whole: taken for
   * smaller than it is, its tasks would be stopped, or started a second time. Of a cancelled one
   * nothing is needed any more, whatever cannot be read.
   */
  private void loadJobs(StoredRecords records) {
    List<StateMessage.Entry> chunks = records.submissionChunks().entries();
    Map<String, String> texts = JobRecord.chunkTexts(chunks);
    Set<String> used = new HashSet<>();
    for (StateMessage.Entry entry : records.jobs().entries()) {
      String id = entry.key().substring(StorageKeys.JOBS.length());
      boolean aborted = JobRecord.phaseOf(entry.value()) == JobStatus.Phase.ABORTED;
      if (aborted) {
        watermark.learn(id);
      }
      boolean loaded = load(entry, () -> loadJob(id, entry, texts, used));
      if (!loaded && !aborted) {
        quarantined.add(id);
        String prefix = StorageKeys.SUBMISSION_CHUNKS + id + "/";
        chunks.stream()
            .map(StateMessage.Entry::key)
            .filter(key -> key.startsWith(prefix))
            .forEach(used::add);
      }
    }
    new SubmissionChunks(runtime, services.writer()).dropUnused(chunks, used);
  }

  private void loadJob(
      String id, StateMessage.Entry entry, Map<String, String> texts, Set<String> used)
      throws MalformedException {
    JobRecord stored = JobRecord.parse(entry.value());
    List<String> keys = JobRecord.chunkKeys(id, stored.submissionHash(), stored.chunkCount());
    used.addAll(keys);
    if (stored.needsChunks() && texts.keySet().containsAll(keys)) {
      assignments.registry().addChunked(id, stored, entry.version(), texts);
    } else {
      assignments.registry().add(id, stored, entry.version());
    }
  }

  private void loadTasks(Range range, String prefix, List<StateMessage.Change> orphans) {
    boolean firstFormat = node.gate().isOpen() && prefix.equals(StorageKeys.FIRST_FORMAT_TASKS);
    for (StateMessage.Entry entry : range.entries()) {
      String rest = entry.key().substring(prefix.length());
      int slash = rest.lastIndexOf('/');
      String id = slash < 0 ? rest : rest.substring(0, slash);
      if (quarantined.contains(id)) {
        continue;
      }
      Job job = assignments.job(id);
      boolean loaded =
          load(
              entry,
              () -> {
                int chunk = Integer.parseInt(rest.substring(slash + 1));
                if (job == null) {
                  orphans.add(StateMessage.Change.delete(entry.key()));
                } else if (firstFormat) {
                  assignments.loadFirstFormatRecord(job, chunk, entry.value(), entry.version());
                } else {
                  assignments.loadTaskRecord(job, chunk, entry.value(), entry.version());
                }
              });
      if (!loaded && job != null && !job.isCancellationRecorded()) {
        quarantined.add(id);
      }
    }
  }

  /** A machine's agent epoch is at least the newest in which a task was assigned to it. */
  private void raiseAgentEpochs() {
    for (Machine machine : services.machines().present()) {
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        long epoch = assignments.job(ref).epochOf(TaskAssignments.task(ref));
        machine.session.setEpoch(Math.max(machine.epoch(), epoch));
      }
    }
  }

  /** With the agent epochs known, the stops go out with the first probes. */
  private void stopCancelled() {
    int tasks = 0;
    for (Job job : assignments.jobs()) {
      tasks += job.isCancelled() ? stopAll(job) : 0;
    }
    if (tasks > 0) {
      runtime.events().info(LogEvent.CANCELLED_TASKS_RECOVERED).with(LogField.TASKS, tasks).write();
    }
  }

  private int stopAll(Job job) {
    int stopped = 0;
    for (int task = 0; job.isCancelled() && job.assigned() > 0 && task < job.taskCount(); task++) {
      if (job.isAssigned(task)) {
        assignments.stop(job, task);
        stopped++;
      }
    }
    return stopped;
  }
}
