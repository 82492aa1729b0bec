package org.snowturn.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.wire.Json;

/**
 * Converts the results of HTTP calls into inputs of the core. A response that cannot be used, such
 * as a malformed body or a server error, is treated like a missing one: {@link Outcome#UNKNOWN}.
 * The statuses 429 and 503 mean {@link Outcome#REFUSED}, but from a worker {@link Outcome#UNKNOWN}.
 */
public final class HttpReplies {
  private static final Logger LOG = LoggerFactory.getLogger(HttpReplies.class);

  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final long MS_PER_S = 1000;

  private HttpReplies() {}

  /**
   * Returns the input for the result of one call.
   *
   * @param status HTTP status, ignored unless the outcome is {@link Outcome#ANSWERED}
   * @param bytes response body, or null for none
   * @param retryAfterS value of the Retry-After header in seconds, or 0 for none
   */
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
    boolean isWorker = call.target() == Effect.Target.WORKER;
    if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE) {
      Outcome rejectionOutcome = isWorker ? Outcome.UNKNOWN : Outcome.REFUSED;
      return new Input.Reply(call.id(), rejectionOutcome, status, body, retryAfterS * MS_PER_S);
    }
    if (status >= MIN_SERVER_ERROR_STATUS) {
      return new Input.Reply(call.id(), Outcome.UNKNOWN, status, body);
    }
    return new Input.Reply(call.id(), Outcome.ANSWERED, status, body);
  }
}
