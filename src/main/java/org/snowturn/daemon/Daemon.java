package org.snowturn.daemon;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.cloud.CloudClient;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Controller;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.http.HttpApi;
import org.snowturn.metrics.Metrics;
import org.snowturn.net.HttpCaller;
import org.snowturn.peer.PeerLinks;
import org.snowturn.state.StateClient;
import org.snowturn.worker.WorkerClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Wires the core to the world, on two I/O threads. One has the core, the state service, the cloud
 * and the peers; the other has users and workers. When a thousand workers turn to this node at
 * once, reading their requests takes seconds: on a thread of its own that cannot keep the renewal
 * of this node's lease waiting. The core needs no locks, since only its thread enters it.
 */
public final class Daemon {
  /** The start-up result that leaves the process running. */
  static final int KEEPS_RUNNING = -1;

  private static final Logger LOG = LoggerFactory.getLogger("snowturn");
  private static final long TICK_MS = 40;
  private static final long INBOUND_PAUSE_MS = 1;
  private static final long TRIM_MS = 100;

  private static final int LISTEN_FAILED = 1;
  private static final int IDLE_TIMEOUT_MS = 60_000;
  private static final int REQUEST_PARSE_TIMEOUT_MS = 10_000;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_POOLED_BUFFERS = 64;
  private static final int BUFFERS_PER_THREAD = 4;
  private static final int MIN_OPEN_REQUESTS = 64;

  private static final int AUTHORITY_CONNECTIONS = 2;
  private static final int STATE_CONNECTIONS = 12;
  private static final int WATCHES = 4;
  private static final int CLOUD_CONNECTIONS = 4;

  /** One in so many of the node's sockets may go out to workers. */
  private static final int WORKER_SOCKETS_DIVISOR = 4;

  /** What may be used of the node's sockets, all in all; the rest is for what comes in a burst. */
  private static final double USED_SOCKETS_SHARE = 0.85;

  private static final int MIN_WORKER_CONNECTIONS = 64;

  private final Settings settings;
  private final Controller controller;
  private final Metrics metrics = new Metrics();
  private Undertow server;
  private XnioWorker worker;
  private XnioWorker bulkWorker;
  private XnioIoThread io;
  private XnioIoThread bulk;
  private final InboundQueue inbound = new InboundQueue(this::scheduleInbound);
  private final List<Runnable> forBulk = new ArrayList<>();
  private volatile boolean ready = true;
  private StateClient state;
  private CloudClient cloud;
  private WorkerClient workers;
  private PeerLinks peers;
  private HttpApi front;

  /**
   * Prepares a controller.
   *
   * @param beganNanos when the process began, by {@link System#nanoTime}
   */
  public Daemon(Settings settings, Tunables tunables, long beganNanos) {
    this.settings = settings;
    this.controller =
        new Controller(settings, tunables, UUID.randomUUID().toString(), beganNanos / 1_000_000);
    controller.logDetails(LOG.isDebugEnabled());
  }

  /** Starts serving; returns an exit status, or {@link #KEEPS_RUNNING}. */
  public int start() throws IOException {
    worker = oneThread();
    io = worker.getIoThread();
    bulkWorker = oneThread();
    bulk = bulkWorker.getIoThread();
    createClientsAndServer();
    if (!listen()) {
      stop();
      return LISTEN_FAILED;
    }
    io.execute(
        () -> {
          settings.peers().forEach(peer -> peers.connect(peer.addr()));
          tick();
        });
    bulk.execute(this::trim);
    LOG.info("event=started node={} address={}", settings.node(), settings.serveOn());
    return KEEPS_RUNNING;
  }

  private void createClientsAndServer() {
    // On the heap: a connection that is closed within its own callback frees its buffers while the
    // client still reads into them, which with direct memory ended the process.
    ByteBufferPool buffers =
        new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    state =
        new StateClient(
            new HttpCaller(settings.state(), io, buffers, STATE_CONNECTIONS),
            new HttpCaller(settings.state(), io, buffers, WATCHES),
            new HttpCaller(settings.state(), io, buffers, AUTHORITY_CONNECTIONS));
    cloud = new CloudClient(new HttpCaller(settings.cloud(), io, buffers, CLOUD_CONNECTIONS));
    workers = new WorkerClient(bulk, buffers, this::connectionsToWorkers);
    peers = new PeerLinks(io, this::accept);
    front =
        new HttpApi(
            inbound::offer,
            () -> ready,
            metrics,
            then -> io.execute(() -> gauges(then)),
            Math.max(MIN_OPEN_REQUESTS, settings.maxConnections() / 2));
    server = createServer(buffers);
  }

