package org.snowturn.core.scheduling;

import org.snowturn.config.Settings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;

/**
 * Decides which arrays leave an idle machine alone until it has left its first agent epoch. From
 * then on the machine gets starts directly, while a task that is placed before keeps it in that
 * epoch.
 *
 * <p>Only an array that has not begun waits, for what is left of one lease, and only if its class
 * has an objective for starts. Half of the time to each of its objectives remains.
 */
final class FirstEpochWait {
  /** Share of a job's spare time that its tasks may wait. */
  private static final double MAX_SHARE_OF_SPARE_TIME = 0.5;

  private final CoreRuntime runtime;
  private final SchedulingOrder order;
  private final double leaseMs;

  /** Creates the decisions for the objectives of an order. */
  FirstEpochWait(CoreRuntime runtime, Settings settings, SchedulingOrder order) {
    this.runtime = runtime;
    this.order = order;
    this.leaseMs = settings.workers().leaseS() * 1000;
  }

  /** Returns whether the job's tasks wait until the machine's first agent epoch has ended. */
  boolean shouldWait(Job job, Machine machine) {
    if (!machine.session.isInFirstEpoch() || !machine.assigned.isEmpty() || !canWait(job)) {
      return false;
    }
    double epochLeftMs = machine.session.lastAnswerAt() + leaseMs - runtime.now();
    double spareTimeMs = order.spareTimeMs(job, (double) runtime.wallMs());
    return epochLeftMs > 0 && epochLeftMs <= MAX_SHARE_OF_SPARE_TIME * spareTimeMs;
  }

  private boolean canWait(Job job) {
    return job.spec.kind() == JobSpec.Kind.ARRAY
        && job.assigned() == 0
        && job.done() == 0
        && job.scheduling.placedWallMs() == 0
        && order.hasStartObjective(job);
  }
}
