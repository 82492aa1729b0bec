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
 * Connections over which simulated workers send heartbeats. Each worker has one connection, to the
 * controller that it selected last, and always uses the same I/O thread, so no locks are needed.
 */
final class WorkerConnections {
  private record Connection(InetSocketAddress to, HttpCaller caller) {}

  /** Connections of one I/O thread, accessed only by that thread. */
  private static final class ThreadConnections {
    final XnioIoThread ioThread;
    final Map<String, Connection> byWorker = new HashMap<>();

    /** Connections replaced by one to another controller; closed once their last call ends. */
    final List<HttpCaller> closing = new ArrayList<>();

    ThreadConnections(XnioIoThread ioThread) {
      this.ioThread = ioThread;
    }
  }

  private final List<ThreadConnections> perThread;
  private final ByteBufferPool buffers;

  WorkerConnections(List<XnioIoThread> threads, ByteBufferPool buffers) {
    this.perThread = threads.stream().map(ThreadConnections::new).toList();
    this.buffers = buffers;
  }

  /**
   * Passes a worker's connection to a controller to {@code action}, on the worker's I/O thread.
   *
   * @param worker the worker's address
   * @param to the controller's address
   * @param action uses the connection
   */
  void withConnection(
      String worker, InetSocketAddress to, java.util.function.Consumer<HttpCaller> action) {
    ThreadConnections connections =
        perThread.get(Math.floorMod(worker.hashCode(), perThread.size()));
    connections.ioThread.execute(() -> action.accept(connect(connections, worker, to)));
  }

  /** Returns the worker's connection, which is replaced if it leads to another controller. */
  private HttpCaller connect(ThreadConnections connections, String worker, InetSocketAddress to) {
    Connection connection = connections.byWorker.get(worker);
    connections.closing.removeIf(HttpCaller::closeIfIdle);
    if (connection == null || !connection.to.equals(to)) {
      if (connection != null && !connection.caller.closeIfIdle()) {
        connections.closing.add(connection.caller);
      }
      connection = new Connection(to, new HttpCaller(to, connections.ioThread, buffers, 1));
      connections.byWorker.put(worker, connection);
    }
    return connection.caller;
  }
}
