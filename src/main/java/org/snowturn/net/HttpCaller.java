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
 * Calls one HTTP server over a few persistent connections, one request at a time on each.
 *
 * <p>All of it runs on one I/O thread. A call that never got a connection was certainly not
 * executed; one that was sent and got no reply may have been.
 */
public final class HttpCaller {
  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final long IDLE_CLOSE_MS = 20_000;

  /** Takes the result of a call, on the I/O thread. */
  public interface ResponseHandler {
    /**
     * Status, body and the header Retry-After (0: none) are only meaningful for {@link
     * Outcome#ANSWERED}.
     */
    void onResult(Outcome outcome, int status, byte[] body, int retryAfterS);
  }

  private record Idle(ClientConnection connection, long sinceNanos) {}

  private final URI uri;
  private final String host;
  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final int maxConnections;
  private final ArrayDeque<Idle> idle = new ArrayDeque<>();
  private final ArrayDeque<Exchange> queue = new ArrayDeque<>();
  private int open;

  /** A caller that has not connected yet. */
  public HttpCaller(
      InetSocketAddress addr, XnioIoThread io, ByteBufferPool buffers, int maxConnections) {
    this.host = addr.getAddress().getHostAddress() + ":" + addr.getPort();
    this.uri = URI.create("http://" + host);
    this.io = io;
    this.buffers = buffers;
    this.maxConnections = maxConnections;
  }

  /** Closes the connections if no call is going on; tells whether none was. */
  public boolean closeIfIdle() {
    if (open > idle.size() || !queue.isEmpty()) {
      return false;
    }
    List.copyOf(idle).forEach(i -> IoUtils.safeClose(i.connection));
    idle.clear();
    return true;
  }

  /** Makes one of the core's calls and hands in its reply. */
  public void call(Effect.Call call, Consumer<Input> reply) {
    call(
        call.method(),
        call.path(),
        call.body() == null ? null : Json.bytes(call.body()),
        call.timeoutMs(),
        (outcome, status, bytes, retryAfterS) ->
            reply.accept(HttpReplies.toReply(call, outcome, status, bytes, retryAfterS)));
  }

  /** Sends a request; {@code then} is called exactly once. */
  public void call(String method, String path, byte[] body, int timeoutMs, ResponseHandler then) {
    Exchange exchange = new Exchange(method, path, body, then);
    exchange.timer = io.executeAfter(exchange::timedOut, timeoutMs, TimeUnit.MILLISECONDS);
    Idle free;
    while ((free = idle.pollLast()) != null) {
      if (free.connection.isOpen()) {
        exchange.send(free.connection);
        return;
      }
    }
    if (open < maxConnections) {
      connect(exchange);
    } else {
      queue.add(exchange);
    }
  }

  /** Seconds; a date, or what is no number, counts as none. */
  private static int retryAfterS(String header) {
    boolean seconds = header != null && header.matches("[0-9]{1,4}");
    return seconds ? Integer.parseInt(header) : 0;
  }

  private void connect(Exchange exchange) {
    open++;
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                connection.getCloseSetter().set(ch -> open--);
                if (exchange.over) {
                  release(connection);
                } else {
                  exchange.send(connection);
                }
              }

              @Override
              public void failed(IOException failure) {
                open--;
                exchange.finish(Outcome.REFUSED, 0, null, 0);
                pump();
              }
            },
            uri,
            io,
            buffers,
            OptionMap.EMPTY);
  }

  private void pump() {
    while (!queue.isEmpty() && queue.peek().over) {
      queue.poll();
    }
    if (!queue.isEmpty() && open < maxConnections) {
      connect(queue.poll());
    }
  }

  private void release(ClientConnection connection) {
    if (!connection.isOpen()) {
      pump();
      return;
    }
    Exchange next;
    while ((next = queue.poll()) != null) {
      if (!next.over) {
        next.send(connection);
        return;
      }
    }
    long now = System.nanoTime();
    idle.addLast(new Idle(connection, now));
    Idle oldest = idle.peekFirst();
    if (oldest != null && now - oldest.sinceNanos > IDLE_CLOSE_MS * 1_000_000 && idle.size() > 1) {
      idle.pollFirst();
      IoUtils.safeClose(oldest.connection);
    }
  }

  private final class Exchange {
    final String method;
    final String path;
    final byte[] body;
    final ResponseHandler then;
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private boolean over;

    Exchange(String method, String path, byte[] body, ResponseHandler then) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.then = then;
    }

    void timedOut() {
      boolean sent = connection != null;
      if (sent) {
        IoUtils.safeClose(connection);
      }
      finish(sent ? Outcome.UNKNOWN : Outcome.REFUSED, 0, null, 0);
      pump();
    }

    void finish(Outcome outcome, int status, byte[] reply, int retryAfterS) {
      if (over) {
        return;
      }
      over = true;
      timer.remove();
      then.onResult(outcome, status, reply, retryAfterS);
    }

    void broken(IOException failure) {
      IoUtils.safeClose(connection);
      finish(Outcome.UNKNOWN, 0, null, 0);
      pump();
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
              sent(clientExchange);
            }

            @Override
            public void failed(IOException failure) {
              broken(failure);
            }
          });
    }

    private void sent(ClientExchange clientExchange) {
      clientExchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange done) {
              int status = done.getResponse().getResponseCode();
              int retryAfterS =
                  retryAfterS(
                      done.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER));
              BodyReader.read(
                  done.getResponseChannel(),
                  buffers,
                  MAX_BODY_BYTES,
                  bytes -> {
                    boolean close =
                        "close"
                            .equalsIgnoreCase(
                                done.getResponse()
                                    .getResponseHeaders()
                                    .getFirst(Headers.CONNECTION));
                    if (over || close) {
                      IoUtils.safeClose(connection);
                    }
                    // Released only after this stack has unwound: the client's own state for the
                    // exchange is cleared behind this call.
                    ClientConnection released = connection;
                    io.execute(() -> release(released));
                    finish(Outcome.ANSWERED, status, bytes, retryAfterS);
                  },
                  Exchange.this::broken);
            }

            @Override
            public void failed(IOException failure) {
              broken(failure);
            }
          });
      if (body != null) {
        write(clientExchange.getRequestChannel());
      }
    }

    private void write(StreamSinkChannel channel) {
      ByteBuffer buffer = ByteBuffer.wrap(body);
      try {
        if (!writeSome(channel, buffer)) {
          channel
              .getWriteSetter()
              .set(
                  ch -> {
                    try {
                      if (writeSome(ch, buffer)) {
                        ch.suspendWrites();
                      }
                    } catch (IOException e) {
                      broken(e);
                    }
                  });
          channel.resumeWrites();
        }
      } catch (IOException e) {
        broken(e);
      }
    }

    private boolean writeSome(StreamSinkChannel channel, ByteBuffer buffer) throws IOException {
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
