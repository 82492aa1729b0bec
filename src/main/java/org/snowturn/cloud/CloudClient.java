package org.snowturn.cloud;

import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.net.HttpCaller;

/** The client of the cloud; the core spends the request rate where it matters most. */
public final class CloudClient {
  private final HttpCaller caller;

  /** Uses one caller. */
  public CloudClient(HttpCaller caller) {
    this.caller = caller;
  }

  /** Makes the call and hands in its reply. */
  public void call(Effect.Call call, Consumer<Input> reply) {
    caller.call(call, reply);
  }
}
