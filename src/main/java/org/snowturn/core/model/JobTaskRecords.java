package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.core.storage.TasksPerRecord;

/**
 * The stored records of a job's tasks: which tasks share one, and how full each is. A job begins
 * with one of the two formats, and may go on from the first to the second.
 */
final class JobTaskRecords {
  private final int tasks;
  private TaskLayout layout;
  private boolean secondFormat;
  private PendingRecord[] records;
  private final List<PendingRecord> firstFormat = new ArrayList<>();

  /** Bytes that the assignments of each record take; second format only. */
  private int[] bytes;

  /** Bytes that the assignments of a record may take. */
  private int maxBytes = Integer.MAX_VALUE;

  /** The most that one assignment took so far. */
  private int maxEntryBytes;

  JobTaskRecords(int tasks) {
    this.tasks = tasks;
  }

  void useFirstFormat(int span) {
    layout = TaskLayout.firstFormat(tasks, span);
    records = new PendingRecord[layout.recordCount()];
  }

  /** The bytes of what is assigned are to be added next. */
  void useSecondFormat(TasksPerRecord spans, int valueBytes) {
    if (records != null) {
      Arrays.stream(records).filter(Objects::nonNull).forEach(firstFormat::add);
    }
    secondFormat = true;
    layout = TaskLayout.secondFormat(tasks, spans);
    records = new PendingRecord[layout.recordCount()];
    bytes = new int[layout.recordCount()];
    maxBytes = TaskLayout.entryCapacityBytes(valueBytes, layout.tasksPerPiece());
  }

  /** Keeps account of how full the records are, so that no assignment makes one too long. */
  void adjustSize(int task, Machine machine, int sign) {
    if (secondFormat) {
      int entryBytes = TaskRecords.bytes(machine);
      maxEntryBytes = Math.max(maxEntryBytes, entryBytes);
      bytes[layout.recordOf(task)] += sign * entryBytes;
    }
  }

  /** Whether the task's record can take its assignment. */
  boolean hasRoom(int task) {
    return !secondFormat || bytes[layout.recordOf(task)] + maxEntryBytes <= maxBytes;
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

  List<PendingRecord> firstFormat() {
    return firstFormat;
  }
}
