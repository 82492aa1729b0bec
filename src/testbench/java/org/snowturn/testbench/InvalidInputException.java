package org.snowturn.testbench;

/** A plan or a file that the caller got wrong; the message is one line. */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
