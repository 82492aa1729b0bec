package org.snowturn.config;

/** Settings that cannot be used; the message is one line that names the field. */
public final class SettingsException extends Exception {
  /** Says what is wrong. */
  public SettingsException(String message) {
    super(message);
  }
}
