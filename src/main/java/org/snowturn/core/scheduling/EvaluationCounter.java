package org.snowturn.core.scheduling;

/** Counter of evaluations of a machine for a job, a measure of the cost of scheduling. */
final class EvaluationCounter {
  private long count;

  /** Counts one evaluation. */
  void increment() {
    count++;
  }

  /** Returns the number of evaluations since this counter was created. */
  long count() {
    return count;
  }
}
