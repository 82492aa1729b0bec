package org.snowturn.simulation;

import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.net.HttpCaller;
import org.xnio.XnioIoThread;

/**
 * The connections over which hollow workers report: one each, to the controller that the worker has
 * chosen last. A worker's connection stays on one I/O thread, so no locks are needed.
 */
final class WorkerConnections {
  private record Connection(InetSocketAddress to, HttpCaller caller) {}

  /** The links of one I/O thread, entered by that thread only. */
  private static final class ThreadConnections {
    final XnioIoThread ioThread;
    final Map<String, Connection> byWorker = new HashMap<>();

    /** Callers of nodes that their workers have left, until their last call is over. */
    final List<HttpCaller> closing = new ArrayList<>();

    ThreadConnections(XnioIoThread io) {
      this.ioThread = io;
    }
  }

  private final List<ThreadConnections> perThread;
  private final ByteBufferPool buffers;

  WorkerConnections(List<XnioIoThread> threads, ByteBufferPool buffers) {
    this.perThread = threads.stream().map(ThreadConnections::new).toList();
    this.buffers = buffers;
  }

  /** Calls {@code use} with the worker's connection to a controller, on the worker's thread. */
  void withConnection(
      String worker, InetSocketAddress to, java.util.function.Consumer<HttpCaller> use) {
    ThreadConnections lane = perThread.get(Math.floorMod(worker.hashCode(), perThread.size()));
    lane.ioThread.execute(() -> use.accept(connect(lane, worker, to)));
  }

  private HttpCaller connect(ThreadConnections lane, String worker, InetSocketAddress to) {
    Connection l = lane.byWorker.get(worker);
    lane.closing.removeIf(HttpCaller::closeIfIdle);
    if (l == null || !l.to.equals(to)) {
      if (l != null && !l.caller.closeIfIdle()) {
        lane.closing.add(l.caller);
      }
      l = new Connection(to, new HttpCaller(to, lane.ioThread, buffers, 1));
      lane.byWorker.put(worker, l);
    }
    return l.caller;
  }
}
