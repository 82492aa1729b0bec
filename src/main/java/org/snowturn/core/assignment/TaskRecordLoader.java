package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.SortedMap;
import java.util.function.IntPredicate;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.TaskRecords;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;

/**
 * Loads stored task records of both formats, and migrates jobs from the first to the second one.
 */
final class TaskRecordLoader {
  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private boolean registryComplete = true;

  /** Creates a loader that assumes that the whole registry of machines has been loaded. */
  TaskRecordLoader(
      CoreRuntime runtime,
      FormatGate gate,
      RecordWriter writer,
      MachineIndex machines,
      TaskAssignments assignments) {
    this.runtime = runtime;
    this.gate = gate;
    this.writer = writer;
    this.machines = machines;
    this.assignments = assignments;
  }

  /**
   * Records that part of the registry of machines could not be read. From then on, the absence of a
   * machine from the registry proves nothing.
   */
  void markRegistryIncomplete() {
    registryComplete = false;
  }

  /**
   * Loads a stored record of tasks: their results, and the assignments by earlier leaders.
   *
   * @param index the index of the record in the job
   * @param version the version of the stored record
   */
  void loadRecord(Job job, int index, JsonNode value, long version) {
    if (index < 0 || index >= job.layout().recordCount()) {
      return;
    }
    assignments.taskRecord(job, index).setVersion(version);
    load(job, value, job.layout().firstTask(index), job.isSecondFormat(), task -> true);
  }

  /**
   * Loads a record of the first format after the format gate has opened. It applies only to the
   * tasks without a stored record of the second format: those records are newer, since the first
   * format is no longer written.
   *
   * @param index the index of the record among those of the first format
   * @param version the version of the stored record
   */
  void loadFirstFormatRecord(Job job, int index, JsonNode value, long version) {
    PendingRecord record =
        writer.getOrAddRecord(
            StorageKeys.firstFormatTasks(job.spec.id(), index), version, () -> null, () -> null);
    job.firstFormatRecords().add(record);
    load(
        job,
        value,
        index * gate.tasksPerRecord().firstFormat(),
        false,
        task -> {
          PendingRecord newer = job.taskRecord(job.layout().recordOf(task));
          return newer == null || !newer.isStored();
        });
  }

  private void load(
      Job job, JsonNode value, int firstTask, boolean isSecondFormat, IntPredicate appliesTo) {
    TaskRecords.read(
        value,
        firstTask,
        new TaskRecords.Visitor() {
          /**
           * Returns whether the machine was removed from the registry. A leader that writes the
           * second format registers a machine before its first placement and removes it only after
           * all its tasks have provably ended, so these tasks are queued again. If they were loaded
           * as assigned, they would not run for the duration of a lease, for example after a zone
           * is cut off and the leader fails. The version that wrote the first format had no
           * registry, so records of that format prove nothing.
           */
          private boolean isRemovedMachine(String machine) {
            Machine known = machines.find(machine);
            return isSecondFormat
                && registryComplete
                && (known == null || known.registryPage() < 0);
          }

          /** Returns whether the record applies to the task and the task has no newer state. */
          private boolean isApplicable(int task) {
            return task >= 0
                && task < job.taskCount()
                && job.stateOf(task) == TaskState.PENDING
                && appliesTo.test(task);
          }

          @Override
          public void onDone(int task) {
            if (isApplicable(task)) {
              job.complete(task);
            }
          }

          @Override
          public void onPlaced(int task, long attempt, String machine, long agentEpoch) {
            if (isApplicable(task) && !isRemovedMachine(machine)) {
              Machine assignedMachine = machines.getOrAdd(machine);
              // An earlier leader may have renewed its lease until now, even if the machine is
              // missing from the registry.
              assignedMachine.session.setLastAnswerAt(
                  Math.max(assignedMachine.session.lastAnswerAt(), runtime.now()));
              assignments.adopt(job, task, assignedMachine, attempt, agentEpoch);
            }
          }
        });
  }

  /**
   * Migrates the jobs without writes in progress to the second format.
   *
   * @return whether there are jobs left to migrate
   */
  boolean useSecondFormat() {
    boolean hasUnmigrated = false;
    for (Job job : assignments.jobs()) {
      if (job.isSecondFormat()) {
        continue;
      }
      boolean isWriting =
          job.isFinishing()
              || job.taskRecords().values().stream().anyMatch(PendingRecord::isInFlight);
      hasUnmigrated |= isWriting;
      if (!isWriting) {
        useSecondFormat(job);
      }
    }
    return hasUnmigrated;
  }

  private void useSecondFormat(Job job) {
    SortedMap<Integer, PendingRecord> firstFormatRecords = job.taskRecords();
    job.useSecondFormat(gate.tasksPerRecord(), gate.limits().maxValueBytes(), machines);
    firstFormatRecords.forEach(
        (index, record) -> {
          if (record.isQueued()) {
            replaceQueuedRecord(job, index, record);
          }
        });
  }

  /**
   * Queues the records that replace a queued one of the first format. Actions that waited for the
   * old record now wait for all of these.
   */
  private void replaceQueuedRecord(Job job, int index, PendingRecord replaced) {
    final int urgency = replaced.urgency();
    final List<Runnable> actions = replaced.durableActions();
    writer.cancelWrite(replaced);
    int first = index * job.layout().recordsPerFirstRecord();
    int end = Math.min(first + job.layout().recordsPerFirstRecord(), job.layout().recordCount());
    int[] pendingCount = {end - first};
    for (int record = first; record < end; record++) {
      writer.enqueue(
          assignments.taskRecord(job, record),
          urgency,
          () -> {
            if (--pendingCount[0] == 0) {
              actions.forEach(Runnable::run);
            }
          });
    }
  }
}
