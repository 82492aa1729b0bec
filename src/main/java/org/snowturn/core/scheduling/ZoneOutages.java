package org.snowturn.core.scheduling;

import java.util.Arrays;
import org.snowturn.core.model.Machine;

/**
 * Whose silence it is when machines are not heard: their own, their zone's, or this node's.
 *
 * <p>Zones that have fallen silent as a whole while others are heard are cut off: machines hired
 * there would not be heard of either, and those on their way are no help for now.
 */
public final class ZoneOutages {
  /** Fewer silent machines than this may have died one by one. */
  private static final int ENOUGH = 3;

  private final boolean[] dark;
  private final int[] heard;
  private final int[] silent;

  /** Of the silent ones, those that are not about to be deleted. */
  private final int[] kept;

  private boolean inReach;

  public ZoneOutages(int zones) {
    dark = new boolean[zones];
    heard = new int[zones];
    silent = new int[zones];
    kept = new int[zones];
  }

  /** Starts a new count. */
  public void begin() {
    Arrays.fill(heard, 0);
    Arrays.fill(silent, 0);
    Arrays.fill(kept, 0);
  }

  /** Counts a machine that has been up. */
  public void count(Machine machine, boolean quiet) {
    (quiet ? silent : heard)[machine.zone()]++;
    kept[machine.zone()] += quiet && !machine.isTerminating() ? 1 : 0;
  }

  /** Judges by the count; a dark zone stays dark until one of its machines is heard. */
  public void end() {
    boolean any = Arrays.stream(heard).anyMatch(n -> n > 0);
    for (int z = 0; z < dark.length; z++) {
      dark[z] = any && heard[z] == 0 && (dark[z] || silent[z] >= ENOUGH);
    }
    int allHeard = Arrays.stream(heard).sum();
    int allKept = Arrays.stream(kept).sum();
    inReach = allKept <= Math.max(2, allHeard * 2 / 3);
    for (int z = 0; z < dark.length; z++) {
      inReach |= heard[z] >= ENOUGH && kept[z] * 3 <= heard[z] * 2;
    }
  }

  /**
   * Whether silence is not this node's own: it hears most machines, or most of some zone. A zone
   * that is cut off may hold more machines than all others together.
   */
  public boolean inReach() {
    return inReach;
  }

  public boolean dark(int zone) {
    return dark[zone];
  }
}
