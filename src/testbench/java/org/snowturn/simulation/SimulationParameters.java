package org.snowturn.simulation;

import java.util.function.UnaryOperator;

/**
 * Parameters of a simulated cluster that are not part of the controllers' settings.
 *
 * @param cpus number of CPUs of a machine
 * @param memoryGb memory of a machine in gigabytes
 * @param minPollIntervalMs minimum time between two polls of a client; the maximum is twice that
 * @param shouldPollFinishedJobs whether clients continue to poll jobs that have ended
 * @param leaseCheckIntervalMs interval at which a worker checks whether its lease has expired
 * @param addressByMachine function from a machine's name to its address
 */
record SimulationParameters(
    double cpus,
    double memoryGb,
    long minPollIntervalMs,
    boolean shouldPollFinishedJobs,
    long leaseCheckIntervalMs,
    UnaryOperator<String> addressByMachine) {

  /** Parameters of the scenario runs. */
  static final SimulationParameters SMALL =
      new SimulationParameters(8, 32, 1_500, true, 50, id -> id + ":1");
}
