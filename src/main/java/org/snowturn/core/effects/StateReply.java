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
 * @param status the HTTP status; only meaningful if the service has answered
 * @param body the body of the answer; may be null
 */
public record StateReply(Outcome outcome, int status, JsonNode body) {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** Returns whether the call was executed and succeeded. */
  public boolean isOk() {
    return hasStatus(OK);
  }

  /** Returns whether the key that was read does not exist. */
  public boolean isNotFound() {
    return hasStatus(NOT_FOUND);
  }

  /** Returns whether the service will never accept the call in this form. */
  public boolean isRejected() {
    return hasStatus(BAD_REQUEST);
  }

  /**
   * Returns whether the call was refused: it was certainly not executed, and so may be repeated.
   */
  public boolean isRefused() {
    return outcome == Outcome.REFUSED;
  }

  /**
   * Returns the keys whose failed conditions made the transaction fail. The list is empty if the
   * transaction succeeded or failed for another reason.
   */
  public List<String> failedKeys() {
    return hasStatus(CONFLICT) ? StateMessage.failedKeys(body) : List.of();
  }

  private boolean hasStatus(int expected) {
    return outcome == Outcome.ANSWERED && status == expected;
  }
}
