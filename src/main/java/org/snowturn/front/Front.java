package org.snowturn.front;

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
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Report;

/** The HTTP side that users, workers, the load balancer and operators see. */
public final class Front implements HttpHandler {
  /** Largest request body. */
  public static final int MAX_BODY = 64 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(Front.class);
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
  public Front(
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
  public void handleRequest(HttpServerExchange x) {
    String path = x.getRequestPath();
    if (path.equals("/checkin")) {
      if (allow(x, Methods.POST)) {
        body(x, json -> open(x, "checkin", new Input.CheckIn(nextExchange, Report.parse(json))));
      }
    } else if (path.equals(RUNS)) {
      if (allow(x, Methods.POST)) {
        body(x, json -> open(x, "submit", new Input.Submit(nextExchange, JobSpec.parse(json))));
      }
    } else if (path.startsWith(RUNS + "/")) {
      job(x, path.substring(RUNS.length() + 1));
    } else if (path.equals("/ready")) {
      if (allow(x, Methods.GET)) {
        finish(x, ready.getAsBoolean() ? 200 : 503, null);
      }
    } else if (path.equals("/metrics")) {
      if (allow(x, Methods.GET)) {
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        Consumer<Map<String, Double>> show =
            g -> finish(x, 200, metrics.text(g).getBytes(StandardCharsets.UTF_8));
        x.dispatch(SameThreadExecutor.INSTANCE, () -> gauges.accept(show));
      }
    } else {
      finish(x, 404, null);
    }
  }

  private void job(HttpServerExchange x, String rest) {
    boolean cancel = rest.endsWith("/cancel");
    String id = cancel ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
    if (!allow(x, cancel ? Methods.POST : Methods.GET)) {
      return;
    }
    if (!JobSpec.isId(id)) {
      finish(x, 404, null);
    } else if (cancel) {
      // A body, if any, is read and ignored, so that the connection can be used again.
      receive(x, bytes -> open(x, "cancel", new Input.Cancel(nextExchange, id)));
    } else {
      open(x, "poll", new Input.Poll(nextExchange, id));
    }
  }

  private boolean allow(HttpServerExchange x, HttpString method) {
    if (x.getRequestMethod().equals(method)) {
      return true;
    }
    x.getResponseHeaders().put(Headers.ALLOW, method.toString());
    finish(x, 405, null);
    return false;
  }

  private void body(HttpServerExchange x, WithBody then) {
    receive(
        x,
        bytes -> {
          try {
            then.on(Json.parse(bytes));
          } catch (IOException e) {
            malformed(x, "not JSON");
          } catch (MalformedException e) {
            malformed(x, e.getMessage());
          }
        });
  }

  private void receive(HttpServerExchange x, Consumer<byte[]> then) {
    if (x.getRequestContentLength() > MAX_BODY) {
      x.setPersistent(false);
      finish(x, 413, null);
      return;
    }
    Receiver receiver = x.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY);
    receiver.receiveFullBytes(
        (ex, bytes) -> then.accept(bytes),
        (ex, e) -> {
          ex.setPersistent(false);
          finish(ex, e instanceof Receiver.RequestToLargeException ? 413 : 400, null);
        });
  }

  private void malformed(HttpServerExchange x, String why) {
    metrics.count("snowturn.requests.malformed", "any");
    finish(x, 400, Json.bytes(Json.object().put("error", why)));
  }

  /** Hands the request to the core once this call's stack has unwound. */
  private void open(HttpServerExchange x, String kind, Input input) {
    if (waiting.size() >= mostOpen) {
      x.getResponseHeaders().put(RETRY_AFTER, 2);
      finish(x, 503, null);
      return;
    }
    long id = nextExchange++;
    waiting.put(id, new Waiting(x, kind, System.nanoTime()));
    metrics.count("snowturn.requests", kind);
    x.dispatch(SameThreadExecutor.INSTANCE, () -> core.accept(input));
  }

  /** Sends the core's answer. */
  public void answer(Effect.Answer a) {
    Waiting w = waiting.remove(a.exchange());
    if (w == null) {
      return;
    }
    metrics.took("snowturn." + w.kind, System.nanoTime() - w.sinceNanos);
    if (a.status() >= 500) {
      LOG.debug("{} refused with {}", w.kind, a.status());
      metrics.count("snowturn.requests.refused", w.kind);
    }
    if (a.retryAfterS() > 0) {
      w.exchange.getResponseHeaders().put(RETRY_AFTER, a.retryAfterS());
    }
    finish(w.exchange, a.status(), a.body() == null ? null : Json.bytes(a.body()));
  }

  private static void finish(HttpServerExchange x, int status, byte[] body) {
    x.setStatusCode(status);
    if (body == null) {
      x.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
      x.endExchange();
      return;
    }
    if (!x.getResponseHeaders().contains(Headers.CONTENT_TYPE)) {
      x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    }
    x.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
