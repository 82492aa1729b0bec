package org.snowturn.simulation;

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
final class SimulatedServer {
  private static final String ANY = "0.0.0.0";
  private static final String STATE = "state";
  private static final String CLOUD = "cloud";
  private static final String SOMEBODY = "somebody";

  private final SimulatedCluster cluster;
  private final RealTimeDriver loop;
  private final Map<Integer, String> stateClients = new ConcurrentHashMap<>();
  private final Map<Integer, String> cloudClients = new ConcurrentHashMap<>();
  private Undertow state;
  private Undertow workers;
  private final Map<String, InetSocketAddress> cloud = new ConcurrentHashMap<>();
  private int workersPort;

  SimulatedServer(SimulatedCluster cluster, RealTimeDriver loop) {
    this.cluster = cluster;
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

  private void outside(HttpServerExchange exchange) {
    int port = exchange.getDestinationAddress().getPort();
    boolean toState = stateClients.containsKey(port);
    String client = toState ? stateClients.get(port) : cloudClients.get(port);
    String service = toState ? STATE : CLOUD;
    withBody(
        exchange,
        body -> {
          Effect.Call call = call(exchange, body);
          SimulatedCluster.Reply back = back(exchange, service, client);
          loop.post(
              () -> {
                log(client, service, call.method() + " " + call.path(), body);
                Runnable take =
                    toState
                        ? () -> cluster.state.accept(client, call, back)
                        : () -> cluster.cloud.accept(call, back);
                cluster.send(client, service, take);
              });
        });
  }

  /** Sends a reply on its way, on which it may be lost. */
  private SimulatedCluster.Reply back(HttpServerExchange exchange, String from, String to) {
    return (outcome, status, json) ->
        cluster.send(
            from,
            to,
            () -> {
              log(from, to, "" + status, json);
              answer(exchange, status, json);
            });
  }

  private void log(String from, String to, String what, JsonNode body) {
    cluster.messages.logMessage(cluster.now, from, to, what, body);
  }

  private static Effect.Call call(HttpServerExchange exchange, JsonNode body) {
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    String method = exchange.getRequestMethod().toString();
    return new Effect.Call(0, Effect.Target.STATE, null, method, path, body, 0);
  }

  /** A machine that is gone says nothing at all. */
  private void worker(HttpServerExchange exchange) {
    InetSocketAddress to = exchange.getDestinationAddress();
    if (!to.getAddress().isLoopbackAddress()) {
      exchange.setStatusCode(404).endExchange();
      return;
    }
    String addr = to.getAddress().getHostAddress() + ":" + to.getPort();
    withBody(exchange, body -> loop.post(() -> toWorker(exchange, addr, body)));
  }

  private void toWorker(HttpServerExchange exchange, String addr, JsonNode body) {
    SimulatedWorker worker = cluster.workers.get(addr);
    if (worker == null) {
      return;
    }
    boolean question = exchange.getRequestPath().equals("/status");
    // Who asks for the status does not say who it is; commands carry their sender's token.
    String sender = question ? null : cluster.state.leaderUnder(body.path("baton").asLong());
    String from = sender == null ? SOMEBODY : sender;
    SimulatedCluster.Reply back = back(exchange, addr, from);
    log(from, addr, exchange.getRequestPath(), body);
    Runnable deliver =
        question ? () -> worker.status(back) : () -> worker.command(body, Long.MIN_VALUE, back);
    if (question || cluster.lateCommandsMs() == 0) {
      cluster.send(from, addr, deliver);
    } else {
      // Held up on its way: its sender has given up by the time it is carried out.
      cluster.after(cluster.jitter(cluster.lateCommandsMs()), deliver);
    }
  }

  private interface WithBody {
    void on(JsonNode body);
  }

  private static void withBody(HttpServerExchange exchange, WithBody then) {
    exchange
        .getRequestReceiver()
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

  private static void answer(HttpServerExchange exchange, int status, JsonNode json) {
    // Written on the world's thread: what it holds may change before another gets to it.
    byte[] body = json == null ? new byte[0] : Json.bytes(json);
    exchange
        .getIoThread()
        .execute(
            () -> {
              if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
                return;
              }
              exchange.setStatusCode(status);
              exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
              exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
              exchange.getResponseSender().send(ByteBuffer.wrap(body));
            });
  }
}
