package org.snowturn.testbench;

/**
 * Thrown if an option, a plan or an input file is invalid. The message is one line that names the
 * option or the file.
 */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates an exception with a message for the user of the command. */
  InvalidInputException(String message) {
    super(message);
  }
}
