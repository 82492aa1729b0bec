package org.snowturn.worker;

import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.net.HttpCaller;
import org.xnio.XnioIoThread;

/** Direct commands to workers, one persistent connection each. */
public final class WorkerClient {
  private static final int MOST_IDLE = 256;
  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final Map<String, HttpCaller> callers = new HashMap<>();

  /** Runs on the given thread. */
  public WorkerClient(XnioIoThread io, ByteBufferPool buffers) {
    this.io = io;
    this.buffers = buffers;
  }

  /** Makes the call and hands in its reply. */
  public void call(Effect.Call c, Consumer<Input> reply) {
    HttpCaller caller = callers.computeIfAbsent(c.addr(), this::connectTo);
    if (caller == null) {
      reply.accept(new Input.Reply(c.id(), Outcome.REFUSED, 0, null));
      return;
    }
    if (callers.size() > MOST_IDLE) {
      callers.values().removeIf(HttpCaller::unused);
    }
    caller.call(c, reply);
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
