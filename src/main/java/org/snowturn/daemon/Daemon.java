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
import org.snowturn.wire.MessageSize;
import org.snowturn.worker.WorkerClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Connects the core to the network, on two I/O threads. The core thread runs the core and the
 * connections to the state service, the cloud and the peers. The API thread runs the connections of
 * users and workers, in both directions. When a thousand workers connect to this node at once,
 * reading their requests takes seconds; on a thread of its own, that cannot delay the renewal of
 * this node's lease. The core needs no locks, since only the core thread calls it.
 */
public final class Daemon {
  /** Result of {@link #start} if the process keeps running, in place of an exit status. */
  static final int KEEPS_RUNNING = -1;

  private static final Logger LOG = LoggerFactory.getLogger("snowturn");
  private static final long TICK_INTERVAL_MS = 40;

  /** Pause between two slices of the inbound queue. */
  private static final long INBOUND_PAUSE_MS = 1;

  /** Interval between two checks of the number of connections to workers. */
  private static final long TRIM_INTERVAL_MS = 100;

  private static final long NANOS_PER_MS = 1_000_000;

  private static final int EXIT_LISTEN_FAILED = 1;
  private static final int IDLE_TIMEOUT_MS = 60_000;
  private static final int REQUEST_PARSE_TIMEOUT_MS = 10_000;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_POOLED_BUFFERS = 64;
  private static final int BUFFERS_PER_THREAD = 4;

  /** Lower bound of the limit of requests that wait for an answer of the core. */
  private static final int MIN_PENDING_REQUEST_LIMIT = 64;

  private static final int MAX_AUTHORITY_CONNECTIONS = 2;
  private static final int MAX_STATE_CONNECTIONS = 12;
  private static final int MAX_WATCH_CONNECTIONS = 4;
  private static final int MAX_CLOUD_CONNECTIONS = 4;

  /**
   * Divisor of the node's sockets; the quotient is the upper bound of the connections to workers.
   */
  private static final int WORKER_SOCKETS_DIVISOR = 4;

  /**
   * Share of the node's sockets that incoming connections and connections to workers may use
   * together; the rest is reserved for bursts of incoming connections.
   */
  private static final double MAX_USED_SOCKETS_SHARE = 0.85;

  /** Lower bound of the limit of connections to workers. */
  private static final int MIN_WORKER_CONNECTION_LIMIT = 64;

  private final Settings settings;
  private final Controller controller;
  private final Metrics metrics = new Metrics();
  private Undertow server;
  private XnioWorker coreXnioWorker;
  private XnioWorker apiXnioWorker;
  private XnioIoThread coreThread;
  private XnioIoThread apiThread;
  private final InboundQueue inbound = new InboundQueue(this::scheduleInbound);
  private final List<Runnable> pendingApiTasks = new ArrayList<>();
  private volatile boolean isReady = true;
  private StateClient stateClient;
  private CloudClient cloudClient;
  private WorkerClient workerClient;
  private PeerLinks peerLinks;
  private HttpApi httpApi;

  /**
   * Creates a controller process that does not serve yet.
   *
   * @param processStartNanos time at which the process started, by {@link System#nanoTime}
   */
  public Daemon(Settings settings, Tunables tunables, long processStartNanos) {
    this.settings = settings;
    this.controller =
        new Controller(
            settings,
            tunables,
            UUID.randomUUID().toString(),
            processStartNanos / NANOS_PER_MS,
            Runtime.getRuntime().maxMemory());
    controller.setDebugLogging(LOG.isDebugEnabled());
    metrics.registerGauge("snowturn.heap.limit", () -> Runtime.getRuntime().maxMemory());
    metrics.registerGauge("snowturn.heap.used", Daemon::usedHeapBytes);
  }

  /** Returns the heap that objects take, including those that the next collection will free. */
  private static long usedHeapBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Starts serving.
   *
   * @return the exit status if an address cannot be bound, otherwise {@link #KEEPS_RUNNING}
   * @throws IOException if the I/O threads cannot be created
   */
  public int start() throws IOException {
    coreXnioWorker = createSingleThreadWorker();
    coreThread = coreXnioWorker.getIoThread();
    apiXnioWorker = createSingleThreadWorker();
    apiThread = apiXnioWorker.getIoThread();
    createClientsAndServer();
    if (!listen()) {
      stop();
      return EXIT_LISTEN_FAILED;
    }
    coreThread.execute(
        () -> {
          settings.peers().forEach(peer -> peerLinks.connect(peer.address()));
          tick();
        });
    apiThread.execute(this::trimWorkerConnections);
    LOG.info("event=started node={} address={}", settings.node(), settings.listenAddress());
    return KEEPS_RUNNING;
  }

  private void createClientsAndServer() {
    // Heap buffers: a connection that is closed within its own callback frees its buffers while the
    // client still reads into them. With direct buffers this crashed the process.
    ByteBufferPool buffers =
        new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    stateClient =
        new StateClient(
            new HttpCaller(
                settings.stateServiceAddress(), coreThread, buffers, MAX_STATE_CONNECTIONS),
            new HttpCaller(
                settings.stateServiceAddress(), coreThread, buffers, MAX_WATCH_CONNECTIONS),
            new HttpCaller(
                settings.stateServiceAddress(), coreThread, buffers, MAX_AUTHORITY_CONNECTIONS));
    cloudClient =
        new CloudClient(
            new HttpCaller(settings.cloudAddress(), coreThread, buffers, MAX_CLOUD_CONNECTIONS));
    workerClient = new WorkerClient(apiThread, buffers, this::maxWorkerConnections);
    peerLinks = new PeerLinks(coreThread, this::handleAndFlush);
    httpApi =
        new HttpApi(
            inbound::offer,
            () -> isReady,
            metrics,
            onGauges -> coreThread.execute(() -> collectGauges(onGauges)),
            Math.max(MIN_PENDING_REQUEST_LIMIT, settings.maxConnections() / 2));
    server = createServer(buffers);
  }

  private Undertow createServer(ByteBufferPool buffers) {
    return Undertow.builder()
        .setWorker(apiXnioWorker)
        .setByteBufferPool(buffers)
        .addHttpListener(
            settings.listenAddress().getPort(),
            settings.listenAddress().getAddress().getHostAddress())
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 4L * MessageSize.MAX_BYTES)
        .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
        .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
        .setSocketOption(Options.TCP_NODELAY, true)
        .setSocketOption(Options.REUSE_ADDRESSES, true)
        .setHandler(httpApi)
        .build();
  }

