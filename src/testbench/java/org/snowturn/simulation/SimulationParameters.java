package org.snowturn.simulation;

import java.util.function.UnaryOperator;

/**
 * Figures of a world that are not in its settings.
 *
 * @param cpus what a machine has
 * @param memoryGb what a machine has
 * @param pollMs users ask after so long, and up to twice that
 * @param pollsWhenOver whether users go on asking about jobs that are over
 * @param leaseCheckMs how often a worker looks whether its lease has run out
 * @param addresses a machine's address by its name
 */
record SimulationParameters(
    double cpus,
    double memoryGb,
    long minPollIntervalMs,
    boolean shouldPollFinishedJobs,
    long leaseCheckIntervalMs,
    UnaryOperator<String> addressByMachine) {

  /** What the scenarios use. */
  static final SimulationParameters SMALL =
      new SimulationParameters(8, 32, 1_500, true, 50, id -> id + ":1");
}
