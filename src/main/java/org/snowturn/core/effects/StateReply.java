package org.snowturn.core.effects;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.Outcome;
import org.snowturn.wire.StateMessage;

/**
 * The result of one call to the state service.
 *
 * @param outcome whether the service has answered, and if not, whether it may have executed the
 *     call
 * @param status the HTTP status; only meaningful if it has answered
 * @param body the answer's body; may be null
 */
public record StateReply(Outcome outcome, int status, JsonNode body) {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** Whether the call was executed and succeeded. */
  public boolean isOk() {
    return answered(OK);
  }

  /** Whether the key that was read does not exist. */
  public boolean isNotFound() {
    return answered(NOT_FOUND);
  }

  /** Whether the service will never accept the call in this form. */
  public boolean isRejected() {
    return answered(BAD_REQUEST);
  }

  /** Whether the call was certainly not executed, and may be made again. */
  public boolean isNotExecuted() {
    return outcome == Outcome.REFUSED;
  }

  /**
   * The keys whose conditions failed, and with them the transaction. Empty if it did not fail for
   * its conditions.
   */
  public List<String> failedKeys() {
    return answered(CONFLICT) ? StateMessage.failedKeys(body) : List.of();
  }

  private boolean answered(int expected) {
    return outcome == Outcome.ANSWERED && status == expected;
  }
}
