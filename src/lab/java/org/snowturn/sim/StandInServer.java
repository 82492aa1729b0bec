package org.snowturn.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.snowturn.core.Effect;
import org.snowturn.wire.Json;
import org.xnio.XnioWorker;

/**
 * The stand-ins of one world over HTTP: the state service (a port for each controller, so that one
 * can be refused alone), the cloud, and all workers, each at an address of its own behind one port.
 */
final class StandInServer {
  private static final String ANY = "0.0.0.0";

  private final World world;
  private final RealTime loop;
  private final Map<Integer, String> stateClients = new ConcurrentHashMap<>();
  private Undertow state;
  private Undertow workers;
  private int cloudPort;
  private int workersPort;

  StandInServer(World world, RealTime loop) {
    this.world = world;
    this.loop = loop;
  }

  /**
   * Listens on ports that are free; the controllers' names get a port of the state service each.
   */
  Map<String, InetSocketAddress> start(
      List<String> controllers, XnioWorker stateThreads, XnioWorker workerThreads) {
    Undertow.Builder builder = Undertow.builder().setWorker(stateThreads).setHandler(this::outside);
    for (int i = 0; i <= controllers.size(); i++) {
      builder.addHttpListener(0, InetAddress.getLoopbackAddress().getHostAddress());
    }
    state = builder.build();
    state.start();
    workers =
        Undertow.builder()
            .setWorker(workerThreads)
            .setHandler(this::worker)
            .addHttpListener(0, ANY)
            .build();
    workers.start();
    workersPort = port(workers, 0);
    cloudPort = port(state, controllers.size());
    Map<String, InetSocketAddress> out = new ConcurrentHashMap<>();
    for (int i = 0; i < controllers.size(); i++) {
      stateClients.put(port(state, i), controllers.get(i));
      out.put(controllers.get(i), loopback(port(state, i)));
    }
    return out;
  }

  InetSocketAddress cloud() {
    return loopback(cloudPort);
  }

  int workersPort() {
    return workersPort;
  }

  void stop() {
    if (state != null) {
      state.stop();
    }
    if (workers != null) {
      workers.stop();
    }
  }

  private static int port(Undertow server, int listener) {
    return ((InetSocketAddress) server.getListenerInfo().get(listener).getAddress()).getPort();
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private void outside(HttpServerExchange x) {
    String client = stateClients.get(x.getDestinationAddress().getPort());
    withBody(
        x,
        body -> {
          Effect.Call call = call(x, body);
          World.Reply back = (outcome, status, json) -> answer(x, status, json);
          loop.post(
              () -> {
                if (client == null) {
                  world.cloud.take(call, back);
                } else {
                  world.state.take(client, call, back);
                }
              });
        });
  }

  private static Effect.Call call(HttpServerExchange x, JsonNode body) {
    String query = x.getQueryString();
    String path = x.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    String method = x.getRequestMethod().toString();
    return new Effect.Call(0, Effect.Target.STATE, null, method, path, body, 0);
  }

  /** A machine that is gone says nothing at all. */
  private void worker(HttpServerExchange x) {
    InetSocketAddress to = x.getDestinationAddress();
    if (!to.getAddress().isLoopbackAddress()) {
      x.setStatusCode(404).endExchange();
      return;
    }
    String addr = to.getAddress().getHostAddress() + ":" + to.getPort();
    World.Reply back = (outcome, status, json) -> answer(x, status, json);
    withBody(
        x,
        body ->
            loop.post(
                () -> {
                  StandInWorker w = world.workers.get(addr);
                  if (w != null && x.getRequestPath().equals("/status")) {
                    w.status(back);
                  } else if (w != null) {
                    w.command(body, Long.MIN_VALUE, back);
                  }
                }));
  }

  private interface WithBody {
    void on(JsonNode body);
  }

  private static void withBody(HttpServerExchange x, WithBody then) {
    x.getRequestReceiver()
        .receiveFullBytes(
            (ex, bytes) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> {
                      try {
                        then.on(bytes.length == 0 ? Json.object() : Json.parse(bytes));
                      } catch (IOException e) {
                        ex.setStatusCode(400).endExchange();
                      }
                    }));
  }

  private static void answer(HttpServerExchange x, int status, JsonNode json) {
    // Written on the world's thread: what it holds may change before another gets to it.
    byte[] body = json == null ? new byte[0] : Json.bytes(json);
    x.getIoThread()
        .execute(
            () -> {
              if (x.isResponseStarted() || !x.getConnection().isOpen()) {
                return;
              }
              x.setStatusCode(status);
              x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
              x.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
              x.getResponseSender().send(ByteBuffer.wrap(body));
            });
  }
}
