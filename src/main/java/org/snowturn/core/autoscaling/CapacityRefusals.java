package org.snowturn.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** The pools in which the cloud had too few machines, and when each may be asked again. */
final class CapacityRefusals {
  private static final long BACKOFF_STEP_MS = 6_000;
  private static final long MAX_BACKOFF_MS = 30_000;

  /** A machine of the pool has ended, so there is probably room for another. */
  private static final long RETRY_AFTER_RELEASE_MS = 2_000;

  private final CoreRuntime runtime;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final Map<CapacityPool, Long> refusedUntil = new HashMap<>();
  private final Map<CapacityPool, Integer> consecutiveRefusals = new HashMap<>();

  CapacityRefusals(CoreRuntime runtime, MachineTypes machineTypes, MachineIndex machines) {
    this.runtime = runtime;
    this.machineTypes = machineTypes;
    this.machines = machines;
  }

  /** The pool had fewer machines than were requested: it is left alone, longer each time. */
  void recordRefusal(CapacityPool pool) {
    int count = consecutiveRefusals.merge(pool, 1, Integer::sum);
    refusedUntil.put(pool, runtime.now() + Math.min(MAX_BACKOFF_MS, BACKOFF_STEP_MS * count));
  }

  /** The pool had all the machines that were requested. */
  void recordGrant(CapacityPool pool) {
    consecutiveRefusals.remove(pool);
  }

  /** A machine has ended: its pool may be asked again soon. */
  void recordRelease(Machine machine) {
    if (machine.type() != null) {
      CapacityPool pool = CapacityPool.of(machine);
      consecutiveRefusals.remove(pool);
      long retryAt = runtime.now() + RETRY_AFTER_RELEASE_MS;
      refusedUntil.computeIfPresent(pool, (key, until) -> Math.min(until, retryAt));
    }
  }

  /** Whether the pool is left alone for now. */
  boolean isInBackoff(CapacityPool pool) {
    return runtime.now() < refusedUntil.getOrDefault(pool, 0L);
  }

  /** Whether all pools of spot or of on-demand machines are left alone for now. */
  boolean isEveryPoolInBackoff(boolean spot) {
    for (MachineType type : machineTypes.all()) {
      for (String zone : type.zones()) {
        if (!isInBackoff(new CapacityPool(type.name(), machines.zone(zone), spot))) {
          return false;
        }
      }
    }
    return true;
  }
}
