package org.snowturn.core.storage;

/**
 * Which tasks of a job share a stored record. In the first format a record holds {@code
 * tasksPerFirstRecord} tasks; in the second each of those is cut into equal pieces that a smaller
 * value can hold, so that a piece never lies in two records of the first format.
 *
 * @param taskCount how many tasks the job has
 * @param tasksPerFirstRecord how many of them a record of the first format holds
 * @param piecesPerFirstRecord into how many records each of those is cut
 * @param tasksPerPiece how many tasks a piece holds, except for the last one, which may hold fewer
 */
public record TaskLayout(
    int taskCount, int tasksPerFirstRecord, int piecesPerFirstRecord, int tasksPerPiece) {
  /** An attempt's number is its leader's fencing token, shifted by so many bits, plus a count. */
  public static final int ATTEMPT_COUNTER_BITS = 20;

  /** An assignment in the second format, beside the machine's name: numbers and punctuation. */
  private static final int ENTRY_BYTES = 28;

  /**
   * Usual length of a machine's name; longer ones are provided for by {@link #entryCapacityBytes}.
   */
  private static final int TYPICAL_NAME_BYTES = 8;

  private static final int FIXED_BYTES = 80;
  private static final int MIN_TASKS_PER_RECORD = 4;

  /** Room that a record always has beside one assignment. */
  private static final int MIN_SPARE_BYTES = 200;

  /** Results are a bitmap in Base64: six tasks take a character. */
  private static final int RESULTS_PER_BYTE = 6;

  /** How many tasks share a record in the second format. */
  public static int tasksPerRecord(int valueBytes) {
    return Math.max(
        MIN_TASKS_PER_RECORD, (valueBytes - FIXED_BYTES) / (ENTRY_BYTES + TYPICAL_NAME_BYTES + 1));
  }

  /** The most bytes that an assignment takes, with a machine's name of this length. */
  public static int maxEntryBytes(int nameBytes) {
    return ENTRY_BYTES + nameBytes;
  }

  /** How many bytes the assignments of one record may take together. */
  public static int entryCapacityBytes(int valueBytes, int span) {
    return Math.max(
        ENTRY_BYTES + MIN_SPARE_BYTES, valueBytes - FIXED_BYTES - span / RESULTS_PER_BYTE);
  }

  /** The layout of a job in the first format, with so many tasks to a record. */
  public static TaskLayout firstFormat(int tasks, int first) {
    return new TaskLayout(tasks, first, 1, first);
  }

  /** The layout of a job in the second format. */
  public static TaskLayout secondFormat(int tasks, TasksPerRecord spans) {
    int pieces = (spans.firstFormat() + spans.secondFormat() - 1) / spans.secondFormat();
    return new TaskLayout(
        tasks, spans.firstFormat(), pieces, (spans.firstFormat() + pieces - 1) / pieces);
  }

  /** How many records the job has. */
  public int recordCount() {
    return taskCount == 0 ? 0 : recordOf(taskCount - 1) + 1;
  }

  /** The record that holds a task. */
  public int recordOf(int task) {
    return task / tasksPerFirstRecord * piecesPerFirstRecord
        + task % tasksPerFirstRecord / tasksPerPiece;
  }

  /** The first task of a record. */
  public int firstTask(int record) {
    return record / piecesPerFirstRecord * tasksPerFirstRecord
        + record % piecesPerFirstRecord * tasksPerPiece;
  }

  /** One past the last task of a record. */
  public int endTask(int record) {
    int inPiece =
        record % piecesPerFirstRecord == piecesPerFirstRecord - 1
            ? tasksPerFirstRecord - record % piecesPerFirstRecord * tasksPerPiece
            : tasksPerPiece;
    return Math.min(taskCount, firstTask(record) + inPiece);
  }
}
