package org.snowturn.core.act;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.records.LruMap;

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

  private final Calls calls;
  private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
  private final Map<String, Boolean> logged = new LruMap<>(REMEMBERED);

  Invariants(Calls calls) {
    this.calls = calls;
  }

  /**
   * Counts what was refused since it would have broken an invariant.
   *
   * @param subject which attempt it is about; its violation is logged once
   * @param evidence what the decision was to rest on, and why it does not hold
   */
  void violated(Invariant invariant, String subject, String evidence) {
    violations.merge(invariant, 1L, Long::sum);
    if (logged.put(invariant + subject, true) == null) {
      calls
          .events()
          .error("invariant_violated")
          .with("invariant", invariant.name())
          .with("attempt", subject)
          .with("evidence", evidence)
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
