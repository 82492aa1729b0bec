package org.snowturn.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
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
import org.snowturn.wire.MessageSize;

/**
 * HTTP API for users, workers, the load balancer and operators. It parses requests, passes them to
 * the core and sends the core's answers.
 *
 * <p>Not thread-safe: all methods run on the server's only I/O thread, and requests are passed to
 * the core on that thread.
 */
public final class HttpApi implements HttpHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpApi.class);
  private static final String RUNS = "/v2/runs";
  private static final String CANCEL_SUFFIX = "/cancel";
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /** Retry-After of a request that is refused because too many requests are pending. */
  private static final int OVERLOAD_RETRY_AFTER_S = 2;

  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");

  private final Consumer<Input> onInput;
  private final BooleanSupplier isReady;
  private final Metrics metrics;
  private final Consumer<Consumer<Map<String, Double>>> requestGauges;
  private final int maxPendingRequests;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long nextExchangeId = 1;

  private record PendingRequest(HttpServerExchange exchange, String kind, long sinceNanos) {}

  private interface BodyHandler {
    void handle(JsonNode body, int bytes) throws MalformedException;
  }

  /**
   * Creates the handler of all requests of a server.
   *
   * @param onInput handles a request that is passed to the core
   * @param isReady supplies the result of the readiness check
   * @param metrics metrics of the process
   * @param requestGauges requests the core's gauges; its argument handles them, on the server's I/O
   *     thread
   * @param maxPendingRequests maximum number of requests that wait for an answer of the core
   */
  public HttpApi(
      Consumer<Input> onInput,
      BooleanSupplier isReady,
      Metrics metrics,
      Consumer<Consumer<Map<String, Double>>> requestGauges,
      int maxPendingRequests) {
    this.onInput = onInput;
    this.isReady = isReady;
    this.metrics = metrics;
    this.requestGauges = requestGauges;
    this.maxPendingRequests = maxPendingRequests;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.equals("/checkin")) {
      if (checkMethod(exchange, Methods.POST)) {
        parseBody(
            exchange,
            (json, bytes) ->
                passToCore(
                    exchange,
                    "checkin",
                    new Input.HeartbeatReceived(nextExchangeId, Heartbeat.parse(json, bytes))));
      }
    } else if (path.equals(RUNS)) {
      if (checkMethod(exchange, Methods.POST)) {
        parseBody(
            exchange,
            (json, bytes) ->
                passToCore(
                    exchange, "submit", new Input.Submit(nextExchangeId, JobSpec.parse(json))));
      }
    } else if (path.startsWith(RUNS + "/")) {
      handleJobRequest(exchange, path.substring(RUNS.length() + 1));
    } else if (path.equals("/ready")) {
      if (checkMethod(exchange, Methods.GET)) {
        respond(
            exchange,
            isReady.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE,
            null);
      }
    } else if (path.equals("/metrics")) {
      sendMetrics(exchange);
    } else {
      respond(exchange, StatusCodes.NOT_FOUND, null);
    }
  }

  private void sendMetrics(HttpServerExchange exchange) {
    if (checkMethod(exchange, Methods.GET)) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
      Consumer<Map<String, Double>> onGauges =
          values ->
              respond(
                  exchange,
                  StatusCodes.OK,
                  metrics.toText(values).getBytes(StandardCharsets.UTF_8));
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> requestGauges.accept(onGauges));
    }
  }

  private void handleJobRequest(HttpServerExchange exchange, String idAndAction) {
    boolean isCancel = idAndAction.endsWith(CANCEL_SUFFIX);
    String id =
        isCancel
            ? idAndAction.substring(0, idAndAction.length() - CANCEL_SUFFIX.length())
            : idAndAction;
    if (!checkMethod(exchange, isCancel ? Methods.POST : Methods.GET)) {
      return;
    }
    if (!JobSpec.isId(id)) {
      respond(exchange, StatusCodes.NOT_FOUND, null);
    } else if (isCancel) {
      // Reads and ignores the body, if any, so that the connection can be reused.
      readBody(
          exchange, bytes -> passToCore(exchange, "cancel", new Input.Cancel(nextExchangeId, id)));
    } else {
      passToCore(exchange, "poll", new Input.Poll(nextExchangeId, id));
    }
  }

  /** Returns whether the request has this method; answers it with 405 otherwise. */
  private boolean checkMethod(HttpServerExchange exchange, HttpString method) {
    if (exchange.getRequestMethod().equals(method)) {
      return true;
    }
    exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
    respond(exchange, StatusCodes.METHOD_NOT_ALLOWED, null);
    return false;
  }

  private void parseBody(HttpServerExchange exchange, BodyHandler bodyHandler) {
    readBody(
        exchange,
        bytes -> {
          try {
            bodyHandler.handle(Json.parse(bytes), bytes.length);
          } catch (IOException e) {
            rejectMalformed(exchange, "not JSON");
          } catch (MalformedException e) {
            rejectMalformed(exchange, e.getMessage());
          }
        });
  }

  private void readBody(HttpServerExchange exchange, Consumer<byte[]> onBody) {
    if (exchange.getRequestContentLength() > MessageSize.MAX_BYTES) {
      exchange.setPersistent(false);
      respond(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, null);
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MessageSize.MAX_BYTES);
    receiver.receiveFullBytes(
        (received, bytes) -> onBody.accept(bytes),
        (failed, error) -> {
          failed.setPersistent(false);
          respond(
              failed,
              error instanceof Receiver.RequestToLargeException
                  ? StatusCodes.REQUEST_ENTITY_TOO_LARGE
                  : StatusCodes.BAD_REQUEST,
              null);
        });
  }

  private void rejectMalformed(HttpServerExchange exchange, String error) {
    metrics.count("snowturn.requests.malformed", "any");
    respond(exchange, StatusCodes.BAD_REQUEST, Json.bytes(Json.object().put("error", error)));
  }

  /**
   * Passes a request to the core after the present handler has returned, or refuses it if too many
   * requests are pending.
   *
   * @param kind label of the request in metrics and log lines
   */
  private void passToCore(HttpServerExchange exchange, String kind, Input input) {
    if (pendingRequests.size() >= maxPendingRequests) {
      exchange.getResponseHeaders().put(RETRY_AFTER, OVERLOAD_RETRY_AFTER_S);
      respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, null);
      return;
    }
    long id = nextExchangeId++;
    pendingRequests.put(id, new PendingRequest(exchange, kind, System.nanoTime()));
    metrics.count("snowturn.requests", kind);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> onInput.accept(input));
  }

  /** Sends an answer of the core. Ignores an answer to an exchange that is not pending. */
  public void answer(Effect.Answer answer) {
    PendingRequest request = pendingRequests.remove(answer.exchange());
    if (request == null) {
      return;
    }
    metrics.recordLatency("snowturn." + request.kind, System.nanoTime() - request.sinceNanos);
    if (answer.status() >= MIN_SERVER_ERROR_STATUS) {
      LOG.debug("event=request_refused kind={} status={}", request.kind, answer.status());
      metrics.count("snowturn.requests.refused", request.kind);
    }
    if (answer.retryAfterS() > 0) {
      request.exchange.getResponseHeaders().put(RETRY_AFTER, answer.retryAfterS());
    }
    respond(
        request.exchange,
        answer.status(),
        answer.body() == null ? null : Json.bytes(answer.body()));
  }

  private static void respond(HttpServerExchange exchange, int status, byte[] body) {
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
