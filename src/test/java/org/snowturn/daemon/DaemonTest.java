package org.snowturn.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.wire.Submissions;

/** A real daemon on loopback whose state service and cloud refuse connections. */
class DaemonTest {
  private final HttpClient http = HttpClient.newHttpClient();
  private Daemon daemon;
  private InetSocketAddress at;
  private Settings settings;

  private static InetSocketAddress free() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", s.getLocalPort());
    }
  }

  @BeforeEach
  void start() throws Exception {
    at = free();
    settings =
        new Settings(
            "n0",
            "a",
            at,
            free(),
            List.of(),
            free(),
            free(),
            List.of("a"),
            List.of(new Settings.Team("t", 0, 0, 0, 0)),
            List.of(),
            new Settings.Workers(2, 10, 30),
            new Settings.StateLimits(100, 20, 4, 8),
            new Settings.StateLimits(100, 20, 4, 8),
            new Settings.CloudLimits(2, 1),
            100);
    daemon = new Daemon(settings, Tunables.defaults(), System.nanoTime());
    assertEquals(Daemon.KEEPS_RUNNING, daemon.start());
  }

  @AfterEach
  void stop() {
    daemon.stop();
  }

  private HttpResponse<String> send(String method, String path, String body) throws Exception {
    HttpRequest.BodyPublisher b =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    return http.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.getPort() + path))
            .method(method, b)
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static ObjectNode job() {
    return Submissions.array("wk-000001", 2).putNull("hulls").putNull("field");
  }

  @Test
  void malformedRequestsAreAnswered400() throws Exception {
    assertEquals(400, send("POST", "/v2/runs", "{").statusCode());
    assertEquals(400, send("POST", "/v2/runs", "[]").statusCode());
    assertEquals(400, send("POST", "/v2/runs", "").statusCode());
    List<String> fields = new ArrayList<>();
    Submissions.array("wk-000001", 2).fieldNames().forEachRemaining(fields::add);
    for (String field : fields) {
      ObjectNode missing = job();
      missing.remove(field);
      assertEquals(400, send("POST", "/v2/runs", missing.toString()).statusCode(), field);
    }
    for (int tasks : new int[] {0, -1, 100_001}) {
      assertEquals(
          400, send("POST", "/v2/runs", job().put("flakes", tasks).toString()).statusCode());
    }
    assertEquals(400, send("POST", "/v2/runs", job().put("id", "job-1").toString()).statusCode());
    assertEquals(400, send("POST", "/v2/runs", job().put("cores", "2").toString()).statusCode());
    assertEquals(400, send("POST", "/checkin", "{}").statusCode());
  }

  @Test
  void whatCannotBeDecidedIsRefusedAtOnceWithRetryAfter() throws Exception {
    HttpResponse<String> r = send("POST", "/v2/runs", job().toString());
    assertEquals(503, r.statusCode());
    assertEquals("1", r.headers().firstValue("Retry-After").orElse(""));
    assertEquals(503, send("GET", "/v2/runs/wk-000001", null).statusCode());
    assertEquals(503, send("POST", "/v2/runs/wk-000001/cancel", "").statusCode());
  }

  @Test
  void httpIsSpokenAsClientsExpect() throws Exception {
    assertEquals(200, send("GET", "/ready", null).statusCode());
    assertEquals(404, send("GET", "/nowhere", null).statusCode());
    assertEquals(404, send("GET", "/v2/runs/no-such-form", null).statusCode());
    HttpResponse<String> wrong = send("DELETE", "/v2/runs/wk-000001", null);
    assertEquals(405, wrong.statusCode());
    assertEquals("GET", wrong.headers().firstValue("Allow").orElse(""));
    assertEquals(405, send("GET", "/checkin", null).statusCode());
    assertEquals(413, send("POST", "/v2/runs", "x".repeat(64 * 1024 + 1)).statusCode());
    assertTrue(send("GET", "/metrics", null).body().contains("snowturn_calls"));
  }

  @Test
  void aNodeThatDoesNotLeadSendsWorkersElsewhere() throws Exception {
    String report =
        "{\"drift\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"h\",\"field\":\"a\","
            + "\"thaw\":1,\"tally\":1,\"flakes\":[]}";
    assertEquals(421, send("POST", "/checkin", report).statusCode());
  }

  /** The node of these tests may have a hundred sockets. */
  @Test
  void connectionsAreOnlyKeptWhileSocketsAreNotShort() throws Exception {
    List<Socket> others = new ArrayList<>();
    try {
      assertTrue(keptAfterAnswer());
      for (int i = 0; i < 90; i++) {
        others.add(new Socket("127.0.0.1", at.getPort()));
      }
      // The node has accepted them all once it answers one that came later.
      assertFalse(keptAfterAnswer());
      assertTrue(send("GET", "/metrics", null).body().contains("snowturn_connections_closed"));
    } finally {
      for (Socket s : others) {
        s.close();
      }
    }
  }

  /** Callers need not close their end: it is the node's sockets that are short. */
  @Test
  void aConnectionThatIsNotKeptIsClosedAtOnce() throws Exception {
    List<Socket> callers = new ArrayList<>();
    try {
      for (int i = 0; i < 95; i++) {
        callers.add(new Socket("127.0.0.1", at.getPort()));
      }
      String question = "GET /v2/runs/wk-000001 HTTP/1.1\r\nHost: n0\r\n\r\n";
      for (Socket caller : callers) {
        caller.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
        assertEquals('H', caller.getInputStream().read());
      }
      int open = 95;
      for (int i = 0; i < 200 && open > 80; i++) {
        Thread.sleep(10);
        open = connectionsOpen();
      }
      assertTrue(open <= 80, open + " connections still open");
    } finally {
      for (Socket s : callers) {
        s.close();
      }
    }
  }

  /** Workers that give up while they are waited for, or wait, take up nothing that others need. */
  @Test
  void reportsWhoseSendersHaveGoneLeaveNoTrace() throws Exception {
    String body =
        "{\"drift\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"h\",\"field\":\"a\","
            + "\"thaw\":1,\"tally\":1,\"flakes\":[]}";
    String head = "POST /checkin HTTP/1.1\r\nHost: n0\r\nContent-Length: ";
    for (int i = 0; i < 300; i++) {
      // A third never sends all of its report, and so is still being read when it goes.
      int length = body.length() + (i % 3 == 0 ? 10 : 0);
      try (Socket s = new Socket("127.0.0.1", at.getPort())) {
        s.getOutputStream()
            .write((head + length + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
      }
    }
    for (int i = 0; i < 100; i++) {
      assertEquals(421, send("POST", "/checkin", body).statusCode());
    }
  }

  private int connectionsOpen() throws Exception {
    String line =
        send("GET", "/metrics", null)
            .body()
            .lines()
            .filter(l -> l.startsWith("snowturn_connections_open"))
            .findFirst()
            .orElseThrow();
    return (int) Double.parseDouble(line.split(" ")[1]);
  }

  private boolean keptAfterAnswer() throws Exception {
    HttpResponse<String> r = send("GET", "/v2/runs/wk-000001", null);
    assertEquals(503, r.statusCode());
    return !r.headers().firstValue("Connection").orElse("").equals("close");
  }

  @Test
  void aPortInUseEndsTheStartWithAStatus() throws Exception {
    assertEquals(1, new Daemon(settings, Tunables.defaults(), System.nanoTime()).start());
  }
}
