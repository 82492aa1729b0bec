package org.snowturn.core;

import java.util.Arrays;

/**
 * Zones that have fallen silent as a whole while others are heard: they are cut off, so machines
 * hired there would not be heard of either, and those on their way are no help for now.
 */
final class DarkZones {
  /** Fewer silent machines than this may have died one by one. */
  private static final int ENOUGH = 3;

  private final boolean[] dark;
  private final int[] heard;
  private final int[] silent;

  DarkZones(int zones) {
    dark = new boolean[zones];
    heard = new int[zones];
    silent = new int[zones];
  }

  /** Starts a new count. */
  void begin() {
    Arrays.fill(heard, 0);
    Arrays.fill(silent, 0);
  }

  /** Counts a machine that has been up. */
  void count(Machine m, boolean quiet) {
    (quiet ? silent : heard)[m.zone]++;
  }

  /** Judges by the count; a dark zone stays dark until one of its machines is heard. */
  void end() {
    boolean any = Arrays.stream(heard).anyMatch(n -> n > 0);
    for (int z = 0; z < dark.length; z++) {
      dark[z] = any && heard[z] == 0 && (dark[z] || silent[z] >= ENOUGH);
    }
  }

  boolean dark(int zone) {
    return dark[zone];
  }
}
