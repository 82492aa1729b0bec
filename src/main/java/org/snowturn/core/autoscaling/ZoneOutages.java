package org.snowturn.core.autoscaling;

import java.util.Arrays;
import org.snowturn.core.model.Machine;

/**
 * Whether silent machines point to the machines themselves, to an outage of their zone, or to this
 * node's own connection.
 *
 * <p>A zone that has fallen silent as a whole while others are heard has an outage: machines rented
 * there would not be heard either, and those that boot there are no help for now.
 */
public final class ZoneOutages {
  /** Fewer silent machines than this may have died one by one. */
  private static final int MIN_MACHINES = 3;

  private final boolean[] out;
  private final int[] heard;
  private final int[] silent;

  /** Of the silent ones, those that are not about to be deleted. */
  private final int[] silentRemaining;

  private boolean connected;

  /** No outage is known in any of so many zones. */
  public ZoneOutages(int zoneCount) {
    out = new boolean[zoneCount];
    heard = new int[zoneCount];
    silent = new int[zoneCount];
    silentRemaining = new int[zoneCount];
  }

  /** Starts a new count. */
  public void reset() {
    Arrays.fill(heard, 0);
    Arrays.fill(silent, 0);
    Arrays.fill(silentRemaining, 0);
  }

  /** Counts a machine that has been up. */
  public void count(Machine machine, boolean isSilent) {
    (isSilent ? silent : heard)[machine.zone()]++;
    silentRemaining[machine.zone()] += isSilent && !machine.isTerminating() ? 1 : 0;
  }

  /** Evaluates the count; an outage lasts until one of the zone's machines is heard. */
  public void evaluate() {
    boolean anyHeard = Arrays.stream(heard).anyMatch(count -> count > 0);
    for (int zone = 0; zone < out.length; zone++) {
      out[zone] = anyHeard && heard[zone] == 0 && (out[zone] || silent[zone] >= MIN_MACHINES);
    }
    int allHeard = Arrays.stream(heard).sum();
    int allSilent = Arrays.stream(silentRemaining).sum();
    connected = allSilent <= Math.max(2, allHeard * 2 / 3);
    for (int zone = 0; zone < out.length; zone++) {
      connected |= heard[zone] >= MIN_MACHINES && silentRemaining[zone] * 3 <= heard[zone] * 2;
    }
  }

  /**
   * Whether silence is not this node's own: it hears most machines, or most of some zone. A zone
   * with an outage may hold more machines than all others together.
   */
  public boolean isConnected() {
    return connected;
  }

  /** Whether the zone has an outage. */
  public boolean hasOutage(int zone) {
    return out[zone];
  }
}
