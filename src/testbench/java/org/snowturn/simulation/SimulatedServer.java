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
 * HTTP server for the simulated state service, cloud and workers of one cluster. The state service
 * and the cloud have one port for each controller, which identifies the caller so that faults can
 * affect a single controller. All workers share one port, each at its own loopback address.
 */
final class SimulatedServer {
  private static final String ANY_ADDRESS = "0.0.0.0";

  /** Names of the services as ends of simulated links. */
  private static final String STATE = "state";

  private static final String CLOUD = "cloud";

  /** Name of a sender that a request does not identify. */
  private static final String UNKNOWN_SENDER = "somebody";

  private final SimulatedCluster cluster;
  private final RealTimeDriver driver;
  private final Map<Integer, String> clientByStatePort = new ConcurrentHashMap<>();
  private final Map<Integer, String> clientByCloudPort = new ConcurrentHashMap<>();
  private Undertow controllerServer;
  private Undertow workerServer;
  private final Map<String, InetSocketAddress> cloudAddresses = new ConcurrentHashMap<>();
  private int workersPort;

  SimulatedServer(SimulatedCluster cluster, RealTimeDriver driver) {
    this.cluster = cluster;
    this.driver = driver;
  }

  /**
   * Starts to listen on free ports.
   *
   * @param controllers names of the controllers
   * @return address of the state service for each controller
   */
  Map<String, InetSocketAddress> start(
      List<String> controllers, XnioWorker stateThreads, XnioWorker workerThreads) {
    Undertow.Builder builder =
        Undertow.builder().setWorker(stateThreads).setHandler(this::handleControllerCall);
    for (int i = 0; i < 2 * controllers.size(); i++) {
      builder.addHttpListener(0, InetAddress.getLoopbackAddress().getHostAddress());
    }
    controllerServer = builder.build();
    controllerServer.start();
    workerServer =
        Undertow.builder()
            .setWorker(workerThreads)
            .setHandler(this::handleWorkerRequest)
            .addHttpListener(0, ANY_ADDRESS)
            .build();
    workerServer.start();
    workersPort = port(workerServer, 0);
    Map<String, InetSocketAddress> stateAddresses = new ConcurrentHashMap<>();
    for (int i = 0; i < controllers.size(); i++) {
      String name = controllers.get(i);
      clientByStatePort.put(port(controllerServer, i), name);
      stateAddresses.put(name, loopback(port(controllerServer, i)));
      int cloudPort = port(controllerServer, controllers.size() + i);
      clientByCloudPort.put(cloudPort, name);
      cloudAddresses.put(name, loopback(cloudPort));
    }
    return stateAddresses;
  }

  /** Returns the address of the cloud for each controller. */
  Map<String, InetSocketAddress> cloudAddresses() {
    return cloudAddresses;
  }

  /** Returns the port of all workers. */
  int workersPort() {
    return workersPort;
  }

  /** Closes all ports. */
  void stop() {
    if (controllerServer != null) {
      controllerServer.stop();
    }
    if (workerServer != null) {
      workerServer.stop();
    }
  }

  private static int port(Undertow server, int listener) {
    return ((InetSocketAddress) server.getListenerInfo().get(listener).getAddress()).getPort();
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Handles a call of a controller to the state service or the cloud. */
  private void handleControllerCall(HttpServerExchange exchange) {
    int port = exchange.getDestinationAddress().getPort();
    boolean isStateCall = clientByStatePort.containsKey(port);
    String client = isStateCall ? clientByStatePort.get(port) : clientByCloudPort.get(port);
    String service = isStateCall ? STATE : CLOUD;
    withBody(
        exchange,
        body -> {
          Effect.Call call = call(exchange, body);
          SimulatedCluster.ReplyHandler reply = replyTo(exchange, service, client);
          driver.post(
              () -> {
                log(client, service, call.method() + " " + call.path(), body);
                Runnable deliver =
                    isStateCall
                        ? () -> cluster.state.handle(client, call, reply)
                        : () -> cluster.cloud.handle(call, reply);
                cluster.send(client, service, deliver);
              });
        });
  }

  /** Returns a handler that sends a reply over the simulated network, where it may be lost. */
  private SimulatedCluster.ReplyHandler replyTo(
      HttpServerExchange exchange, String from, String to) {
    return (outcome, status, json) ->
        cluster.send(
            from,
            to,
            () -> {
              log(from, to, "" + status, json);
              sendAnswer(exchange, status, json);
            });
  }

  private void log(String from, String to, String summary, JsonNode body) {
    cluster.messageLog.logMessage(cluster.now, from, to, summary, body);
  }

  /** Returns the call that a request stands for. */
  private static Effect.Call call(HttpServerExchange exchange, JsonNode body) {
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    String method = exchange.getRequestMethod().toString();
    return new Effect.Call(0, Effect.Target.STATE, null, method, path, body, 0);
  }

  /** Handles a request to a worker, which is identified by the destination address. */
  private void handleWorkerRequest(HttpServerExchange exchange) {
    InetSocketAddress destination = exchange.getDestinationAddress();
    if (!destination.getAddress().isLoopbackAddress()) {
      exchange.setStatusCode(404).endExchange();
      return;
    }
    String addr = destination.getAddress().getHostAddress() + ":" + destination.getPort();
    withBody(exchange, body -> driver.post(() -> deliverToWorker(exchange, addr, body)));
  }

  /** Delivers a request to the worker at an address; an unknown worker never answers. */
  private void deliverToWorker(HttpServerExchange exchange, String addr, JsonNode body) {
    SimulatedWorker worker = cluster.workers.get(addr);
    if (worker == null) {
      return;
    }
    boolean isStatusRequest = exchange.getRequestPath().equals("/status");
    // Status requests do not identify their sender; commands carry the token of the sender's term.
    String sender = isStatusRequest ? null : cluster.state.leaderUnder(body.path("baton").asLong());
    String from = sender == null ? UNKNOWN_SENDER : sender;
    SimulatedCluster.ReplyHandler reply = replyTo(exchange, addr, from);
    log(from, addr, exchange.getRequestPath(), body);
    Runnable deliver =
        isStatusRequest
            ? () -> worker.handleStatus(reply)
            : () -> worker.handleCommand(body, Long.MIN_VALUE, reply);
    if (isStatusRequest || cluster.commandDelayMs() == 0) {
      cluster.send(from, addr, deliver);
    } else {
      // The sender's request has timed out by the time the delayed command is executed.
      cluster.after(cluster.jitter(cluster.commandDelayMs()), deliver);
    }
  }

  /** Handles the parsed body of a request. */
  private interface BodyHandler {
    void handle(JsonNode body);
  }

  /** Reads and parses the body of a request; answers 400 if it is not JSON. */
  private static void withBody(HttpServerExchange exchange, BodyHandler handler) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, bytes) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> {
                      try {
                        handler.handle(bytes.length == 0 ? Json.object() : Json.parse(bytes));
                      } catch (IOException e) {
                        ex.setStatusCode(400).endExchange();
                      }
                    }));
  }

  /** Sends an answer, unless the exchange has been answered or its connection is closed. */
  private static void sendAnswer(HttpServerExchange exchange, int status, JsonNode json) {
    // Serialized on the simulation thread, because the JSON may change before the I/O thread runs.
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
