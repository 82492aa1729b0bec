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
 * Direct commands to workers, one persistent connection each, and no more connections than this
 * node can spare beside those that the workers and users open: the longest unused is closed first.
 * As theirs grow, these give way: a command then costs a connection, but nobody is refused one.
 * Belongs to the I/O thread that it is given.
 */
public final class WorkerClient {
  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final IntSupplier maxOpen;
  private final LinkedHashMap<String, HttpCaller> callers = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Runs on the given thread.
   *
   * @param maxOpen about how many connections it may have now; asked at each new one
   */
  public WorkerClient(XnioIoThread io, ByteBufferPool buffers, IntSupplier maxOpen) {
    this.io = io;
    this.buffers = buffers;
    this.maxOpen = maxOpen;
  }

  /** Makes the call and hands in its reply. */
  public void call(Effect.Call call, Consumer<Input> reply) {
    HttpCaller caller = callers.get(call.address());
    if (caller == null) {
      caller = connectTo(call.address());
      if (caller == null) {
        reply.accept(new Input.Reply(call.id(), Outcome.REFUSED, 0, null));
        return;
      }
      keep(maxOpen.getAsInt() - 1);
      callers.put(call.address(), caller);
    }
    caller.call(call, reply);
  }

  /**
   * Gives way at once to connections that have come in meanwhile. When all workers turn to this
   * node within a second or two, no new command may be due for a while, and the table would be
   * full.
   */
  public void trim() {
    keep(maxOpen.getAsInt());
  }

  private void keep(int most) {
    // A caller that is let go must hold no connection, or nobody would ever close it.
    Iterator<HttpCaller> longestUnused = callers.values().iterator();
    while (callers.size() > most && longestUnused.hasNext()) {
      if (longestUnused.next().closeIfIdle()) {
        longestUnused.remove();
      }
    }
  }

  /** Null for an address that is none: workers name their own, and it must be an IP address. */
  private HttpCaller connectTo(String addr) {
    int colon = addr.lastIndexOf(':');
    try {
      if (colon > 0 && addr.substring(0, colon).matches("[0-9.]{7,15}")) {
        int port = Integer.parseInt(addr.substring(colon + 1));
        return new HttpCaller(
            new InetSocketAddress(addr.substring(0, colon), port), io, buffers, 1);
      }
    } catch (IllegalArgumentException e) {
      return null;
    }
    return null;
  }
}
