package org.snowturn.config;

/**
 * Thrown for settings that cannot be read or are invalid. The message is one line that names the
 * file and, where possible, the line and the field.
 */
public final class SettingsException extends Exception {
  /** Creates an exception with a one-line message for the operator. */
  public SettingsException(String message) {
    super(message);
  }
}
