package org.snowturn.core.storage;

/**
 * Which tasks of a job share a stored record. In the first format a record holds {@code first}
 * tasks; in the second each of those is cut into equal pieces that a smaller value can hold, so
 * that a piece never lies in two records of the first format.
 */
public record TaskLayout(int tasks, int first, int pieces, int piece) {
  /** An attempt's number is its leader's token, shifted by so many bits, and a count. */
  public static final int ATTEMPT_BITS = 20;

  /** A placement in the second format, beside the machine's name: numbers and punctuation. */
  private static final int ENTRY_BYTES = 28;

  /** What names of machines usually take; longer ones are provided for by {@link #room}. */
  private static final int USUAL_NAME = 8;

  private static final int FIXED_BYTES = 80;

  /** How many tasks to a record in the second format. */
  public static int span(int valueBytes) {
    return Math.max(4, (valueBytes - FIXED_BYTES) / (ENTRY_BYTES + USUAL_NAME + 1));
  }

  /** Bytes that a placement takes at the most, with a machine's name of this length. */
  public static int entryBytes(int nameBytes) {
    return ENTRY_BYTES + nameBytes;
  }

  /** How many bytes the placements of one record may take together. */
  public static int room(int valueBytes, int span) {
    return Math.max(ENTRY_BYTES + 200, valueBytes - FIXED_BYTES - span / 6);
  }

  public static TaskLayout first(int tasks, int first) {
    return new TaskLayout(tasks, first, 1, first);
  }

  public static TaskLayout second(int tasks, RecordSizes spans) {
    int pieces = (spans.first() + spans.second() - 1) / spans.second();
    return new TaskLayout(tasks, spans.first(), pieces, (spans.first() + pieces - 1) / pieces);
  }

  public int records() {
    return tasks == 0 ? 0 : recordOf(tasks - 1) + 1;
  }

  public int recordOf(int task) {
    return task / first * pieces + task % first / piece;
  }

  /** The first task of a record. */
  public int from(int record) {
    return record / pieces * first + record % pieces * piece;
  }

  /** One past the last task of a record. */
  public int to(int record) {
    int inPiece = record % pieces == pieces - 1 ? first - record % pieces * piece : piece;
    return Math.min(tasks, from(record) + inPiece);
  }
}
