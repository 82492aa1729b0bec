package org.snowturn.core.effects;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.snowturn.core.Effect;
import org.snowturn.core.Effect.Severity;

/**
 * Structured lines of the log: {@code event=NAME}, the time of day in milliseconds, and then {@code
 * key=value} fields, whose names stay the same. Lines for single tasks and messages are made only
 * where debugging is on, and cost nothing otherwise.
 */
public final class EventLog {
  private static final String AT_MS = "at_ms";

  private final Consumer<Effect> out;
  private final LongSupplier wallMs;
  private boolean debug;

  EventLog(Consumer<Effect> out, LongSupplier wallMs) {
    this.out = out;
    this.wallMs = wallMs;
  }

  /** Whether lines for single tasks and messages are written from now on. */
  public void debug(boolean on) {
    debug = on;
  }

  /** Whether lines for single tasks and messages are written. */
  public boolean debug() {
    return debug;
  }

  /** Begins a line about something rare. */
  public Line info(LogEvent event) {
    return new Line(Severity.INFO, event);
  }

  /** Begins a line about a violated invariant. */
  public Line error(LogEvent event) {
    return new Line(Severity.ERROR, event);
  }

  /** Begins a line about a single task or message; ask {@link #debug()} first. */
  public Line debug(LogEvent event) {
    return new Line(Severity.DEBUG, event);
  }

  /** One line that is being put together. */
  public final class Line {
    private final Severity severity;
    private final StringBuilder text;

    private Line(Severity severity, LogEvent event) {
      this.severity = severity;
      this.text = new StringBuilder("event=").append(event.text());
      field(AT_MS).append(wallMs.getAsLong());
    }

    /** Adds a field; a text with spaces is put in quotes. */
    public Line with(LogField field, String value) {
      boolean quoted = value != null && value.indexOf(' ') >= 0;
      field(field.text());
      if (quoted) {
        text.append('"').append(value.replace('"', '\'')).append('"');
      } else {
        text.append(value);
      }
      return this;
    }

    /** Adds a field. */
    public Line with(LogField field, long value) {
      field(field.text()).append(value);
      return this;
    }

    /** Adds a field. */
    public Line with(LogField field, boolean value) {
      field(field.text()).append(value);
      return this;
    }

    /** Adds a field. */
    public Line with(LogField field, double value) {
      field(field.text()).append(String.format(Locale.ROOT, "%.2f", value));
      return this;
    }

    private StringBuilder field(String name) {
      return text.append(' ').append(name).append('=');
    }

    /** Writes the line. */
    public void write() {
      out.accept(new Effect.Event(severity, text.toString()));
    }
  }
}
