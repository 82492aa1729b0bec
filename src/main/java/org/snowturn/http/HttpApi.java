package org.snowturn.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.metrics.Metrics;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/**
 * The HTTP side that users, workers, the load balancer and operators see. All of it belongs to the
 * one I/O thread of the server; requests are handed to the core on that thread.
 */
public final class HttpApi implements HttpHandler {
  /** Largest request body. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(HttpApi.class);
  private static final String RUNS = "/v2/runs";
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private final Consumer<Input> core;
  private final BooleanSupplier ready;
  private final Metrics metrics;
  private final Consumer<Consumer<Map<String, Double>>> gauges;
  private final int mostOpen;
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private long nextExchange = 1;

  private record Waiting(HttpServerExchange exchange, String kind, long sinceNanos) {}

  private interface WithBody {
    void on(JsonNode body) throws MalformedException;
  }

  /**
   * Hands requests to {@code core}; at most {@code mostOpen} of them at a time.
   *
   * @param gauges asks for the core's own figures, which come back on this server's thread
   */
  public HttpApi(
      Consumer<Input> core,
      BooleanSupplier ready,
      Metrics metrics,
      Consumer<Consumer<Map<String, Double>>> gauges,
      int mostOpen) {
    this.core = core;
    this.ready = ready;
    this.metrics = metrics;
    this.gauges = gauges;
    this.mostOpen = mostOpen;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.equals("/checkin")) {
      if (allow(exchange, Methods.POST)) {
        body(
            exchange,
            json ->
                open(
                    exchange,
                    "checkin",
                    new Input.HeartbeatReceived(nextExchange, Heartbeat.parse(json))));
      }
    } else if (path.equals(RUNS)) {
      if (allow(exchange, Methods.POST)) {
        body(
            exchange,
            json -> open(exchange, "submit", new Input.Submit(nextExchange, JobSpec.parse(json))));
      }
    } else if (path.startsWith(RUNS + "/")) {
      job(exchange, path.substring(RUNS.length() + 1));
    } else if (path.equals("/ready")) {
      if (allow(exchange, Methods.GET)) {
        finish(exchange, ready.getAsBoolean() ? 200 : 503, null);
      }
    } else if (path.equals("/metrics")) {
      showMetrics(exchange);
    } else {
      finish(exchange, 404, null);
    }
  }

  private void showMetrics(HttpServerExchange exchange) {
    if (allow(exchange, Methods.GET)) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
      Consumer<Map<String, Double>> show =
          values -> finish(exchange, 200, metrics.text(values).getBytes(StandardCharsets.UTF_8));
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> gauges.accept(show));
    }
  }

  private void job(HttpServerExchange exchange, String rest) {
    boolean cancel = rest.endsWith("/cancel");
    String id = cancel ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
    if (!allow(exchange, cancel ? Methods.POST : Methods.GET)) {
      return;
    }
    if (!JobSpec.isId(id)) {
      finish(exchange, 404, null);
    } else if (cancel) {
      // A body, if any, is read and ignored, so that the connection can be used again.
      receive(exchange, bytes -> open(exchange, "cancel", new Input.Cancel(nextExchange, id)));
    } else {
      open(exchange, "poll", new Input.Poll(nextExchange, id));
    }
  }

  private boolean allow(HttpServerExchange exchange, HttpString method) {
    if (exchange.getRequestMethod().equals(method)) {
      return true;
    }
    exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
    finish(exchange, 405, null);
    return false;
  }

  private void body(HttpServerExchange exchange, WithBody then) {
    receive(
        exchange,
        bytes -> {
          try {
            then.on(Json.parse(bytes));
          } catch (IOException e) {
            malformed(exchange, "not JSON");
          } catch (MalformedException e) {
            malformed(exchange, e.getMessage());
          }
        });
  }

  private void receive(HttpServerExchange exchange, Consumer<byte[]> then) {
    if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
      exchange.setPersistent(false);
      finish(exchange, 413, null);
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY_BYTES);
    receiver.receiveFullBytes(
        (ex, bytes) -> then.accept(bytes),
        (ex, e) -> {
          ex.setPersistent(false);
          finish(ex, e instanceof Receiver.RequestToLargeException ? 413 : 400, null);
        });
  }

  private void malformed(HttpServerExchange exchange, String why) {
    metrics.count("snowturn.requests.malformed", "any");
    finish(exchange, 400, Json.bytes(Json.object().put("error", why)));
  }

  /** Hands the request to the core once this call's stack has unwound. */
  private void open(HttpServerExchange exchange, String kind, Input input) {
    if (waiting.size() >= mostOpen) {
      exchange.getResponseHeaders().put(RETRY_AFTER, 2);
      finish(exchange, 503, null);
      return;
    }
    long id = nextExchange++;
    waiting.put(id, new Waiting(exchange, kind, System.nanoTime()));
    metrics.count("snowturn.requests", kind);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> core.accept(input));
  }

  /** Sends the core's answer. */
  public void answer(Effect.Answer answer) {
    Waiting request = waiting.remove(answer.exchange());
    if (request == null) {
      return;
    }
    metrics.took("snowturn." + request.kind, System.nanoTime() - request.sinceNanos);
    if (answer.status() >= 500) {
      LOG.debug("event=request_refused kind={} status={}", request.kind, answer.status());
      metrics.count("snowturn.requests.refused", request.kind);
    }
    if (answer.retryAfterS() > 0) {
      request.exchange.getResponseHeaders().put(RETRY_AFTER, answer.retryAfterS());
    }
    finish(
        request.exchange,
        answer.status(),
        answer.body() == null ? null : Json.bytes(answer.body()));
  }

  private static void finish(HttpServerExchange exchange, int status, byte[] body) {
    exchange.setStatusCode(status);
    if (body == null) {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
      exchange.endExchange();
      return;
    }
    if (!exchange.getResponseHeaders().contains(Headers.CONTENT_TYPE)) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
