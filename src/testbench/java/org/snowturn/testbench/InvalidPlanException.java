package org.snowturn.testbench;

/** A plan or a file that the caller got wrong; the message is one line. */
final class InvalidPlanException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidPlanException(String message) {
    super(message);
  }
}
