package org.snowturn.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** The pools that lacked capacity for a request, and the time of the next request to each. */
final class CapacityRefusals {
  /** Increase of the back-off with each consecutive refusal. */
  private static final long BACKOFF_STEP_MS = 6_000;

  private static final long MAX_BACKOFF_MS = 30_000;

  /** Back-off after a machine of the pool has ended, since its capacity is probably free again. */
  private static final long RETRY_AFTER_RELEASE_MS = 2_000;

  private final CoreRuntime runtime;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final Map<CapacityPool, Long> retryAtByPool = new HashMap<>();
  private final Map<CapacityPool, Integer> consecutiveRefusals = new HashMap<>();

  CapacityRefusals(CoreRuntime runtime, MachineTypes machineTypes, MachineIndex machines) {
    this.runtime = runtime;
    this.machineTypes = machineTypes;
    this.machines = machines;
  }

  /** Backs off from a pool that had too few machines, for longer after each consecutive refusal. */
  void recordRefusal(CapacityPool pool) {
    int count = consecutiveRefusals.merge(pool, 1, Integer::sum);
    retryAtByPool.put(pool, runtime.now() + Math.min(MAX_BACKOFF_MS, BACKOFF_STEP_MS * count));
  }

  /** Ends the series of consecutive refusals: the pool had all the machines that were requested. */
  void recordGrant(CapacityPool pool) {
    consecutiveRefusals.remove(pool);
  }

  /** Shortens the back-off from the pool of a machine that has ended. */
  void recordRelease(Machine machine) {
    if (machine.type() != null) {
      CapacityPool pool = CapacityPool.of(machine);
      consecutiveRefusals.remove(pool);
      long retryAt = runtime.now() + RETRY_AFTER_RELEASE_MS;
      retryAtByPool.computeIfPresent(pool, (key, until) -> Math.min(until, retryAt));
    }
  }

  /** Returns whether no machines are to be requested from the pool for now. */
  boolean isInBackoff(CapacityPool pool) {
    return runtime.now() < retryAtByPool.getOrDefault(pool, 0L);
  }

  /** Returns whether every spot pool or every on-demand pool is in back-off. */
  boolean isEveryPoolInBackoff(boolean spot) {
    for (MachineType type : machineTypes.all()) {
      for (String zone : type.zones()) {
        if (!isInBackoff(new CapacityPool(type.name(), machines.zoneIndex(zone), spot))) {
          return false;
        }
      }
    }
    return true;
  }
}
