package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.core.storage.TasksPerRecord;

/**
 * The stored records of a job's tasks: which tasks share a record, and how much of it their
 * assignments take. A job starts in one of the two formats and may change from the first to the
 * second.
 */
final class JobTaskRecords {
  private final int taskCount;
  private TaskLayout layout;
  private boolean secondFormat;
  private PendingRecord[] records;

  /** Records of the first format that a job of the second format still has. */
  private final List<PendingRecord> firstFormatRecords = new ArrayList<>();

  /** Bytes that the assignments in each record take; second format only. */
  private int[] usedBytes;

  /** Maximum number of bytes that the assignments in a record may take. */
  private int maxBytes = Integer.MAX_VALUE;

  /** Bytes of the largest assignment so far. */
  private int maxEntryBytes;

  JobTaskRecords(int taskCount) {
    this.taskCount = taskCount;
  }

  void useFirstFormat(int tasksPerRecord) {
    layout = TaskLayout.firstFormat(taskCount, tasksPerRecord);
    records = new PendingRecord[layout.recordCount()];
  }

  /**
   * Changes to the second format, with empty records. The caller then adds the sizes of the present
   * assignments with {@link #adjustSize}.
   */
  void useSecondFormat(TasksPerRecord recordSizes, int maxValueBytes) {
    if (records != null) {
      Arrays.stream(records).filter(Objects::nonNull).forEach(firstFormatRecords::add);
    }
    secondFormat = true;
    layout = TaskLayout.secondFormat(taskCount, recordSizes);
    records = new PendingRecord[layout.recordCount()];
    usedBytes = new int[layout.recordCount()];
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
      usedBytes[layout.recordOf(task)] += sign * entryBytes;
    }
  }

  /** Returns whether the task's record has space for one more assignment. */
  boolean hasSpaceForAssignment(int task) {
    return !secondFormat || usedBytes[layout.recordOf(task)] + maxEntryBytes <= maxBytes;
  }

  TaskLayout layout() {
    return layout;
  }

  boolean isSecondFormat() {
    return secondFormat;
  }

  PendingRecord[] records() {
    return records;
  }

  List<PendingRecord> firstFormatRecords() {
    return firstFormatRecords;
  }
}
