package org.snowturn.cloud;

import java.util.function.Consumer;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.net.HttpCaller;

/** A client of the cloud API. The core decides which calls the request rate is spent on. */
public final class CloudClient {
  private final HttpCaller caller;

  /** Creates a client that sends its calls through the given caller. */
  public CloudClient(HttpCaller caller) {
    this.caller = caller;
  }

  /** Sends the call and passes its reply to {@code onReply}. */
  public void call(Effect.Call call, Consumer<Input> onReply) {
    caller.call(call, onReply);
  }
}
