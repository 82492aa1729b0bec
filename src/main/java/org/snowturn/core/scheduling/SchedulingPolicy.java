package org.snowturn.core.scheduling;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Parameters of scheduling that are not part of the settings.
 *
 * @param order the order of waiting jobs
 * @param overprovisioning the degree of overprovisioning, from 0, where capacity follows demand
 *     closely, to 1, where all obtainable capacity is held
 * @param maxWaitS time in seconds without a placement after which a batch of a job's tasks is
 *     placed before other jobs
 * @param isPreemptionAllowed whether tasks may be preempted; false while there may be room on
 *     machines that have not reported to a new leader yet
 */
public record SchedulingPolicy(
    SchedulingOrder order,
    DoubleSupplier overprovisioning,
    double maxWaitS,
    BooleanSupplier isPreemptionAllowed) {}
