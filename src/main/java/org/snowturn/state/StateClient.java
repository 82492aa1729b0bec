package org.snowturn.state;

import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.net.HttpCaller;

/**
 * A client of the state service. The core decides which requests are made. Watches, and the
 * requests that this node's authority depends on, have connections of their own, so that they never
 * wait for other requests. Has to be used on the I/O thread of its callers.
 */
public final class StateClient {
  private final HttpCaller requests;
  private final HttpCaller watches;
  private final HttpCaller authority;

  /**
   * Creates a client that sends its calls through three callers.
   *
   * @param requests caller for all other requests
   * @param watches caller for watches, which occupy a connection for long
   * @param authority caller for the requests that this node's authority depends on
   */
  public StateClient(HttpCaller requests, HttpCaller watches, HttpCaller authority) {
    this.authority = authority;
    this.requests = requests;
    this.watches = watches;
  }

  /** Sends the call and passes its reply to {@code onReply}. */
  public void call(Effect.Call call, Consumer<Input> onReply) {
    HttpCaller caller =
        switch (call.target()) {
          case AUTHORITY -> authority;
          case STATE_WATCH -> watches;
          default -> requests;
        };
    caller.call(call, onReply);
  }
}
