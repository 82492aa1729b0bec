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

/** A controller in a process of its own, with its settings file, log and resource usage. */
final class ControllerProcess {
  private static final int KILL_TIMEOUT_S = 5;

  private static final int FIRST_PORT = 10_000;

  /** Exclusive upper bound of the ports, below the ephemeral range. */
  private static final int END_PORT = 32_000;

  private static final int MAX_PORT_ATTEMPTS = 100;

  /** Ports that this process has assigned to controllers. */
  private static final Set<Integer> ASSIGNED_PORTS = ConcurrentHashMap.newKeySet();

  final String name;
  final String zone;
  final InetSocketAddress servingAddress;
  final InetSocketAddress peerBindAddress;
  private final Path settingsFile;
  private final Path logFile;
  private Process process;
  private boolean wasKilled;
  private ProcessUsage baseline = ProcessUsage.NONE;
  private ProcessUsage latest = ProcessUsage.NONE;

  /**
   * Creates a controller with two free ports, whose process is not yet started.
   *
   * @param name the controller's node name
   * @param zone the zone that the controller reports as its location
   * @param dir directory for the settings file and the log
   */
  ControllerProcess(String name, String zone, Path dir) throws IOException {
    this.name = name;
    this.zone = zone;
    this.servingAddress = findFreeAddress();
    this.peerBindAddress = findFreeAddress();
    this.settingsFile = dir.resolve(name + ".toml");
    this.logFile = dir.resolve(name + ".log");
  }

  /**
   * Returns an unused loopback address with a port below the ephemeral range. The system could
   * assign an ephemeral port to a connection before the controller listens, or while the controller
   * is down between two starts.
   */
  private static InetSocketAddress findFreeAddress() throws IOException {
    for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      if (!ASSIGNED_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
      } catch (BindException e) {
        // The port is in use; the loop tries another one.
      }
    }
    throw new BindException(
        "no free loopback port found between "
            + FIRST_PORT
            + " and "
            + (END_PORT - 1)
            + " in "
            + MAX_PORT_ATTEMPTS
            + " attempts");
  }

  /** Writes the settings file; the next start reads it. */
  void writeSettings(String toml) throws IOException {
    Files.writeString(settingsFile, toml);
  }

  /**
   * Starts the process and appends its output to the log.
   *
   * @param command command line, to which the path of the settings file is appended
   * @param workingDirectory working directory of the process
   * @param environment variables added to this process's environment
   */
  void start(List<String> command, Path workingDirectory, Map<String, String> environment)
      throws IOException {
    List<String> fullCommand = new ArrayList<>(command);
    fullCommand.add(settingsFile.toAbsolutePath().toString());
    ProcessBuilder builder =
        new ProcessBuilder(fullCommand)
            .directory(workingDirectory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    builder.environment().putAll(environment);
    process = builder.start();
    wasKilled = false;
  }

  /** Suspends the process with SIGSTOP, or resumes it with SIGCONT. */
  void setPaused(boolean isPaused) throws IOException, InterruptedException {
    if (isAlive()) {
      new ProcessBuilder("kill", isPaused ? "-STOP" : "-CONT", "" + process.pid())
          .start()
          .waitFor();
    }
  }

  /** Returns whether the process has ended without a call of {@link #kill}. */
  boolean hasEndedUnexpectedly() {
    return process != null && !wasKilled && !process.isAlive();
  }

  /** Returns the file with the output of this process and its predecessors. */
  Path log() {
    return logFile;
  }

  /** Returns whether the process has been started and is running. */
  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process, as a crash would, and waits until it has ended. */
  void kill() {
    if (process == null) {
      return;
    }
    sampleUsage();
    wasKilled = true;
    process.destroyForcibly();
    try {
      process.waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Restarts the measurement, so that {@link #usage} covers the time from now on. */
  void resetUsage() {
    baseline = isAlive() ? ProcessUsage.ofProcess(process.pid()) : ProcessUsage.NONE;
    latest = baseline;
  }

  /** Reads the usage of the running process; the last sample before its end is kept. */
  void sampleUsage() {
    if (isAlive()) {
      ProcessUsage now = ProcessUsage.ofProcess(process.pid());
      if (now.cpuTimeS() < latest.cpuTimeS()) {
        baseline = ProcessUsage.NONE; // a restarted process, whose counters begin at zero
      }
      latest = now.withPeaksOf(latest);
    }
  }

  /** Returns the usage since the last reset, with peak memory and peak socket count. */
  ProcessUsage usage() {
    return latest.since(baseline);
  }
}
