package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
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
 * Takes over the stored records of tasks, in both formats, and goes from the first to the second.
 */
final class TaskRecordLoader {
  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private boolean registryComplete = true;

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

  /** From now on, that a machine is on no page proves nothing. */
  void registryIncomplete() {
    registryComplete = false;
  }

  /** Takes over a stored record of tasks: results, and tasks that an earlier leader assigned. */
  void loadChunk(Job job, int chunk, JsonNode value, long stamp) {
    if (chunk < 0 || chunk >= job.taskRecords().length) {
      return;
    }
    assignments.taskRecord(job, chunk).setVersion(stamp);
    load(job, value, job.layout().from(chunk), job.isSecondFormat(), task -> true);
  }

  /**
   * Takes over a record of the first format after the gate has opened. It tells of the tasks that
   * no record of the second format tells of: those are newer, since nobody writes the first any
   * more.
   */
  void loadOlderChunk(Job job, int chunk, JsonNode value, long stamp) {
    PendingRecord record =
        writer.pendingRecord(
            StorageKeys.tasks(job.spec.id(), chunk), stamp, () -> null, () -> null);
    job.firstFormatRecords().add(record);
    load(
        job,
        value,
        chunk * gate.recordSizes().first(),
        false,
        task -> {
          PendingRecord newer = job.taskRecord(job.layout().recordOf(task));
          return newer == null || !newer.stored();
        });
  }

  private void load(Job job, JsonNode value, int from, boolean secondFormat, IntPredicate tellsOf) {
    TaskRecords.read(
        value,
        from,
        new TaskRecords.Reader() {
          /**
           * Whether the machine is on no page of the registry. Those who write the second format
           * enter a machine before its first placement, and strike it out only when all on it has
           * ended for certain: what was placed there waits. Taken for assigned, it would be missed
           * for as long as a lease (zone cut, leader dies). The first version kept no registry, so
           * its records say nothing of the kind.
           */
          private boolean struckOut(String machine) {
            Machine known = machines.find(machine);
            return secondFormat && registryComplete && (known == null || known.registryPage() < 0);
          }

          private boolean isNews(int task) {
            return task >= 0
                && task < job.taskCount()
                && job.stateOf(task) == TaskState.PENDING
                && tellsOf.test(task);
          }

          @Override
          public void done(int task) {
            if (isNews(task)) {
              job.complete(task);
            }
          }

          @Override
          public void placed(int task, long attempt, String machine, long session) {
            if (isNews(task) && !struckOut(machine)) {
              Machine on = machines.getOrAdd(machine);
              // An earlier leader may have answered it until now, whether or not it is on the
              // registry.
              on.session.setLastAnswerAt(Math.max(on.session.lastAnswerAt(), runtime.now()));
              assignments.adopt(job, task, on, attempt, session);
            }
          }
        });
  }

  /**
   * Goes on in the second format with the jobs whose records of the first are settled; tells
   * whether some are left.
   */
  boolean useSecondFormat() {
    boolean left = false;
    for (Job job : assignments.jobs()) {
      if (job.isSecondFormat()) {
        continue;
      }
      boolean unsettled = job.isFinishing();
      for (PendingRecord record : job.taskRecords()) {
        unsettled |= record != null && record.inFlight();
      }
      left |= unsettled;
      if (!unsettled) {
        useSecondFormat(job);
      }
    }
    return left;
  }

  private void useSecondFormat(Job job) {
    PendingRecord[] older = job.taskRecords();
    job.useSecondFormat(gate.recordSizes(), gate.limits().maxValueBytes(), machines);
    for (int c = 0; c < older.length; c++) {
      if (older[c] == null || !older[c].queued()) {
        continue;
      }
      // What waited for the old record waits for every piece of it now.
      int urgency = older[c].urgency();
      List<Runnable> actions = older[c].durableActions();
      writer.cancel(older[c]);
      int first = c * job.layout().pieces();
      int end = Math.min(first + job.layout().pieces(), job.taskRecords().length);
      int[] missing = {end - first};
      for (int p = first; p < end; p++) {
        writer.enqueue(
            assignments.taskRecord(job, p),
            urgency,
            () -> {
              if (--missing[0] == 0) {
                actions.forEach(Runnable::run);
              }
            });
      }
    }
  }
}
