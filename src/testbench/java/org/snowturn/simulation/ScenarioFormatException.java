package org.snowturn.simulation;

/** A scenario that cannot be read; the message names the file, the line and what is wrong. */
final class ScenarioFormatException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  ScenarioFormatException(ScenarioLine line, String problem) {
    super(line.location() + ": " + problem + ": " + line.text());
  }

  ScenarioFormatException(ScenarioLine line, String problem, RuntimeException cause) {
    super(line.location() + ": " + problem + ": " + line.text(), cause);
  }
}
