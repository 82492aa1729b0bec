package org.snowturn.core;

/**
 * Which tasks of a job share a stored record. In the first format a record holds {@code first}
 * tasks; in the second each of those is cut into equal pieces that a smaller value can hold, so
 * that a piece never lies in two records of the first format.
 */
record TaskLayout(int tasks, int first, int pieces, int piece) {
  static TaskLayout first(int tasks, int first) {
    return new TaskLayout(tasks, first, 1, first);
  }

  static TaskLayout second(int tasks, FormatGate.Spans spans) {
    int pieces = (spans.first() + spans.second() - 1) / spans.second();
    return new TaskLayout(tasks, spans.first(), pieces, (spans.first() + pieces - 1) / pieces);
  }

  int records() {
    return tasks == 0 ? 0 : recordOf(tasks - 1) + 1;
  }

  int recordOf(int task) {
    return task / first * pieces + task % first / piece;
  }

  /** The first task of a record. */
  int from(int record) {
    return record / pieces * first + record % pieces * piece;
  }

  /** One past the last task of a record. */
  int to(int record) {
    int inPiece = record % pieces == pieces - 1 ? first - record % pieces * piece : piece;
    return Math.min(tasks, from(record) + inPiece);
  }
}
