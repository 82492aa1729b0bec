package org.snowturn.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.wire.Submissions;

/**
 * Guards the HTTP interface of a daemon that runs on loopback with an unreachable state service and
 * cloud: statuses, headers and the exit status of a failed start.
 */
class DaemonTest {
  private final HttpClient http = HttpClient.newHttpClient();
  private Daemon daemon;
  private InetSocketAddress serveOn;
  private Settings settings;

  private static InetSocketAddress freeAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  @BeforeEach
  void start() throws Exception {
    serveOn = freeAddress();
    settings =
        new Settings(
            "n0",
            "a",
            serveOn,
            freeAddress(),
            List.of(),
            freeAddress(),
            freeAddress(),
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
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    return http.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + serveOn.getPort() + path))
            .method(method, publisher)
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static ObjectNode submission() {
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
      ObjectNode missing = submission();
      missing.remove(field);
      assertEquals(400, send("POST", "/v2/runs", missing.toString()).statusCode(), field);
    }
    for (int tasks : new int[] {0, -1, 100_001}) {
      assertEquals(
          400, send("POST", "/v2/runs", submission().put("flakes", tasks).toString()).statusCode());
    }
    assertEquals(
        400, send("POST", "/v2/runs", submission().put("id", "job-1").toString()).statusCode());
    assertEquals(
        400, send("POST", "/v2/runs", submission().put("cores", "2").toString()).statusCode());
    assertEquals(400, send("POST", "/checkin", "{}").statusCode());
  }

  @Test
  void requestsAreRefusedWithRetryAfterWithoutStateService() throws Exception {
    HttpResponse<String> response = send("POST", "/v2/runs", submission().toString());
    assertEquals(503, response.statusCode());
    assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
    assertEquals(503, send("GET", "/v2/runs/wk-000001", null).statusCode());
    assertEquals(503, send("POST", "/v2/runs/wk-000001/cancel", "").statusCode());
  }

  @Test
  void statusFollowsPathMethodAndBodySize() throws Exception {
    assertEquals(200, send("GET", "/ready", null).statusCode());
    assertEquals(404, send("GET", "/nowhere", null).statusCode());
    assertEquals(404, send("GET", "/v2/runs/no-such-form", null).statusCode());
    HttpResponse<String> wrongMethod = send("DELETE", "/v2/runs/wk-000001", null);
    assertEquals(405, wrongMethod.statusCode());
    assertEquals("GET", wrongMethod.headers().firstValue("Allow").orElse(""));
    assertEquals(405, send("GET", "/checkin", null).statusCode());
    assertEquals(413, send("POST", "/v2/runs", "x".repeat(64 * 1024 + 1)).statusCode());
    assertTrue(send("GET", "/metrics", null).body().contains("snowturn_calls"));
  }

  @Test
  void heartbeatsAreRefusedWith421ByANodeThatIsNotLeader() throws Exception {
    String heartbeat =
        "{\"drift\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"hull\":\"h\",\"field\":\"a\","
            + "\"thaw\":1,\"tally\":1,\"flakes\":[]}";
    assertEquals(421, send("POST", "/checkin", heartbeat).statusCode());
  }

  @Test
  void startReturnsAnExitStatusIfThePortIsInUse() throws Exception {
    assertEquals(1, new Daemon(settings, Tunables.defaults(), System.nanoTime()).start());
  }
}
