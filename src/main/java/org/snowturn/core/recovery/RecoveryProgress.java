package org.snowturn.core.recovery;

import java.util.Arrays;
import java.util.Locale;

/** The phases of one term with the times at which they began; phases only go forward. */
public final class RecoveryProgress {
  private static final long NOT_ENTERED = -1;

  private final long wonAt;
  private final long[] phaseBeganAt = new long[RecoveryPhase.values().length];
  private RecoveryPhase currentPhase = RecoveryPhase.WON;

  /**
   * A term that has just been won.
   *
   * @param nowMs the steady time in milliseconds, as in all of the core
   */
  public RecoveryProgress(long nowMs) {
    wonAt = nowMs;
    Arrays.fill(phaseBeganAt, NOT_ENTERED);
    phaseBeganAt[RecoveryPhase.WON.number()] = nowMs;
  }

  /** The present phase. */
  public RecoveryPhase phase() {
    return currentPhase;
  }

  /** Whether this phase has begun. */
  public boolean hasReached(RecoveryPhase phase) {
    return currentPhase.compareTo(phase) >= 0;
  }

  /** Begins a phase if it is a later one; tells whether it did. */
  public boolean enter(RecoveryPhase phase, long nowMs) {
    if (hasReached(phase)) {
      return false;
    }
    currentPhase = phase;
    phaseBeganAt[phase.number()] = nowMs;
    return true;
  }

  /** How long after the term was won the phase began, in milliseconds; -1 if it was not seen. */
  public long sinceWonMs(RecoveryPhase phase) {
    long beganAt = phaseBeganAt[phase.number()];
    return beganAt == NOT_ENTERED ? NOT_ENTERED : beganAt - wonAt;
  }

  /** The phases so far for the log, such as "won 0 ms, reading 2 ms". */
  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (RecoveryPhase phase : RecoveryPhase.values()) {
      if (sinceWonMs(phase) != NOT_ENTERED) {
        String name = phase.name().toLowerCase(Locale.ROOT);
        out.append(out.length() == 0 ? "" : ", ")
            .append(name)
            .append(' ')
            .append(sinceWonMs(phase));
        out.append(" ms");
      }
    }
    return out.toString();
  }
}
