package org.snowturn.core.scheduling;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * What scheduling depends on beside the settings.
 *
 * @param order the order of waiting jobs
 * @param overprovisioning from 0, where capacity follows demand closely, to 1, where all that can
 *     be had is held
 * @param maxWaitS a job of which no task has been placed for so long goes first, with some tasks
 * @param isPreemptionAllowed whether tasks may be preempted: not while free room may be on machines
 *     that a new leader has not heard yet
 */
public record SchedulingPolicy(
    SchedulingOrder order,
    DoubleSupplier overprovisioning,
    double maxWaitS,
    BooleanSupplier isPreemptionAllowed) {}
