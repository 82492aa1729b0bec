package org.snowturn.core.assignment;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.storage.LruMap;

/**
 * What must hold whatever comes in. A violation is a fault of this program: what would break the
 * invariant is not done, the evidence is logged once, and it is counted. It never ends the process.
 */
final class Invariants {
  /** The invariants, under names that stay the same in logs and metrics. */
  enum Invariant {
    /** A task waits again only when its attempt has ended for certain. */
    END_IS_PROVEN,
    /** A start leaves only for an attempt that is placed on that machine in that session. */
    START_IS_PLACED
  }

  private static final int REMEMBERED = 1_000;

  private final CoreRuntime runtime;
  private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
  private final Map<String, Boolean> logged = new LruMap<>(REMEMBERED);

  Invariants(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /**
   * Counts what was refused since it would have broken an invariant.
   *
   * @param subject which attempt it is about; its violation is logged once
   * @param evidence what the decision was to rest on, and why it does not hold
   */
  void recordViolation(Invariant invariant, String subject, String evidence) {
    violations.merge(invariant, 1L, Long::sum);
    if (logged.put(invariant + subject, true) == null) {
      runtime
          .events()
          .error(LogEvent.INVARIANT_VIOLATED)
          .with(LogField.INVARIANT, invariant.name())
          .with(LogField.ATTEMPT, subject)
          .with(LogField.EVIDENCE, evidence)
          .write();
    }
  }

  /** How often each was violated. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    for (Invariant i : Invariant.values()) {
      String name = "snowturn.invariants.violated." + i.name().toLowerCase(java.util.Locale.ROOT);
      gauges.put(name, (double) violations.getOrDefault(i, 0L));
    }
    return gauges;
  }
}
