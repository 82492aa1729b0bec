package org.snowturn.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.snowturn.config.Settings;
import org.snowturn.config.SettingsReader;
import org.snowturn.config.Tunables;

/**
 * Warm-up run of the daemon, in which the build records the loaded classes for a class data sharing
 * (CDS) archive. Where the process gets only a small share of a core, class loading takes most of
 * the start-up.
 */
final class ClassLoadingWarmup {
  /** Timeout of each request. 2 s were too short for two builds at once on the same machine. */
  private static final int REQUEST_TIMEOUT_MS = 30_000;

  /** Time after the last request for the daemon's own calls, whose classes are recorded too. */
  private static final int RUN_TIME_MS = 600;

  private static final int EXIT_START_FAILED = 1;
  private static final String CLASS_SUFFIX = ".class";

  private ClassLoadingWarmup() {}

  /**
   * Runs a daemon on loopback ports, sends it a few requests and stops it.
   *
   * @return the exit status: 0, or 1 if the daemon cannot start
   */
  static int run() throws Exception {
    int servePort = freePort();
    int unusedPort = freePort();
    Path settingsFile = Files.createTempFile("rehearsal", ".toml");
    String settingsText =
        """
        node = "a"
        location = "z"
        serve_on = "127.0.0.1:%d"
        peer_bind = "127.0.0.1:%d"
        [[peers]]
        node = "b"
        location = "z"
        addr = "127.0.0.1:%d"
        [outside]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [deployment]
        zones = ["z"]
        [[deployment.teams]]
        name = "t"
        cpus = 0.0
        [[deployment.objectives]]
        kind = "wait"
        class = "c"
        share = 0.5
        within_s = 1.0
        [deployment.workers]
        report_s = 1.0
        lease_s = 5.0
        cancel_s = 30.0
        [deployment.state]
        rps = 100.0
        write_rps = 20.0
        value_kb = 4.0
        txn_ops = 8
        [deployment.cloud]
        rps = 2.0
        list_lag_s = 1.0
        """
            .formatted(servePort, freePort(), unusedPort, unusedPort, servePort);
    Files.writeString(settingsFile, settingsText);
    Settings settings = SettingsReader.read(settingsFile);
    Files.delete(settingsFile);
    Daemon daemon = new Daemon(settings, Tunables.defaults(), System.nanoTime());
    if (daemon.start() != Daemon.KEEPS_RUNNING) {
      return EXIT_START_FAILED;
    }
    // The settings name the daemon itself as the state service. It answers these requests with 404,
    // which loads the classes of the client too.
    request(servePort, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    request(servePort, "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    request(servePort, "GET /v2/runs/wk-000001 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    post(servePort, "/v2/runs", "{\"id\":\"wk-000001\"}");
    post(
        servePort,
        "/checkin",
        "{\"drift\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"h\",\"field\":\"z\",\"thaw\":1,"
            + "\"tally\":1,\"flakes\":[{\"flake\":\"wk-000001/0\",\"try\":1,"
            + "\"phase\":\"running\"}]}");
    Thread.sleep(RUN_TIME_MS);
    loadOwnClasses();
    daemon.stop();
    return 0;
  }

  /**
   * Loads all classes of the program's own jar. The warm-up run never becomes leader, and a
   * takeover must not wait until the classes that only a leader uses are loaded.
   */
  private static void loadOwnClasses() throws Exception {
    URI jar = ClassLoadingWarmup.class.getProtectionDomain().getCodeSource().getLocation().toURI();
    try (JarFile jarFile = new JarFile(Path.of(jar).toFile())) {
      for (JarEntry entry : Collections.list(jarFile.entries())) {
        if (entry.getName().endsWith(CLASS_SUFFIX)) {
          Class.forName(
              entry
                  .getName()
                  .replace('/', '.')
                  .substring(0, entry.getName().length() - CLASS_SUFFIX.length()));
        }
      }
    }
  }

  private static void post(int port, String path, String body) throws Exception {
    request(
        port,
        "POST "
            + path
            + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private static void request(int port, String requestText) throws Exception {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port), REQUEST_TIMEOUT_MS);
      socket.setSoTimeout(REQUEST_TIMEOUT_MS);
      socket.getOutputStream().write(requestText.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    }
  }

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
