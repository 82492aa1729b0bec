package org.snowturn.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.wire.Json;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * HTTP client for one server, with a limited number of persistent connections and one request at a
 * time on each. Further requests wait in a queue.
 *
 * <p>A call that never got a connection was certainly not executed: {@link Outcome#REFUSED}. A call
 * that was sent but not answered may have been executed: {@link Outcome#UNKNOWN}.
 *
 * <p>Not thread-safe: all methods run on the I/O thread that is passed to the constructor.
 */
public final class HttpCaller {
  /** Largest response body that is accepted. */
  private static final int MAX_BODY_BYTES = 32 << 20;

  /** Idle time after which a connection is closed; checked whenever another one becomes idle. */
  private static final long MAX_IDLE_MS = 20_000;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Handler of the result of a call; runs on the I/O thread. */
  public interface ResponseHandler {
    /**
     * Handles the result. All parameters but the first are meaningful only for {@link
     * Outcome#ANSWERED}.
     *
     * @param outcome whether the request was executed, was refused, or may have been
     * @param status HTTP status
     * @param body response body
     * @param retryAfterS value of the Retry-After header in seconds, or 0 for none
     */
    void onResult(Outcome outcome, int status, byte[] body, int retryAfterS);
  }

  private record IdleConnection(ClientConnection connection, long sinceNanos) {}

  private final URI uri;
  private final String host;
  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final int maxConnections;

  /** Idle connections, the one that has been idle longest first. */
  private final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();

  /** Exchanges that wait for a connection, in the order of their calls. */
  private final ArrayDeque<Exchange> queue = new ArrayDeque<>();

  /** Number of connections, those being opened included. */
  private int openConnections;

  /**
   * Creates a caller, which connects with its first call.
   *
   * @param address address of the server
   * @param io I/O thread that the calls run on
   * @param buffers pool of the connections' buffers
   * @param maxConnections maximum number of connections at a time
   */
  public HttpCaller(
      InetSocketAddress address, XnioIoThread io, ByteBufferPool buffers, int maxConnections) {
    this.host = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.uri = URI.create("http://" + host);
    this.io = io;
    this.buffers = buffers;
    this.maxConnections = maxConnections;
  }

  /**
   * Closes all connections if no call is in progress or queued.
   *
   * @return whether the connections were closed
   */
  public boolean closeIfIdle() {
    if (openConnections > idleConnections.size() || !queue.isEmpty()) {
      return false;
    }
    List.copyOf(idleConnections).forEach(idle -> IoUtils.safeClose(idle.connection));
    idleConnections.clear();
    return true;
  }

  /**
   * Makes a call for the core.
   *
   * @param onReply handles the reply, converted into an input; called exactly once
   */
  public void call(Effect.Call call, Consumer<Input> onReply) {
    call(
        call.method(),
        call.path(),
        call.body() == null ? null : Json.bytes(call.body()),
        call.timeoutMs(),
        (outcome, status, bytes, retryAfterS) ->
            onReply.accept(HttpReplies.toReply(call, outcome, status, bytes, retryAfterS)));
  }

  /**
   * Sends a request, or queues it until a connection is free.
   *
   * @param body request body (JSON), or null for none
   * @param timeoutMs maximum time until the result, in milliseconds, including time in the queue
   * @param responseHandler handles the result; called exactly once
   */
  public void call(
      String method, String path, byte[] body, int timeoutMs, ResponseHandler responseHandler) {
    Exchange exchange = new Exchange(method, path, body, responseHandler);
    exchange.timer = io.executeAfter(exchange::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
    IdleConnection idle;
    while ((idle = idleConnections.pollLast()) != null) {
      if (idle.connection.isOpen()) {
        exchange.send(idle.connection);
        return;
      }
    }
    if (openConnections < maxConnections) {
      connect(exchange);
    } else {
      queue.add(exchange);
    }
  }

  /**
   * Returns the value of a Retry-After header in seconds. An absent header, a date and a malformed
   * value count as 0.
   */
  private static int retryAfterS(String header) {
    boolean isSeconds = header != null && header.matches("[0-9]{1,4}");
    return isSeconds ? Integer.parseInt(header) : 0;
  }

  private void connect(Exchange exchange) {
    openConnections++;
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                connection.getCloseSetter().set(closed -> openConnections--);
                if (exchange.isFinished) {
                  release(connection);
                } else {
                  exchange.send(connection);
                }
              }

              @Override
              public void failed(IOException failure) {
                openConnections--;
                exchange.finish(Outcome.REFUSED, 0, null, 0);
                connectForNextQueued();
              }
            },
            uri,
            io,
            buffers,
            OptionMap.EMPTY);
  }

  /** Opens a connection for the next queued exchange, if there is one and the limit allows it. */
  private void connectForNextQueued() {
    while (!queue.isEmpty() && queue.peek().isFinished) {
      queue.poll();
    }
    if (!queue.isEmpty() && openConnections < maxConnections) {
      connect(queue.poll());
    }
  }

  /** Gives a connection to the next queued exchange, or keeps it as an idle one. */
  private void release(ClientConnection connection) {
    if (!connection.isOpen()) {
      connectForNextQueued();
      return;
    }
    Exchange next;
    while ((next = queue.poll()) != null) {
      if (!next.isFinished) {
        next.send(connection);
        return;
      }
    }
    long nowNanos = System.nanoTime();
    idleConnections.addLast(new IdleConnection(connection, nowNanos));
    IdleConnection oldest = idleConnections.peekFirst();
    if (oldest != null
        && nowNanos - oldest.sinceNanos > MAX_IDLE_MS * NANOS_PER_MS
        && idleConnections.size() > 1) {
      idleConnections.pollFirst();
      IoUtils.safeClose(oldest.connection);
    }
  }

  /** One request and its response. */
  private final class Exchange {
    final String method;
    final String path;
    final byte[] body;
    final ResponseHandler responseHandler;
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private boolean isFinished;

    Exchange(String method, String path, byte[] body, ResponseHandler responseHandler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.responseHandler = responseHandler;
    }

    void onTimeout() {
      boolean wasSent = connection != null;
      if (wasSent) {
        IoUtils.safeClose(connection);
      }
      finish(wasSent ? Outcome.UNKNOWN : Outcome.REFUSED, 0, null, 0);
      connectForNextQueued();
    }

    void finish(Outcome outcome, int status, byte[] responseBody, int retryAfterS) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      timer.remove();
      responseHandler.onResult(outcome, status, responseBody, retryAfterS);
    }

    void fail(IOException failure) {
      IoUtils.safeClose(connection);
      finish(Outcome.UNKNOWN, 0, null, 0);
      connectForNextQueued();
    }

    void send(ClientConnection target) {
      connection = target;
      ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
      request.getRequestHeaders().put(Headers.HOST, host);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      } else if (method.equals("POST")) {
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
      }
      target.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange clientExchange) {
              onSent(clientExchange);
            }

            @Override
            public void failed(IOException failure) {
              fail(failure);
            }
          });
    }

    private void onSent(ClientExchange clientExchange) {
      clientExchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange answered) {
              int status = answered.getResponse().getResponseCode();
              int retryAfterS =
                  retryAfterS(
                      answered.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER));
              BodyReader.read(
                  answered.getResponseChannel(),
                  buffers,
                  MAX_BODY_BYTES,
                  bytes -> {
                    boolean shouldClose =
                        "close"
                            .equalsIgnoreCase(
                                answered
                                    .getResponse()
                                    .getResponseHeaders()
                                    .getFirst(Headers.CONNECTION));
                    if (isFinished || shouldClose) {
                      IoUtils.safeClose(connection);
                    }
                    // Released in a later task: the HTTP client clears its own state of the
                    // exchange only after this callback has returned.
                    ClientConnection released = connection;
                    io.execute(() -> release(released));
                    finish(Outcome.ANSWERED, status, bytes, retryAfterS);
                  },
                  Exchange.this::fail);
            }

            @Override
            public void failed(IOException failure) {
              fail(failure);
            }
          });
      if (body != null) {
        write(clientExchange.getRequestChannel());
      }
    }

    private void write(StreamSinkChannel channel) {
      ByteBuffer buffer = ByteBuffer.wrap(body);
      try {
        if (!writeAvailable(channel, buffer)) {
          channel
              .getWriteSetter()
              .set(
                  writable -> {
                    try {
                      if (writeAvailable(writable, buffer)) {
                        writable.suspendWrites();
                      }
                    } catch (IOException e) {
                      fail(e);
                    }
                  });
          channel.resumeWrites();
        }
      } catch (IOException e) {
        fail(e);
      }
    }

    /** Returns true once the whole body is written and flushed, false if the socket is full. */
    private boolean writeAvailable(StreamSinkChannel channel, ByteBuffer buffer)
        throws IOException {
      while (buffer.hasRemaining()) {
        if (channel.write(buffer) == 0) {
          return false;
        }
      }
      channel.shutdownWrites();
      return channel.flush();
    }
  }
}
