package org.snowturn.worker;

import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.net.HttpCaller;
import org.xnio.XnioIoThread;

/**
 * HTTP client for direct commands to workers, with one persistent connection for each worker.
 *
 * <p>The number of connections is limited to what this node can spare beside the connections that
 * workers and users open to it; above the limit, the least recently used ones are closed. As the
 * incoming connections grow, the limit falls: a command may then need a new connection, but no
 * incoming connection is refused.
 *
 * <p>Not thread-safe: all methods run on the I/O thread that is passed to the constructor.
 */
public final class WorkerClient {
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;
  private static final int CONNECTIONS_PER_WORKER = 1;

  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final IntSupplier maxConnections;

  /** Callers by worker address, the least recently used one first. */
  private final LinkedHashMap<String, HttpCaller> callers =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Creates a client without connections.
   *
   * @param io I/O thread that the client and its connections run on
   * @param maxConnections supplies the current limit of connections to workers; read at each new
   *     connection and at each {@link #trim}
   */
  public WorkerClient(XnioIoThread io, ByteBufferPool buffers, IntSupplier maxConnections) {
    this.io = io;
    this.buffers = buffers;
    this.maxConnections = maxConnections;
  }

  /**
   * Calls a worker.
   *
   * @param onReply handles the reply; called at once with {@link Outcome#REFUSED} if the call's
   *     address is invalid
   */
  public void call(Effect.Call call, Consumer<Input> onReply) {
    HttpCaller caller = callers.get(call.address());
    if (caller == null) {
      caller = connectTo(call.address());
      if (caller == null) {
        onReply.accept(new Input.Reply(call.id(), Outcome.REFUSED, 0, null));
        return;
      }
      closeIdleAbove(maxConnections.getAsInt() - 1);
      callers.put(call.address(), caller);
    }
    caller.call(call, onReply);
  }

  /**
   * Closes idle connections above the current limit. Called at regular intervals, since the limit
   * also falls while no command is sent: when all workers connect to this node within a second or
   * two, waiting for the next command could leave the node without free sockets.
   */
  public void trim() {
    closeIdleAbove(maxConnections.getAsInt());
  }

  private void closeIdleAbove(int maxKept) {
    // A caller is dropped only once it has closed its connection: no later call could close it.
    Iterator<HttpCaller> leastRecentlyUsed = callers.values().iterator();
    while (callers.size() > maxKept && leastRecentlyUsed.hasNext()) {
      if (leastRecentlyUsed.next().closeIfIdle()) {
        leastRecentlyUsed.remove();
      }
    }
  }

  /**
   * Returns a caller for an address, or null if the address is invalid. Workers report their own
   * addresses, which must have the form IPv4:port.
   */
  private HttpCaller connectTo(String address) {
    int colon = address.lastIndexOf(':');
    try {
      if (colon > 0 && address.substring(0, colon).matches("[0-9.]{7,15}")) {
        int port = Integer.parseInt(address.substring(colon + 1));
        return new HttpCaller(
            new InetSocketAddress(address.substring(0, colon), port),
            io,
            buffers,
            CONNECTIONS_PER_WORKER);
      }
    } catch (IllegalArgumentException e) {
      return null;
    }
    return null;
  }
}
