package org.snowturn.simulation;

/**
 * Signals a malformed scenario; the message has the file, the line number, the error and the line.
 */
final class ScenarioFormatException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  ScenarioFormatException(ScenarioLine line, String problem) {
    super(line.location() + ": " + problem + ": " + line.text());
  }

  ScenarioFormatException(ScenarioLine line, String problem, RuntimeException cause) {
    super(line.location() + ": " + problem + ": " + line.text(), cause);
  }
}
