package org.snowturn.lab;

/** A plan or a file that the caller got wrong; the message is one line. */
final class BadPlanException extends Exception {
  private static final long serialVersionUID = 1;

  BadPlanException(String message) {
    super(message);
  }
}
