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
  private static final String STATE = "state";
  private static final String CLOUD = "cloud";
  private static final String SOMEBODY = "somebody";

  private final World world;
  private final RealTime loop;
  private final Map<Integer, String> stateClients = new ConcurrentHashMap<>();
  private final Map<Integer, String> cloudClients = new ConcurrentHashMap<>();
  private Undertow state;
  private Undertow workers;
  private final Map<String, InetSocketAddress> cloud = new ConcurrentHashMap<>();
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
    for (int i = 0; i < 2 * controllers.size(); i++) {
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
    Map<String, InetSocketAddress> out = new ConcurrentHashMap<>();
    for (int i = 0; i < controllers.size(); i++) {
      String name = controllers.get(i);
      stateClients.put(port(state, i), name);
      out.put(name, loopback(port(state, i)));
      int cloudPort = port(state, controllers.size() + i);
      cloudClients.put(cloudPort, name);
      cloud.put(name, loopback(cloudPort));
    }
    return out;
  }

  /** Where each controller finds the cloud. */
  Map<String, InetSocketAddress> cloud() {
    return cloud;
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
    int port = x.getDestinationAddress().getPort();
    boolean toState = stateClients.containsKey(port);
    String client = toState ? stateClients.get(port) : cloudClients.get(port);
    String service = toState ? STATE : CLOUD;
    withBody(
        x,
        body -> {
          Effect.Call call = call(x, body);
          World.Reply back = back(x, service, client);
          loop.post(
              () -> {
                log(client, service, call.method() + " " + call.path(), body);
                Runnable take =
                    toState
                        ? () -> world.state.take(client, call, back)
                        : () -> world.cloud.take(call, back);
                world.send(client, service, take);
              });
        });
  }

  /** Sends a reply on its way, on which it may be lost. */
  private World.Reply back(HttpServerExchange x, String from, String to) {
    return (outcome, status, json) ->
        world.send(
            from,
            to,
            () -> {
              log(from, to, "" + status, json);
              answer(x, status, json);
            });
  }

  private void log(String from, String to, String what, JsonNode body) {
    world.messages.message(world.now, from, to, what, body);
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
    withBody(x, body -> loop.post(() -> toWorker(x, addr, body)));
  }

  private void toWorker(HttpServerExchange x, String addr, JsonNode body) {
    StandInWorker worker = world.workers.get(addr);
    if (worker == null) {
      return;
    }
    boolean question = x.getRequestPath().equals("/status");
    // Who asks for the status does not say who it is; commands carry their sender's token.
    String sender = question ? null : world.state.leaderUnder(body.path("baton").asLong());
    String from = sender == null ? SOMEBODY : sender;
    World.Reply back = back(x, addr, from);
    log(from, addr, x.getRequestPath(), body);
    Runnable deliver =
        question ? () -> worker.status(back) : () -> worker.command(body, Long.MIN_VALUE, back);
    if (question || world.lateCommandsMs() == 0) {
      world.send(from, addr, deliver);
    } else {
      // Held up on its way: its sender has given up by the time it is carried out.
      world.after(world.jitter(world.lateCommandsMs()), deliver);
    }
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
