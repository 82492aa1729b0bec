package org.snowturn.core.storage;

/**
 * The assignment of a job's tasks to stored records. A record of the first format holds {@link
 * #tasksPerFirstRecord} consecutive tasks. In the second format these are divided into several
 * records of equal size that fit in a smaller value. A record of the second format therefore never
 * spans two records of the first format.
 *
 * @param taskCount number of tasks in the job
 * @param tasksPerFirstRecord number of tasks in a record of the first format
 * @param recordsPerFirstRecord number of records that the tasks of a first-format record take; 1 in
 *     the first format
 * @param maxTasksPerRecord maximum number of tasks in a record; the last of the records that
 *     replace a first-format record may hold fewer
 */
public record TaskLayout(
    int taskCount, int tasksPerFirstRecord, int recordsPerFirstRecord, int maxTasksPerRecord) {
  /**
   * Number of low bits in an attempt's number that count the leader's attempts. The bits above hold
   * the leader's fencing token.
   */
  public static final int ATTEMPT_COUNTER_BITS = 20;

  /**
   * Maximum size of an assignment in the second format without the machine's name: numbers and
   * punctuation.
   */
  private static final int ENTRY_BYTES = 28;

  /**
   * Usual length of a machine's name. A record takes fewer assignments if names are longer; see
   * {@link #entryCapacityBytes}.
   */
  private static final int TYPICAL_NAME_BYTES = 8;

  /** Size of a record without its assignments and results. */
  private static final int FIXED_BYTES = 80;

  private static final int MIN_TASKS_PER_RECORD = 4;

  /**
   * Space that a record always has for assignments in addition to {@link #ENTRY_BYTES}, so that at
   * least one fits.
   */
  private static final int MIN_SPARE_BYTES = 200;

  /** Results are a bit set in Base64, which encodes six bits in a character. */
  private static final int RESULTS_PER_BYTE = 6;

  /**
   * Returns the maximum number of tasks that share a record in the second format.
   *
   * @param maxValueBytes maximum size of a value
   */
  public static int tasksPerRecord(int maxValueBytes) {
    return Math.max(
        MIN_TASKS_PER_RECORD,
        (maxValueBytes - FIXED_BYTES) / (ENTRY_BYTES + TYPICAL_NAME_BYTES + 1));
  }

  /**
   * Returns the maximum size in bytes of an assignment in the second format.
   *
   * @param nameBytes length of the machine's name
   */
  public static int maxEntryBytes(int nameBytes) {
    return ENTRY_BYTES + nameBytes;
  }

  /**
   * Returns the maximum total size in bytes of the assignments in a record of the second format.
   *
   * @param maxValueBytes maximum size of a value
   * @param tasksPerRecord number of tasks in the record
   */
  public static int entryCapacityBytes(int maxValueBytes, int tasksPerRecord) {
    return Math.max(
        ENTRY_BYTES + MIN_SPARE_BYTES,
        maxValueBytes - FIXED_BYTES - tasksPerRecord / RESULTS_PER_BYTE);
  }

  /** Returns the layout of a job in the first format. */
  public static TaskLayout firstFormat(int taskCount, int tasksPerRecord) {
    return new TaskLayout(taskCount, tasksPerRecord, 1, tasksPerRecord);
  }

  /** Returns the layout of a job in the second format. */
  public static TaskLayout secondFormat(int taskCount, TasksPerRecord tasksPerRecord) {
    int records =
        (tasksPerRecord.firstFormat() + tasksPerRecord.secondFormat() - 1)
            / tasksPerRecord.secondFormat();
    return new TaskLayout(
        taskCount,
        tasksPerRecord.firstFormat(),
        records,
        (tasksPerRecord.firstFormat() + records - 1) / records);
  }

  /** Returns the number of records of the job. */
  public int recordCount() {
    return taskCount == 0 ? 0 : recordOf(taskCount - 1) + 1;
  }

  /** Returns the number of the record that holds a task. */
  public int recordOf(int task) {
    return task / tasksPerFirstRecord * recordsPerFirstRecord
        + task % tasksPerFirstRecord / maxTasksPerRecord;
  }

  /** Returns the first task of a record. */
  public int firstTask(int record) {
    return record / recordsPerFirstRecord * tasksPerFirstRecord
        + record % recordsPerFirstRecord * maxTasksPerRecord;
  }

  /** Returns the task after the last one of a record. */
  public int endTask(int record) {
    int tasksInRecord =
        record % recordsPerFirstRecord == recordsPerFirstRecord - 1
            ? tasksPerFirstRecord - record % recordsPerFirstRecord * maxTasksPerRecord
            : maxTasksPerRecord;
    return Math.min(taskCount, firstTask(record) + tasksInRecord);
  }
}
