package org.snowturn.wire;

/** Thrown for a message or a stored record that does not have the required format. */
public final class MalformedException extends Exception {
  /** Creates an exception whose message names the field and the problem. */
  public MalformedException(String message) {
    super(message);
  }
}
