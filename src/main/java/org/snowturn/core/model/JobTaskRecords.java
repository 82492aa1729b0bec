package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.agrona.collections.Int2IntHashMap;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.core.storage.TasksPerRecord;

/**
 * The stored records of a job's tasks: which tasks share a record, and how much of it their
 * assignments take. A job starts in one of the two formats and may change from the first to the
 * second. Memory grows with the records that are used, not with the tasks of the job.
 */
final class JobTaskRecords {
  private final int taskCount;
  private TaskLayout layout;
  private boolean secondFormat;

  /** The records by index, without those that were never used. */
  private SortedMap<Integer, PendingRecord> records = new TreeMap<>();

  /** Records of the first format that a job of the second format still has. */
  private final List<PendingRecord> firstFormatRecords = new ArrayList<>();

  /** Bytes that the assignments in each record take, by the record's index; second format only. */
  private final Int2IntHashMap usedBytes = new Int2IntHashMap(0);

  /** Maximum number of bytes that the assignments in a record may take. */
  private int maxBytes = Integer.MAX_VALUE;

  /** Bytes of the largest assignment so far. */
  private int maxEntryBytes;

  JobTaskRecords(int taskCount) {
    this.taskCount = taskCount;
  }

  void useFirstFormat(int tasksPerRecord) {
    layout = TaskLayout.firstFormat(taskCount, tasksPerRecord);
  }

  /**
   * Changes to the second format, with empty records. The caller then adds the sizes of the present
   * assignments with {@link #adjustSize}.
   */
  void useSecondFormat(TasksPerRecord recordSizes, int maxValueBytes) {
    firstFormatRecords.addAll(records.values());
    secondFormat = true;
    layout = TaskLayout.secondFormat(taskCount, recordSizes);
    records = new TreeMap<>();
    maxBytes = TaskLayout.entryCapacityBytes(maxValueBytes, layout.maxTasksPerRecord());
  }

  /**
   * Adds the size of an assignment to that of its record, or subtracts it. The sizes keep records
   * from growing beyond the maximum size of a stored value.
   *
   * @param sign 1 to add, -1 to subtract
   */
  void adjustSize(int task, Machine machine, int sign) {
    if (secondFormat) {
      int entryBytes = TaskRecords.maxEntryBytes(machine);
      maxEntryBytes = Math.max(maxEntryBytes, entryBytes);
      int record = layout.recordOf(task);
      int bytes = usedBytes.get(record) + sign * entryBytes;
      if (bytes == usedBytes.missingValue()) {
        usedBytes.remove(record);
      } else {
        usedBytes.put(record, bytes);
      }
    }
  }

  /**
   * Returns the task itself if its record has space for one more assignment, else the first task of
   * the next record. Records of the first format always have space.
   */
  int skipFullRecord(int task) {
    if (!secondFormat) {
      return task;
    }
    int record = layout.recordOf(task);
    return usedBytes.get(record) + maxEntryBytes <= maxBytes ? task : layout.endTask(record);
  }

  TaskLayout layout() {
    return layout;
  }

  boolean isSecondFormat() {
    return secondFormat;
  }

  /** Returns the records that are used, by index. */
  SortedMap<Integer, PendingRecord> records() {
    return records;
  }

  List<PendingRecord> firstFormatRecords() {
    return firstFormatRecords;
  }
}
