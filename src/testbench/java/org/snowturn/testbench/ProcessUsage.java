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
 * Resource usage of a process or a thread, as Linux reports it under {@code /proc}. Sizes and
 * counts of reads and writes include files; for these processes nearly all of it is socket traffic.
 *
 * @param cpuTimeS CPU time in user and system mode since the start, in seconds
 * @param residentMb resident memory in MB; 0 for a thread
 * @param sockets number of open sockets; 0 for a thread
 * @param bytesRead bytes read by system calls since the start
 * @param bytesWritten bytes written by system calls since the start
 * @param readCalls number of read system calls since the start
 * @param writeCalls number of write system calls since the start
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

  /** Unit of CPU times in {@code /proc}: USER_HZ, which is 100 on common Linux platforms. */
  private static final double TICKS_PER_S = 100;

  private static final double KB_PER_MB = 1024;

  /** Index of utime in {@code /proc/PID/stat}, from 0 at the field after the parentheses. */
  private static final int USER_TIME_INDEX = 11;

  /** Index of stime, counted likewise. */
  private static final int SYSTEM_TIME_INDEX = 12;

  /** A usage in which every value is 0. */
  static final ProcessUsage NONE = new ProcessUsage(0, 0, 0, 0, 0, 0, 0);

  /**
   * Reads the usage of a process.
   *
   * @param pid process id
   * @return the usage, or {@link #NONE} if it cannot be read, for example after the process's end
   */
  static ProcessUsage ofProcess(long pid) {
    Path directory = Path.of("/proc", Long.toString(pid));
    try {
      Map<String, Long> io = readNumbers(directory.resolve("io"));
      return new ProcessUsage(
          readCpuTimeS(directory),
          readNumbers(directory.resolve("status")).getOrDefault("VmRSS", 0L) / KB_PER_MB,
          countSockets(directory),
          io.getOrDefault("rchar", 0L),
          io.getOrDefault("wchar", 0L),
          io.getOrDefault("syscr", 0L),
          io.getOrDefault("syscw", 0L));
    } catch (IOException e) {
      return NONE;
    }
  }

  /**
   * Reads the usage of this process's threads.
   *
   * @return the sums of usage by role, which is a thread's name up to the first dash
   */
  static Map<String, ProcessUsage> ofOwnThreads() throws IOException {
    Map<String, ProcessUsage> usageByRole = new TreeMap<>();
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
      for (Path thread : threads) {
        try {
          String role = Files.readString(thread.resolve("comm")).trim().split("-", -1)[0];
          Map<String, Long> io = readNumbers(thread.resolve("io"));
          ProcessUsage usage =
              new ProcessUsage(
                  readCpuTimeS(thread),
                  0,
                  0,
                  io.getOrDefault("rchar", 0L),
                  io.getOrDefault("wchar", 0L),
                  io.getOrDefault("syscr", 0L),
                  io.getOrDefault("syscw", 0L));
          usageByRole.merge(role, usage, ProcessUsage::plus);
        } catch (IOException e) {
          LOG.debug("Skipped a thread that ended while its usage was read: {}", thread);
        }
      }
    }
    return usageByRole;
  }

  private static double readCpuTimeS(Path directory) throws IOException {
    String stat = Files.readString(directory.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX]))
        / TICKS_PER_S;
  }

  private static int countSockets(Path directory) throws IOException {
    int count = 0;
    try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(directory.resolve("fd"))) {
      for (Path descriptor : descriptors) {
        try {
          count += Files.readSymbolicLink(descriptor).toString().startsWith("socket:") ? 1 : 0;
        } catch (IOException e) {
          LOG.debug("Skipped a file descriptor that was closed while it was read: {}", descriptor);
        }
      }
    }
    return count;
  }

  /** Reads the lines that consist of a name and a number, possibly with a unit. */
  private static Map<String, Long> readNumbers(Path file) throws IOException {
    Map<String, Long> numbers = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      String[] words = line.split(":?\\s+", -1);
      if (words.length > 1 && words[1].matches("[0-9]+")) {
        numbers.put(words[0], Long.parseLong(words[1]));
      }
    }
    return numbers;
  }

  /** Returns the sum of this usage and another one. */
  ProcessUsage plus(ProcessUsage other) {
    return new ProcessUsage(
        cpuTimeS + other.cpuTimeS,
        residentMb + other.residentMb,
        sockets + other.sockets,
        bytesRead + other.bytesRead,
        bytesWritten + other.bytesWritten,
        readCalls + other.readCalls,
        writeCalls + other.writeCalls);
  }

  /**
   * Returns the usage since an earlier sample: the differences of the cumulative values, with the
   * memory and the sockets of this sample.
   */
  ProcessUsage since(ProcessUsage earlier) {
    return new ProcessUsage(
        cpuTimeS - earlier.cpuTimeS,
        residentMb,
        sockets,
        bytesRead - earlier.bytesRead,
        bytesWritten - earlier.bytesWritten,
        readCalls - earlier.readCalls,
        writeCalls - earlier.writeCalls);
  }

  /**
   * Returns this sample with the larger memory and the larger socket count of this and an earlier
   * sample.
   */
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
