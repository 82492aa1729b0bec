package org.snowturn.core.autoscaling;

import java.util.Arrays;
import org.snowturn.core.model.Machine;

/**
 * A detector of zone outages, which distinguishes failures of single machines, outages of their
 * zone and faults of this node's own connection. A machine is silent if its heartbeats are missing.
 *
 * <p>A zone has an outage if all its machines are silent while machines of other zones send
 * heartbeats. Machines that boot or are rented there cannot be reached until the outage ends.
 */
public final class ZoneOutages {
  /**
   * Minimum number of machines that shows the state of a zone: fewer may have failed one by one.
   */
  private static final int MIN_MACHINES = 3;

  /** Whether each zone has an outage. */
  private final boolean[] hasOutage;

  /** Number of machines by zone that send heartbeats. */
  private final int[] heardMachines;

  /** Number of machines by zone whose heartbeats are missing. */
  private final int[] silentMachines;

  /** Number of silent machines by zone that are not about to be deleted. */
  private final int[] silentRemainingMachines;

  private boolean isConnected;

  /** Creates a detector for this number of zones, all of them without an outage. */
  public ZoneOutages(int zoneCount) {
    hasOutage = new boolean[zoneCount];
    heardMachines = new int[zoneCount];
    silentMachines = new int[zoneCount];
    silentRemainingMachines = new int[zoneCount];
  }

  /** Resets the counts of machines. */
  public void reset() {
    Arrays.fill(heardMachines, 0);
    Arrays.fill(silentMachines, 0);
    Arrays.fill(silentRemainingMachines, 0);
  }

  /** Counts a machine that has sent at least one heartbeat. */
  public void count(Machine machine, boolean isSilent) {
    (isSilent ? silentMachines : heardMachines)[machine.zone()]++;
    silentRemainingMachines[machine.zone()] +=
        isSilent && !machine.lifecycle.isTerminating() ? 1 : 0;
  }

  /** Evaluates the counts. An outage ends as soon as one of the zone's machines is heard. */
  public void evaluate() {
    boolean anyHeard = Arrays.stream(heardMachines).anyMatch(count -> count > 0);
    for (int zone = 0; zone < hasOutage.length; zone++) {
      hasOutage[zone] =
          anyHeard
              && heardMachines[zone] == 0
              && (hasOutage[zone] || silentMachines[zone] >= MIN_MACHINES);
    }
    int allHeard = Arrays.stream(heardMachines).sum();
    int allSilent = Arrays.stream(silentRemainingMachines).sum();
    isConnected = allSilent <= Math.max(2, allHeard * 2 / 3);
    for (int zone = 0; zone < hasOutage.length; zone++) {
      isConnected |=
          heardMachines[zone] >= MIN_MACHINES
              && silentRemainingMachines[zone] * 3 <= heardMachines[zone] * 2;
    }
  }

  /**
   * Returns whether this node's own connection works: it receives heartbeats of most machines, or
   * of most machines of at least one zone, since a zone with an outage may hold more machines than
   * all others together.
   */
  public boolean isConnected() {
    return isConnected;
  }

  /** Returns whether the zone has an outage. */
  public boolean hasOutage(int zone) {
    return hasOutage[zone];
  }
}
