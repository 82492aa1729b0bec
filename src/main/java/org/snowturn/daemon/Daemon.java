package org.snowturn.daemon;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.BindException;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.cloud.CloudClient;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Controller;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.front.Front;
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
 * Wires the core to the world. Everything runs on one I/O thread, so the core needs no locks and a
 * third of a core is not spent on handing work between threads.
 */
public final class Daemon {
  /** The start-up result that leaves the process running. */
  static final int KEEPS_RUNNING = -1;

  private static final Logger LOG = LoggerFactory.getLogger("snowturn");
  private static final long TICK_MS = 40;
  private static final int STATE_CONNECTIONS = 12;
  private static final int WATCHES = 4;
  private static final int CLOUD_CONNECTIONS = 4;

  /** One in so many of the node's sockets may go out to workers. */
  private static final int WORKERS_SHARE = 4;

  private final Settings settings;
  private final Controller controller;
  private final Metrics metrics = new Metrics();
  private Undertow server;
  private XnioWorker worker;
  private XnioIoThread io;
  private StateClient state;
  private CloudClient cloud;
  private WorkerClient workers;
  private PeerLinks peers;
  private Front front;

  /** Prepares a controller. */
  public Daemon(Settings settings, Tunables tunables) {
    this.settings = settings;
    this.controller = new Controller(settings, tunables, UUID.randomUUID().toString());
  }

  /** Starts serving; returns an exit status, or {@link #KEEPS_RUNNING}. */
  public int start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    io = worker.getIoThread();
    // On the heap: a connection that is closed within its own callback frees its buffers while the
    // client still reads into them, which with direct memory ended the process.
    ByteBufferPool buffers = new DefaultByteBufferPool(false, 16 * 1024, 64, 4);
    state =
        new StateClient(
            new HttpCaller(settings.state(), io, buffers, STATE_CONNECTIONS),
            new HttpCaller(settings.state(), io, buffers, WATCHES),
            settings.stateLimits());
    cloud = new CloudClient(new HttpCaller(settings.cloud(), io, buffers, CLOUD_CONNECTIONS));
    workers =
        new WorkerClient(io, buffers, Math.max(64, settings.maxConnections() / WORKERS_SHARE));
    peers = new PeerLinks(io, this::accept);
    front =
        new Front(
            this::accept,
            controller::ready,
            metrics,
            controller::gauges,
            Math.max(64, settings.maxConnections() / 2));
    server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(
                settings.serveOn().getPort(), settings.serveOn().getAddress().getHostAddress())
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 4L * Front.MAX_BODY)
            .setServerOption(UndertowOptions.IDLE_TIMEOUT, 60_000)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setHandler(front)
            .build();
    try {
      server.start();
      peers.listen(settings.peerBind());
    } catch (RuntimeException | IOException e) {
      boolean inUse = e instanceof BindException || e.getCause() instanceof BindException;
      LOG.error(
          "cannot listen on {} and {}: {}",
          settings.serveOn(),
          settings.peerBind(),
          inUse ? "address in use or not ours" : e.toString());
      stop();
      return 1;
    }
    io.execute(
        () -> {
          settings.peers().forEach(p -> peers.connect(p.addr()));
          tick();
        });
    LOG.info("{} serves on {}", settings.node(), settings.serveOn());
    return KEEPS_RUNNING;
  }

  /** Stops serving. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
    worker.shutdownNow();
  }

  private void tick() {
    accept(new Input.Tick());
    io.executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void accept(Input input) {
    if (!io.equals(Thread.currentThread())) {
      io.execute(() -> accept(input));
      return;
    }
    try {
      long now = System.nanoTime() / 1_000_000;
      for (Effect e : controller.handle(now, System.currentTimeMillis(), input)) {
        perform(e);
      }
    } catch (RuntimeException e) {
      // One input must not end the process; what it was about is settled by time-outs.
      LOG.error("input failed: {}", input.getClass().getSimpleName(), e);
      metrics.count("snowturn.failures", input.getClass().getSimpleName());
    }
  }

  private void perform(Effect e) {
    if (e instanceof Effect.Answer a) {
      front.answer(a);
    } else if (e instanceof Effect.Call c) {
      metrics.count("snowturn.calls", c.target().name().toLowerCase(java.util.Locale.ROOT));
      switch (c.target()) {
        case STATE, STATE_WATCH -> state.call(c, this::later);
        case CLOUD -> cloud.call(c, this::later);
        case WORKER -> workers.call(c, this::later);
        default -> throw new IllegalStateException();
      }
    } else if (e instanceof Effect.ToPeers p) {
      peers.send(p.message());
    } else if (e instanceof Effect.Note n) {
      LOG.info("{}", n.text());
    }
  }

  /** Replies are taken after the present input: the core is not entered twice. */
  private void later(Input input) {
    if (input instanceof Input.Reply r && r.outcome() != org.snowturn.core.Outcome.ANSWERED) {
      metrics.count("snowturn.calls.failed", r.outcome().name().toLowerCase(java.util.Locale.ROOT));
      LOG.debug("call {} {} {}", r.call(), r.outcome(), r.status());
    }
    io.execute(() -> accept(input));
  }
}
