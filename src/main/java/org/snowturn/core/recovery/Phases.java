package org.snowturn.core.recovery;

import java.util.Arrays;
import java.util.Locale;

/** The phases of one term with the times at which they began; phases only go forward. */
public final class Phases {
  private static final long NOT_YET = -1;

  private final long wonAt;
  private final long[] began = new long[Phase.values().length];
  private Phase now = Phase.WON;

  /**
   * A term that has just been won.
   *
   * @param nowMs the steady time in milliseconds, as in all of the core
   */
  public Phases(long nowMs) {
    wonAt = nowMs;
    Arrays.fill(began, NOT_YET);
    began[Phase.WON.ordinal()] = nowMs;
  }

  /** The present phase. */
  public Phase now() {
    return now;
  }

  /** Whether this phase has begun. */
  public boolean reached(Phase p) {
    return now.compareTo(p) >= 0;
  }

  /** Begins a phase if it is a later one; tells whether it did. */
  public boolean enter(Phase p, long nowMs) {
    if (reached(p)) {
      return false;
    }
    now = p;
    began[p.ordinal()] = nowMs;
    return true;
  }

  /** How long after the term was won the phase began, in milliseconds; -1 if it was not seen. */
  public long afterMs(Phase p) {
    long at = began[p.ordinal()];
    return at == NOT_YET ? NOT_YET : at - wonAt;
  }

  /** The phases so far for the log, such as "won 0 ms, reading 2 ms". */
  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (Phase p : Phase.values()) {
      if (afterMs(p) != NOT_YET) {
        String name = p.name().toLowerCase(Locale.ROOT);
        out.append(out.length() == 0 ? "" : ", ").append(name).append(' ').append(afterMs(p));
        out.append(" ms");
      }
    }
    return out.toString();
  }
}
