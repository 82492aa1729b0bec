package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the kernel says that a process or one of its threads has used so far.
 *
 * @param cpuTimeS processor time in seconds
 * @param residentMb memory held now
 * @param sockets open now
 * @param bytesRead read by system calls, which for these processes is nearly all from sockets
 * @param bytesWritten written
 * @param readCalls system calls that read
 * @param writeCalls system calls that wrote
 */
record ProcessUsage(
    double cpuTimeS,
    double residentMb,
    int sockets,
    long bytesRead,
    long bytesWritten,
    long readCalls,
    long writeCalls) {

  private static final Logger LOG = LoggerFactory.getLogger(ProcessUsage.class);
  private static final double TICKS_PER_S = 100;
  private static final double KB_PER_MB = 1024;

  /** In /proc/PID/stat, counted behind the name in parentheses. */
  private static final int USER_TIME = 11;

  private static final int SYSTEM_TIME = 12;
  static final ProcessUsage NONE = new ProcessUsage(0, 0, 0, 0, 0, 0, 0);

  /** A process that is gone has used nothing that could still be read. */
  static ProcessUsage ofProcess(long pid) {
    Path at = Path.of("/proc", Long.toString(pid));
    try {
      Map<String, Long> io = fields(at.resolve("io"));
      return new ProcessUsage(
          cpuTimeS(at),
          fields(at.resolve("status")).getOrDefault("VmRSS", 0L) / KB_PER_MB,
          sockets(at),
          io.getOrDefault("rchar", 0L),
          io.getOrDefault("wchar", 0L),
          io.getOrDefault("syscr", 0L),
          io.getOrDefault("syscw", 0L));
    } catch (IOException e) {
      return NONE;
    }
  }

  /** This process's threads, summed up by the part of their name before the first dash. */
  static Map<String, ProcessUsage> ofOwnThreads() throws IOException {
    Map<String, ProcessUsage> out = new TreeMap<>();
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
      for (Path t : threads) {
        try {
          String role = Files.readString(t.resolve("comm")).trim().split("-", -1)[0];
          Map<String, Long> io = fields(t.resolve("io"));
          ProcessUsage u =
              new ProcessUsage(
                  cpuTimeS(t),
                  0,
                  0,
                  io.getOrDefault("rchar", 0L),
                  io.getOrDefault("wchar", 0L),
                  io.getOrDefault("syscr", 0L),
                  io.getOrDefault("syscw", 0L));
          out.merge(role, u, ProcessUsage::plus);
        } catch (IOException e) {
          LOG.debug("a thread has ended between the listing and the look at it: {}", t);
        }
      }
    }
    return out;
  }

  private static double cpuTimeS(Path at) throws IOException {
    String stat = Files.readString(at.resolve("stat"));
    String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return (Long.parseLong(words[USER_TIME]) + Long.parseLong(words[SYSTEM_TIME])) / TICKS_PER_S;
  }

  private static int sockets(Path at) throws IOException {
    int n = 0;
    try (DirectoryStream<Path> open = Files.newDirectoryStream(at.resolve("fd"))) {
      for (Path f : open) {
        try {
          n += Files.readSymbolicLink(f).toString().startsWith("socket:") ? 1 : 0;
        } catch (IOException e) {
          LOG.debug("closed between the listing and the look at it: {}", f);
        }
      }
    }
    return n;
  }

  private static Map<String, Long> fields(Path file) throws IOException {
    Map<String, Long> out = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      String[] words = line.split(":?\\s+", -1);
      if (words.length > 1 && words[1].matches("[0-9]+")) {
        out.put(words[0], Long.parseLong(words[1]));
      }
    }
    return out;
  }

  ProcessUsage plus(ProcessUsage o) {
    return new ProcessUsage(
        cpuTimeS + o.cpuTimeS,
        residentMb + o.residentMb,
        sockets + o.sockets,
        bytesRead + o.bytesRead,
        bytesWritten + o.bytesWritten,
        readCalls + o.readCalls,
        writeCalls + o.writeCalls);
  }

  /** What was used since an earlier look; what is held now stays as it is. */
  ProcessUsage since(ProcessUsage o) {
    return new ProcessUsage(
        cpuTimeS - o.cpuTimeS,
        residentMb,
        sockets,
        bytesRead - o.bytesRead,
        bytesWritten - o.bytesWritten,
        readCalls - o.readCalls,
        writeCalls - o.writeCalls);
  }

  /** The larger memory and socket count of two looks, with what was used by the later one. */
  ProcessUsage withPeaksOf(ProcessUsage earlier) {
    return new ProcessUsage(
        cpuTimeS,
        Math.max(residentMb, earlier.residentMb),
        Math.max(sockets, earlier.sockets),
        bytesRead,
        bytesWritten,
        readCalls,
        writeCalls);
  }
}
