package org.snowturn.core.recovery;

import java.util.Arrays;
import java.util.Locale;

/** Recovery phases of one term with the times at which they began. Phases only advance. */
public final class RecoveryProgress {
  private static final long NOT_ENTERED = -1;

  private final long termBeganAt;
  private final long[] phaseBeganAt = new long[RecoveryPhase.values().length];
  private RecoveryPhase currentPhase = RecoveryPhase.WON;

  /**
   * Creates the progress of a term that begins now, in {@link RecoveryPhase#WON}.
   *
   * @param nowMs present time of the monotonic clock, in milliseconds
   */
  public RecoveryProgress(long nowMs) {
    termBeganAt = nowMs;
    Arrays.fill(phaseBeganAt, NOT_ENTERED);
    phaseBeganAt[RecoveryPhase.WON.number()] = nowMs;
  }

  /** Returns the current phase. */
  public RecoveryPhase phase() {
    return currentPhase;
  }

  /** Returns whether the phase has begun or was skipped for a later one. */
  public boolean hasReached(RecoveryPhase phase) {
    return currentPhase.compareTo(phase) >= 0;
  }

  /**
   * Enters a phase if it is later than the current one.
   *
   * @param phase the phase to enter
   * @param nowMs present time of the monotonic clock, in milliseconds
   * @return whether the phase was entered
   */
  public boolean enter(RecoveryPhase phase, long nowMs) {
    if (hasReached(phase)) {
      return false;
    }
    currentPhase = phase;
    phaseBeganAt[phase.number()] = nowMs;
    return true;
  }

  /**
   * Returns the time from the beginning of the term to that of the phase, in milliseconds; -1 if
   * the phase was not entered.
   */
  public long sinceTermBeganMs(RecoveryPhase phase) {
    long beganAt = phaseBeganAt[phase.number()];
    return beganAt == NOT_ENTERED ? NOT_ENTERED : beganAt - termBeganAt;
  }

  /** Returns the phases entered so far for the log, such as "won 0 ms, reading 2 ms". */
  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (RecoveryPhase phase : RecoveryPhase.values()) {
      if (sinceTermBeganMs(phase) != NOT_ENTERED) {
        String name = phase.name().toLowerCase(Locale.ROOT);
        out.append(out.length() == 0 ? "" : ", ")
            .append(name)
            .append(' ')
            .append(sinceTermBeganMs(phase));
        out.append(" ms");
      }
    }
    return out.toString();
  }
}
