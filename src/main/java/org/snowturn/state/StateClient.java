package org.snowturn.state;

import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.net.HttpCaller;

/**
 * The client of the state service. What this node may ask is decided in the core; here, what its
 * authority rests on has connections of its own, whatever else is under way. Belongs to the I/O
 * thread of its callers.
 */
public final class StateClient {
  private final HttpCaller caller;
  private final HttpCaller watches;
  private final HttpCaller authority;

  /** Uses three callers, so that neither watches nor bulk work keep the others waiting. */
  public StateClient(HttpCaller caller, HttpCaller watches, HttpCaller authority) {
    this.authority = authority;
    this.caller = caller;
    this.watches = watches;
  }

  /** Makes the call and hands in its reply. */
  public void call(Effect.Call call, Consumer<Input> reply) {
    HttpCaller via =
        switch (call.target()) {
          case AUTHORITY -> authority;
          case STATE_WATCH -> watches;
          default -> caller;
        };
    via.call(call, reply);
  }
}
