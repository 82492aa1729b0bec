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
  private record Link(InetSocketAddress to, HttpCaller caller) {}

  /** The links of one I/O thread, entered by that thread only. */
  private static final class Lane {
    final XnioIoThread io;
    final Map<String, Link> links = new HashMap<>();

    /** Callers of nodes that their workers have left, until their last call is over. */
    final List<HttpCaller> retired = new ArrayList<>();

    Lane(XnioIoThread io) {
      this.io = io;
    }
  }

  private final List<Lane> lanes;
  private final ByteBufferPool buffers;

  WorkerConnections(List<XnioIoThread> threads, ByteBufferPool buffers) {
    this.lanes = threads.stream().map(Lane::new).toList();
    this.buffers = buffers;
  }

  /** Calls {@code use} with the worker's connection to a controller, on the worker's thread. */
  void withConnection(
      String worker, InetSocketAddress to, java.util.function.Consumer<HttpCaller> use) {
    Lane lane = lanes.get(Math.floorMod(worker.hashCode(), lanes.size()));
    lane.io.execute(() -> use.accept(link(lane, worker, to)));
  }

  private HttpCaller link(Lane lane, String worker, InetSocketAddress to) {
    Link l = lane.links.get(worker);
    lane.retired.removeIf(HttpCaller::closeIfIdle);
    if (l == null || !l.to.equals(to)) {
      if (l != null && !l.caller.closeIfIdle()) {
        lane.retired.add(l.caller);
      }
      l = new Link(to, new HttpCaller(to, lane.io, buffers, 1));
      lane.links.put(worker, l);
    }
    return l.caller;
  }
}
