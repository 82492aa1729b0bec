package org.snowturn.core.scheduling;

/** Counts how many times a machine was evaluated for a job: the cost of scheduling. */
final class EvaluationCounter {
  private long count;

  void increment() {
    count++;
  }

  long count() {
    return count;
  }
}
