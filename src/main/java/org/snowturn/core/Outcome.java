package org.snowturn.core;

/** The outcome of a request to another service, as far as this node can tell. */
public enum Outcome {
  /** The service executed the request; the reply's status and body tell the result. */
  ANSWERED,
  /** The request was refused: it has not been executed and will not be. */
  REFUSED,
  /** No usable reply arrived; the request may have been executed, or may still be later. */
  UNKNOWN;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** Returns whether the request was executed and its reply has the HTTP status 200. */
  public boolean isSuccess(int status) {
    return this == ANSWERED && status == OK;
  }

  /** Returns whether the request was executed and its target does not exist. */
  public boolean isNotFound(int status) {
    return this == ANSWERED && status == NOT_FOUND;
  }

  /** Returns whether the request was executed and changed nothing because a condition failed. */
  public boolean isConflict(int status) {
    return this == ANSWERED && status == CONFLICT;
  }
}
