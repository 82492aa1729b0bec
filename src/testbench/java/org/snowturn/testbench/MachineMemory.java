package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** How much memory this machine has. */
final class MachineMemory {
  private MachineMemory() {}

  static long totalMb() throws IOException {
    String line =
        Files.readAllLines(Path.of("/proc/meminfo")).stream()
            .filter(l -> l.startsWith("MemTotal"))
            .findFirst()
            .orElse("MemTotal: 0 kB");
    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
  }
}
