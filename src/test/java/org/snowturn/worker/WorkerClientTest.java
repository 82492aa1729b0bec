package org.snowturn.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.wire.Json;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against a client that keeps connections to all workers open when the node has sockets for
 * only a few of them.
 */
class WorkerClientTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final int WORKERS = 20;
  private static final int MAX_WAIT_MS = 30_000;
  private static final int POLL_INTERVAL_MS = 10;
  private Undertow server;
  private XnioWorker worker;

  @BeforeEach
  void start() throws Exception {
    server =
        Undertow.builder()
            .setIoThreads(1)
            .addHttpListener(0, "0.0.0.0")
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
            .setHandler(exchange -> exchange.setStatusCode(200).endExchange())
            .build();
    server.start();
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
  }

  @AfterEach
  void stop() {
    server.stop();
    worker.shutdownNow();
  }

  @Test
  void noMoreConnectionsStayOpenThanTheNodeCanSpare() throws Exception {
    WorkerClient client =
        new WorkerClient(
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 16 * 1024, 8, 0),
            () -> MAX_CONNECTIONS);
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    ConnectorStatistics statistics = server.getListenerInfo().get(0).getConnectorStatistics();
    BlockingQueue<Input> replies = new LinkedBlockingQueue<>();
    for (int i = 0; i < 2 * WORKERS; i++) {
      // Each loopback address stands for a worker.
      String addr = "127.0.0." + (1 + i % WORKERS) + ":" + port;
      Effect.Call call =
          new Effect.Call(
              i, Effect.Target.WORKER, addr, "POST", "/commands", Json.object(), 30_000);
      worker.getIoThread().execute(() -> client.call(call, replies::add));
      Input.Reply reply = (Input.Reply) replies.poll(30, TimeUnit.SECONDS);
      assertEquals(Outcome.ANSWERED, reply.outcome());
      assertOpenConnectionsFallToLimit(statistics);
    }
    assertTrue(
        statistics.getMaxActiveConnections() < 2 * MAX_CONNECTIONS,
        "open: " + statistics.getMaxActiveConnections());
  }

  @Test
  void idleConnectionsAreClosedWhenTheLimitFalls() throws Exception {
    AtomicInteger maxConnections = new AtomicInteger(WORKERS);
    WorkerClient client =
        new WorkerClient(
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 16 * 1024, 8, 0),
            maxConnections::get);
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    BlockingQueue<Input> replies = new LinkedBlockingQueue<>();
    for (int i = 0; i < WORKERS; i++) {
      Effect.Call call =
          new Effect.Call(
              i,
              Effect.Target.WORKER,
              "127.0.0." + (1 + i) + ":" + port,
              "POST",
              "/commands",
              Json.object(),
              30_000);
      worker.getIoThread().execute(() -> client.call(call, replies::add));
      assertEquals(Outcome.ANSWERED, ((Input.Reply) replies.poll(30, TimeUnit.SECONDS)).outcome());
    }
    ConnectorStatistics statistics = server.getListenerInfo().get(0).getConnectorStatistics();
    assertTrue(
        statistics.getMaxActiveConnections() > 2 * MAX_CONNECTIONS,
        "open before the limit falls: " + statistics.getMaxActiveConnections());
    // The limit falls while no command is sent.
    maxConnections.set(MAX_CONNECTIONS);
    worker.getIoThread().execute(client::trim);
    assertOpenConnectionsFallToLimit(statistics);
  }

  /**
   * Waits up to 30 s for the server to notice the closes: it may answer requests on new connections
   * before it notices that the client closed earlier ones.
   */
  private static void assertOpenConnectionsFallToLimit(ConnectorStatistics statistics)
      throws InterruptedException {
    for (int i = 0;
        i < MAX_WAIT_MS / POLL_INTERVAL_MS && statistics.getActiveConnections() > MAX_CONNECTIONS;
        i++) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
    assertTrue(
        statistics.getActiveConnections() <= MAX_CONNECTIONS,
        "open: " + statistics.getActiveConnections());
  }

  @Test
  void callsToAMalformedAddressAreRefused() {
    WorkerClient client = new WorkerClient(null, null, () -> MAX_CONNECTIONS);
    BlockingQueue<Input> replies = new LinkedBlockingQueue<>();
    client.call(
        new Effect.Call(1, Effect.Target.WORKER, "no-address", "POST", "/", null, 10),
        replies::add);
    assertEquals(Outcome.REFUSED, ((Input.Reply) replies.poll()).outcome());
  }
}
