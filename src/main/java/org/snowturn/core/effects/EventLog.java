package org.snowturn.core.effects;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.snowturn.core.Effect;
import org.snowturn.core.Effect.Severity;

/**
 * The structured log of the core. Each line has {@code event=NAME}, the time of day in milliseconds
 * and {@code key=value} fields. The names of events and fields are stable between versions. Debug
 * lines, which concern single tasks and messages, are built only if debug logging is enabled, so
 * that they cost nothing otherwise.
 */
public final class EventLog {
  private static final String AT_MS = "at_ms";

  private final Consumer<Effect> out;
  private final LongSupplier wallMs;
  private boolean isDebugEnabled;

  EventLog(Consumer<Effect> out, LongSupplier wallMs) {
    this.out = out;
    this.wallMs = wallMs;
  }

  /** Enables or disables debug lines. */
  public void setDebugEnabled(boolean isEnabled) {
    isDebugEnabled = isEnabled;
  }

  /** Returns whether debug lines are enabled. */
  public boolean isDebugEnabled() {
    return isDebugEnabled;
  }

  /** Creates a line about an infrequent event. */
  public Line info(LogEvent event) {
    return new Line(Severity.INFO, event);
  }

  /** Creates a line about a violated invariant. */
  public Line error(LogEvent event) {
    return new Line(Severity.ERROR, event);
  }

  /**
   * Creates a line about a single task or message. Callers check {@link #isDebugEnabled()} first,
   * since this method does not.
   */
  public Line debug(LogEvent event) {
    return new Line(Severity.DEBUG, event);
  }

  /**
   * Writes a line about a stored record or a reply that cannot be parsed.
   *
   * @param event {@link LogEvent#RECORD_UNREADABLE} or {@link LogEvent#REPLY_MALFORMED}
   * @param subject the field that names the record or the request
   * @param name the name of the record or the request
   * @param error the error of the parser
   */
  public void unreadable(LogEvent event, LogField subject, String name, Exception error) {
    info(event).with(subject, name).with(LogField.ERROR, error.getMessage()).write();
  }

  /** A line under construction. */
  public final class Line {
    private final Severity severity;
    private final StringBuilder text;

    private Line(Severity severity, LogEvent event) {
      this.severity = severity;
      this.text = new StringBuilder("event=").append(event.text());
      appendName(AT_MS).append(wallMs.getAsLong());
    }

    /** Adds a text field. A value with spaces is put in quotes. */
    public Line with(LogField field, String value) {
      boolean isQuoted = value != null && value.indexOf(' ') >= 0;
      appendName(field.text());
      if (isQuoted) {
        text.append('"').append(value.replace('"', '\'')).append('"');
      } else {
        text.append(value);
      }
      return this;
    }

    /** Adds an integer field. */
    public Line with(LogField field, long value) {
      appendName(field.text()).append(value);
      return this;
    }

    /** Adds a boolean field. */
    public Line with(LogField field, boolean value) {
      appendName(field.text()).append(value);
      return this;
    }

    /** Adds a decimal field, rounded to two places. */
    public Line with(LogField field, double value) {
      appendName(field.text()).append(String.format(Locale.ROOT, "%.2f", value));
      return this;
    }

    private StringBuilder appendName(String name) {
      return text.append(' ').append(name).append('=');
    }

    /** Writes the line. */
    public void write() {
      out.accept(new Effect.Event(severity, text.toString()));
    }
  }
}
