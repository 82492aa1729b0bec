package org.snowturn.core.calls;

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
  public Line info(String event) {
    return new Line(Severity.INFO, event);
  }

  /** Begins a line about a violated invariant. */
  public Line error(String event) {
    return new Line(Severity.ERROR, event);
  }

  /** Begins a line about a single task or message; ask {@link #debug()} first. */
  public Line debug(String event) {
    return new Line(Severity.DEBUG, event);
  }

  /** One line that is being put together. */
  public final class Line {
    private final Severity severity;
    private final StringBuilder text;

    private Line(Severity severity, String event) {
      this.severity = severity;
      this.text = new StringBuilder("event=").append(event);
      with("at_ms", wallMs.getAsLong());
    }

    /** Adds a field; a text with spaces is put in quotes. */
    public Line with(String key, String value) {
      boolean quoted = value != null && value.indexOf(' ') >= 0;
      text.append(' ').append(key).append('=');
      if (quoted) {
        text.append('"').append(value.replace('"', '\'')).append('"');
      } else {
        text.append(value);
      }
      return this;
    }

    /** Adds a field. */
    public Line with(String key, long value) {
      text.append(' ').append(key).append('=').append(value);
      return this;
    }

    /** Adds a field. */
    public Line with(String key, boolean value) {
      text.append(' ').append(key).append('=').append(value);
      return this;
    }

    /** Writes the line. */
    public void write() {
      out.accept(new Effect.Event(severity, text.toString()));
    }
  }
}
