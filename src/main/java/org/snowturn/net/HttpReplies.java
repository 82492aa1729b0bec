package org.snowturn.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.wire.Json;

/** Turns HTTP replies into inputs; an unusable reply counts as none. */
public final class HttpReplies {
  private static final Logger LOG = LoggerFactory.getLogger(HttpReplies.class);

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERRORS = 500;
  private static final int UNAVAILABLE = 503;
  private static final long MS_PER_S = 1000;

  private HttpReplies() {}

  /** The input for one reply. */
  public static Input.Reply toReply(
      Effect.Call call, Outcome outcome, int status, byte[] bytes, int retryAfterS) {
    if (outcome != Outcome.ANSWERED) {
      return new Input.Reply(call.id(), outcome, 0, null);
    }
    JsonNode body = null;
    if (bytes != null && bytes.length > 0) {
      try {
        body = Json.parse(bytes);
      } catch (IOException e) {
        LOG.warn("event=reply_malformed method={} path={}", call.method(), call.path());
        return new Input.Reply(call.id(), Outcome.UNKNOWN, 0, null);
      }
    }
    boolean worker = call.target() == Effect.Target.WORKER;
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
      Outcome what = worker ? Outcome.UNKNOWN : Outcome.REFUSED;
      return new Input.Reply(call.id(), what, status, body, retryAfterS * MS_PER_S);
    }
    if (status >= SERVER_ERRORS) {
      return new Input.Reply(call.id(), Outcome.UNKNOWN, status, body);
    }
    return new Input.Reply(call.id(), Outcome.ANSWERED, status, body);
  }
}
