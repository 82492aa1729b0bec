package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small helpers for JSON and HTTP/1.1 over loopback. */
final class Net {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(THREADS)
          .build();

  /** The answer to a request; status 0 stands for no answer. */
  record Answer(int status, byte[] body) {
    JsonNode json() {
      try {
        return body == null || body.length == 0 ? object() : parse(body);
      } catch (Exception e) {
        return object();
      }
    }

    String text() {
      return body == null ? "" : new String(body, StandardCharsets.UTF_8);
    }
  }

  interface Handler {
    void handle(HttpExchange exchange) throws Exception;
  }

  private Net() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void run(Runnable task) {
    THREADS.execute(task);
  }

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  static JsonNode parse(byte[] bytes) throws Exception {
    return MAPPER.readTree(bytes);
  }

  static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  static HttpServer server(int port, Handler handler) throws Exception {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (Exception e) {
            // The client has gone, or the test is over.
          } finally {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static void reply(HttpExchange exchange, int status, JsonNode body) throws Exception {
    byte[] bytes = body == null ? new byte[0] : bytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    if (Boolean.getBoolean("review.close")) {
      exchange.getResponseHeaders().set("Connection", "close");
    }
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    }
  }

  static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          values.put(
              part.substring(0, equals),
              java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
    }
    return values;
  }

  /** Sends a request and waits for the answer. */
  static Answer call(int port, String method, String path, byte[] body, long timeoutMs) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body));
    try {
      HttpResponse<byte[]> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
      return new Answer(response.statusCode(), response.body());
    } catch (Exception e) {
      return new Answer(0, null);
    }
  }
}
