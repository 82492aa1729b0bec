package org.snowturn.core.recovery;

import java.util.Arrays;
import java.util.Locale;

/** The phases of one term with the times at which they began; phases only go forward. */
public final class RecoveryProgress {
  private static final long NOT_YET = -1;

  private final long wonAt;
  private final long[] began = new long[RecoveryPhase.values().length];
  private RecoveryPhase now = RecoveryPhase.WON;

  /**
   * A term that has just been won.
   *
   * @param nowMs the steady time in milliseconds, as in all of the core
   */
  public RecoveryProgress(long nowMs) {
    wonAt = nowMs;
    Arrays.fill(began, NOT_YET);
    began[RecoveryPhase.WON.number()] = nowMs;
  }

  /** The present phase. */
  public RecoveryPhase now() {
    return now;
  }

  /** Whether this phase has begun. */
  public boolean reached(RecoveryPhase phase) {
    return now.compareTo(phase) >= 0;
  }

  /** Begins a phase if it is a later one; tells whether it did. */
  public boolean enter(RecoveryPhase phase, long nowMs) {
    if (reached(phase)) {
      return false;
    }
    now = phase;
    began[phase.number()] = nowMs;
    return true;
  }

  /** How long after the term was won the phase began, in milliseconds; -1 if it was not seen. */
  public long afterMs(RecoveryPhase phase) {
    long at = began[phase.number()];
    return at == NOT_YET ? NOT_YET : at - wonAt;
  }

  /** The phases so far for the log, such as "won 0 ms, reading 2 ms". */
  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (RecoveryPhase phase : RecoveryPhase.values()) {
      if (afterMs(phase) != NOT_YET) {
        String name = phase.name().toLowerCase(Locale.ROOT);
        out.append(out.length() == 0 ? "" : ", ").append(name).append(' ').append(afterMs(phase));
        out.append(" ms");
      }
    }
    return out.toString();
  }
}
