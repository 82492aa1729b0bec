package org.snowturn.wire;

/** A message that does not have the form its protocol asks for. */
public final class MalformedException extends Exception {
  /** Says what is wrong, naming the field. */
  public MalformedException(String message) {
    super(message);
  }
}
