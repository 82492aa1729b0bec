package org.snowturn.simulation;

/**
 * Signals a malformed scenario; the message has the file, the line number, the error and the line.
 */
final class ScenarioFormatException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for an error in a line. */
  ScenarioFormatException(ScenarioLine line, String problem) {
    super(line.location() + ": " + problem + ": " + line.text());
  }

  /** Creates an exception for an error in a line, with the exception that revealed it. */
  ScenarioFormatException(ScenarioLine line, String problem, RuntimeException cause) {
    super(line.location() + ": " + problem + ": " + line.text(), cause);
  }
}