  private Undertow createServer(ByteBufferPool buffers) {
    return Undertow.builder()
        .setWorker(bulkWorker)
        .setByteBufferPool(buffers)
        .addHttpListener(
            settings.serveOn().getPort(), settings.serveOn().getAddress().getHostAddress())
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 4L * HttpApi.MAX_BODY_BYTES)
        .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
        .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
        .setSocketOption(Options.TCP_NODELAY, true)
        .setSocketOption(Options.REUSE_ADDRESSES, true)
        .setHandler(front)
        .build();
  }

  private boolean listen() {
    try {
      server.start();
      peers.listen(settings.peerBind());
      return true;
    } catch (RuntimeException | IOException e) {
      boolean inUse = e instanceof BindException || e.getCause() instanceof BindException;
      LOG.error(
          "event=listen_failed address={} peer_address={} error=\"{}\"",
          settings.serveOn(),
          settings.peerBind(),
          inUse ? "address in use or not ours" : e.toString());
      return false;
    }
  }

  /** Stops serving. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
    worker.shutdownNow();
    bulkWorker.shutdownNow();
  }

  private static XnioWorker oneThread() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  private void trim() {
    safely(workers::trim);
    bulk.executeAfter(this::trim, TRIM_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    accept(new Input.Tick());
    ready = controller.ready();
    io.executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Connections to workers give way to those that workers and users open. */
  private int connectionsToWorkers() {
    long in = server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    int left = (int) (settings.maxConnections() * USED_SOCKETS_SHARE - in);
    int share = settings.maxConnections() / WORKER_SOCKETS_DIVISOR;
    return Math.max(MIN_WORKER_CONNECTIONS, Math.min(share, left));
  }

  private void scheduleInbound() {
    io.execute(this::drainInbound);
  }

  private void drainInbound() {
    if (inbound.drain(this::handle)) {
      // Not at once: the thread runs all that is to be executed before it looks at its sockets.
      io.executeAfter(this::drainInbound, INBOUND_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
    toBulk();
  }

  private void gauges(Consumer<Map<String, Double>> then) {
    Map<String, Double> gauges = controller.gauges();
    bulk.execute(() -> then.accept(gauges));
  }

  private void accept(Input input) {
    handle(input);
    toBulk();
  }

  /** Hands over what is for users and workers: all of an input, or of a slice, at once. */
  private void toBulk() {
    if (!forBulk.isEmpty()) {
      List<Runnable> all = List.copyOf(forBulk);
      forBulk.clear();
      bulk.execute(() -> all.forEach(this::safely));
    }
  }

  /** One answer that cannot be sent must not take the others with it. */
  private void safely(Runnable run) {
    try {
      run.run();
    } catch (RuntimeException e) {
      LOG.error("event=answer_or_command_failed", e);
      metrics.count("snowturn.failures", "Bulk");
    }
  }

  private void handle(Input input) {
    try {
      long now = System.nanoTime() / 1_000_000;
      for (Effect effect : controller.handle(now, System.currentTimeMillis(), input)) {
        perform(effect);
      }
    } catch (RuntimeException e) {
      // One input must not end the process; what it was about is settled by time-outs.
      LOG.error("event=input_failed input={}", input.getClass().getSimpleName(), e);
      metrics.count("snowturn.failures", input.getClass().getSimpleName());
    }
  }

  private void perform(Effect effect) {
    if (effect instanceof Effect.Answer answer) {
      forBulk.add(() -> front.answer(answer));
    } else if (effect instanceof Effect.Call call) {
      metrics.count("snowturn.calls", call.target().name().toLowerCase(Locale.ROOT));
      switch (call.target()) {
        case AUTHORITY, STATE, STATE_WATCH -> state.call(call, this::later);
        case CLOUD -> cloud.call(call, this::later);
        case WORKER -> forBulk.add(() -> workers.call(call, this::fromWorker));
        default -> throw new IllegalStateException();
      }
    } else if (effect instanceof Effect.Broadcast broadcast) {
      peers.send(broadcast.message());
    } else if (effect instanceof Effect.Event event) {
      log(event);
    }
  }

  private static void log(Effect.Event event) {
    switch (event.severity()) {
      case ERROR -> LOG.error("{}", event.text());
      case INFO -> LOG.info("{}", event.text());
      default -> LOG.debug("{}", event.text());
    }
  }

  /** Replies are taken after the present input: the core is not entered twice. */
  private void later(Input input) {
    noteFailure(input);
    io.execute(() -> accept(input));
  }

  private void fromWorker(Input input) {
    noteFailure(input);
    inbound.offer(input);
  }

  private void noteFailure(Input input) {
    if (input instanceof Input.Reply reply && reply.outcome() != Outcome.ANSWERED) {
      metrics.count("snowturn.calls.failed", reply.outcome().name().toLowerCase(Locale.ROOT));
      LOG.debug(
          "event=call_failed call={} outcome={} status={}",
          reply.call(),
          reply.outcome(),
          reply.status());
    }
  }
}
