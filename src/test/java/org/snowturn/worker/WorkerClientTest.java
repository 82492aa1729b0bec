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

/** Connections to more workers than there are sockets for. */
class WorkerClientTest {
  private static final int MOST = 4;
  private static final int WORKERS = 20;
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
            worker.getIoThread(), new DefaultByteBufferPool(false, 16 * 1024, 8, 0), () -> MOST);
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    ConnectorStatistics seen = server.getListenerInfo().get(0).getConnectorStatistics();
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
      assertOpenConnectionsFallToMost(seen);
    }
    assertTrue(
        seen.getMaxActiveConnections() < 2 * MOST, "open: " + seen.getMaxActiveConnections());
  }

  @Test
  void connectionsGiveWayWhenTheSocketsAreNeededOtherwise() throws Exception {
    AtomicInteger most = new AtomicInteger(WORKERS);
    WorkerClient client =
        new WorkerClient(
            worker.getIoThread(), new DefaultByteBufferPool(false, 16 * 1024, 8, 0), most::get);
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
    ConnectorStatistics seen = server.getListenerInfo().get(0).getConnectorStatistics();
    assertTrue(seen.getMaxActiveConnections() > 2 * MOST, "they were open before");
    // No command is due.
    most.set(MOST);
    worker.getIoThread().execute(client::trim);
    assertOpenConnectionsFallToMost(seen);
  }

  /**
   * Waits up to 30 s for the server to notice the closes: it may answer requests on new connections
   * before it notices that the client closed earlier ones.
   */
  private static void assertOpenConnectionsFallToMost(ConnectorStatistics seen)
      throws InterruptedException {
    for (int i = 0; i < 3000 && seen.getActiveConnections() > MOST; i++) {
      Thread.sleep(10);
    }
    assertTrue(seen.getActiveConnections() <= MOST, "open: " + seen.getActiveConnections());
  }

  @Test
  void anAddressThatIsNoneIsRefused() {
    WorkerClient client = new WorkerClient(null, null, () -> MOST);
    BlockingQueue<Input> replies = new LinkedBlockingQueue<>();
    client.call(
        new Effect.Call(1, Effect.Target.WORKER, "no-address", "POST", "/", null, 10),
        replies::add);
    assertEquals(Outcome.REFUSED, ((Input.Reply) replies.poll()).outcome());
  }
}
