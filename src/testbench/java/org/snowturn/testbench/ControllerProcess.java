package org.snowturn.testbench;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One real controller: its settings file, its process and what the process has used. */
final class ControllerProcess {
  private static final int KILL_WAIT_S = 5;
  private static final int FIRST_PORT = 10_000;
  private static final int END_PORT = 32_000;
  private static final int MOST_TRIES = 100;

  /** Ports that this process has given to controllers. */
  private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

  final String name;
  final String zone;
  final InetSocketAddress servingAddress;
  final InetSocketAddress peerBindAddress;
  private final Path settings;
  private final Path log;
  private Process process;
  private boolean ended;
  private ProcessUsage before = ProcessUsage.NONE;
  private ProcessUsage peak = ProcessUsage.NONE;

  ControllerProcess(String name, String zone, Path dir) throws IOException {
    this.name = name;
    this.zone = zone;
    this.servingAddress = free();
    this.peerBindAddress = free();
    this.settings = dir.resolve(name + ".toml");
    this.log = dir.resolve(name + ".log");
  }

  /**
   * An address that nobody listens on, below the ports that the system gives to connections: one of
   * those may be taken before the controller listens, or while it is ended and not started again.
   */
  private static InetSocketAddress free() throws IOException {
    for (int tries = 0; tries < MOST_TRIES; tries++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      if (!GIVEN.add(port)) {
        continue;
      }
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), s.getLocalPort());
      } catch (BindException e) {
        // In use: the next one is tried.
      }
    }
    throw new BindException("no free port from " + FIRST_PORT + " to " + END_PORT);
  }

  void writeSettings(String toml) throws IOException {
    Files.writeString(settings, toml);
  }

  /** Starts the process with the given command line, to which the settings file is added. */
  void start(List<String> command, Path workingDirectory, Map<String, String> environment)
      throws IOException {
    List<String> all = new ArrayList<>(command);
    all.add(settings.toAbsolutePath().toString());
    ProcessBuilder builder =
        new ProcessBuilder(all)
            .directory(workingDirectory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putAll(environment);
    process = builder.start();
    ended = false;
  }

  /** Lets the process stand still, or go on. */
  void setPaused(boolean on) throws IOException, InterruptedException {
    if (isAlive()) {
      new ProcessBuilder("kill", on ? "-STOP" : "-CONT", "" + process.pid()).start().waitFor();
    }
  }

  /** Whether the process has ended though nobody has ended it. */
  boolean hasEndedUnexpectedly() {
    return process != null && !ended && !process.isAlive();
  }

  /** All that the process and its predecessors have logged. */
  Path log() {
    return log;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Ends the process at once, as a crash would, and waits until it is gone. */
  void kill() {
    if (process == null) {
      return;
    }
    sampleUsage();
    ended = true;
    process.destroyForcibly();
    try {
      process.waitFor(KILL_WAIT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Forgets what was used so far, so that {@link #usage} tells of a phase of the run. */
  void resetUsage() {
    before = isAlive() ? ProcessUsage.ofProcess(process.pid()) : ProcessUsage.NONE;
    peak = before;
  }

  /** Takes a look; the last one before the process ends counts. */
  void sampleUsage() {
    if (isAlive()) {
      ProcessUsage now = ProcessUsage.ofProcess(process.pid());
      if (now.cpuTimeS() < peak.cpuTimeS()) {
        before = ProcessUsage.NONE; // a new process, whose counters begin anew
      }
      peak = now.withPeaksOf(peak);
    }
  }

  /** What was used since the mark, with the peaks of memory and sockets. */
  ProcessUsage usage() {
    return peak.since(before);
  }
}