  private boolean listen() {
    try {
      server.start();
      peerLinks.listen(settings.peerListenAddress());
      return true;
    } catch (RuntimeException | IOException e) {
      boolean isBindFailure = e instanceof BindException || e.getCause() instanceof BindException;
      LOG.error(
          "event=listen_failed address={} peer_address={} error=\"{}\"",
          settings.listenAddress(),
          settings.peerListenAddress(),
          isBindFailure ? "address already in use or not assigned to this host" : e.toString());
      return false;
    }
  }

  /** Stops serving and closes all connections. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
    coreXnioWorker.shutdownNow();
    apiXnioWorker.shutdownNow();
  }

  private static XnioWorker createSingleThreadWorker() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  private void trimWorkerConnections() {
    runSafely(workerClient::trim);
    apiThread.executeAfter(this::trimWorkerConnections, TRIM_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    handleAndFlush(new Input.Tick());
    isReady = controller.isReady();
    coreThread.executeAfter(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns the limit of connections to workers, which falls as incoming connections grow. */
  private int maxWorkerConnections() {
    long incoming = server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    int available = (int) (settings.maxConnections() * MAX_USED_SOCKETS_SHARE - incoming);
    int maxShare = settings.maxConnections() / WORKER_SOCKETS_DIVISOR;
    return Math.max(MIN_WORKER_CONNECTION_LIMIT, Math.min(maxShare, available));
  }

  private void scheduleInbound() {
    coreThread.execute(this::drainInbound);
  }

  private void drainInbound() {
    if (inbound.drain(this::handleInput)) {
      // The pause lets the I/O thread select its sockets: it runs all queued tasks before that.
      coreThread.executeAfter(this::drainInbound, INBOUND_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
    flushApiTasks();
  }

  private void collectGauges(Consumer<Map<String, Double>> onGauges) {
    Map<String, Double> gauges = controller.gauges();
    apiThread.execute(() -> onGauges.accept(gauges));
  }

  private void handleAndFlush(Input input) {
    handleInput(input);
    flushApiTasks();
  }

  /** Passes the answers and commands of an input or of a slice to the API thread in one task. */
  private void flushApiTasks() {
    if (!pendingApiTasks.isEmpty()) {
      List<Runnable> tasks = List.copyOf(pendingApiTasks);
      pendingApiTasks.clear();
      apiThread.execute(() -> tasks.forEach(this::runSafely));
    }
  }

  /** Runs a task; logs its failure, so that the tasks after it still run. */
  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event=answer_or_command_failed", e);
      metrics.count("snowturn.failures", "Bulk");
    }
  }

  private void handleInput(Input input) {
    try {
      long nowMs = System.nanoTime() / NANOS_PER_MS;
      for (Effect effect : controller.handle(nowMs, System.currentTimeMillis(), input)) {
        perform(effect);
      }
    } catch (RuntimeException e) {
      // A failed input must not end the process; timeouts resolve the work that it left unfinished.
      LOG.error("event=input_failed input={}", input.getClass().getSimpleName(), e);
      metrics.count("snowturn.failures", input.getClass().getSimpleName());
    }
  }

  private void perform(Effect effect) {
    if (effect instanceof Effect.Answer answer) {
      pendingApiTasks.add(() -> httpApi.answer(answer));
    } else if (effect instanceof Effect.Call call) {
      metrics.count("snowturn.calls", call.target().name().toLowerCase(Locale.ROOT));
      switch (call.target()) {
        case AUTHORITY, STATE, STATE_WATCH -> stateClient.call(call, this::onServiceReply);
        case CLOUD -> cloudClient.call(call, this::onServiceReply);
        case WORKER -> pendingApiTasks.add(() -> workerClient.call(call, this::onWorkerReply));
        default -> throw new IllegalStateException("unexpected call target: " + call.target());
      }
    } else if (effect instanceof Effect.Broadcast broadcast) {
      peerLinks.send(broadcast.message());
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

  /** Handles a reply in a later task, so that the core is not called while it handles an input. */
  private void onServiceReply(Input input) {
    recordFailedCall(input);
    coreThread.execute(() -> handleAndFlush(input));
  }

  private void onWorkerReply(Input input) {
    recordFailedCall(input);
    inbound.offer(input);
  }

  private void recordFailedCall(Input input) {
    if (input instanceof Input.Reply reply && reply.outcome() != Outcome.ANSWERED) {
      metrics.count("snowturn.calls.failed", reply.outcome().name().toLowerCase(Locale.ROOT));
      LOG.debug(
          "event=call_failed call={} outcome={} status={}",
          reply.callId(),
          reply.outcome(),
          reply.status());
    }
  }
}
