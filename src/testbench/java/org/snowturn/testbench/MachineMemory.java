package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The physical memory of this machine, as Linux reports it. */
final class MachineMemory {
  private static final long KB_PER_MB = 1024;

  private MachineMemory() {}

  /** Returns the total memory in MB, or 0 if {@code /proc/meminfo} has no such entry. */
  static long totalMb() throws IOException {
    String line =
        Files.readAllLines(Path.of("/proc/meminfo")).stream()
            .filter(entry -> entry.startsWith("MemTotal"))
            .findFirst()
            .orElse("MemTotal: 0 kB");
    return Long.parseLong(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
  }
}
