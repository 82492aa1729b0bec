package org.snowturn.core;

/** What is known of a request to the outside. */
public enum Outcome {
  /** Executed; the status and body say how. */
  ANSWERED,
  /** Certainly not executed. */
  REFUSED,
  /** No usable reply: it may have been executed, or may be later. */
  UNKNOWN;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** Whether the request was executed and, by the HTTP status of its reply, succeeded. */
  public boolean isSuccess(int status) {
    return this == ANSWERED && status == OK;
  }

  /** Whether the request was executed and what it names does not exist. */
  public boolean isNotFound(int status) {
    return this == ANSWERED && status == NOT_FOUND;
  }

  /** Whether the request was executed and changed nothing, since a condition did not hold. */
  public boolean isConflict(int status) {
    return this == ANSWERED && status == CONFLICT;
  }
}
