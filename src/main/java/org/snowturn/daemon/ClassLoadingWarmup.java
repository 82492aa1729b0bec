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
 * Runs the daemon for a moment so that the build can archive the classes it loads: on a small share
 * of a core most of the start-up is class loading.
 */
final class ClassLoadingWarmup {
  /**
   * A build machine may be busy with much else: two seconds were too few for two builds at once.
   */
  private static final int PATIENCE_MS = 30_000;

  private ClassLoadingWarmup() {}

  static int run() throws Exception {
    int serve = freePort();
    int nowhere = freePort();
    Path file = Files.createTempFile("rehearsal", ".toml");
    String text =
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
            .formatted(serve, freePort(), nowhere, nowhere, serve);
    Files.writeString(file, text);
    Settings settings = SettingsReader.read(file);
    Files.delete(file);
    Daemon daemon = new Daemon(settings, Tunables.defaults(), System.nanoTime());
    if (daemon.start() != Daemon.KEEPS_RUNNING) {
      return 1;
    }
    // The daemon is its own state service here: it answers itself 404, which loads the client too.
    request(serve, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    request(serve, "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    request(serve, "GET /v2/runs/wk-000001 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    post(serve, "/v2/runs", "{\"id\":\"wk-000001\"}");
    post(
        serve,
        "/checkin",
        "{\"drift\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"h\",\"field\":\"z\",\"thaw\":1,"
            + "\"tally\":1,\"flakes\":[{\"flake\":\"wk-000001/0\",\"try\":1,"
            + "\"phase\":\"running\"}]}");
    Thread.sleep(600);
    loadOwnClasses();
    daemon.stop();
    return 0;
  }

  /** What only a leader uses is not met in a rehearsal, but a takeover should not wait for it. */
  private static void loadOwnClasses() throws Exception {
    URI jar = ClassLoadingWarmup.class.getProtectionDomain().getCodeSource().getLocation().toURI();
    try (JarFile file = new JarFile(Path.of(jar).toFile())) {
      for (JarEntry e : Collections.list(file.entries())) {
        if (e.getName().endsWith(".class")) {
          Class.forName(e.getName().replace('/', '.').substring(0, e.getName().length() - 6));
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

  private static void request(int port, String text) throws Exception {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), PATIENCE_MS);
      s.setSoTimeout(PATIENCE_MS);
      s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      s.getInputStream().readAllBytes();
    }
  }

  private static int freePort() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }
}
