package org.snowturn.core.assignment;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.storage.LruMap;

/**
 * Invariants that hold for every input. An attempted violation indicates a bug in this program: the
 * caller rejects the operation, and the violation is counted and logged once per attempt. The
 * process keeps running.
 */
final class Invariants {
  /** An invariant. Its name is written to logs and metrics, and is therefore stable. */
  enum Invariant {
    /** A task is queued again only after its attempt has provably ended. */
    END_IS_PROVEN,
    /** A start is sent only for an attempt placed on that machine in its current agent epoch. */
    START_IS_PLACED
  }

  /** Maximum number of attempts remembered as logged. */
  private static final int MAX_LOGGED_ATTEMPTS = 1_000;

  private final CoreRuntime runtime;
  private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
  private final Map<String, Boolean> logged = new LruMap<>(MAX_LOGGED_ATTEMPTS);

  Invariants(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /**
   * Counts an operation that was rejected because it would have violated an invariant.
   *
   * @param subject the attempt that the operation concerns; logged once for each invariant
   * @param evidence the evidence offered for the operation, and why it is insufficient
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

  /** Returns the number of violations of each invariant, by metric name. */
  Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    for (Invariant invariant : Invariant.values()) {
      String name =
          "snowturn.invariants.violated." + invariant.name().toLowerCase(java.util.Locale.ROOT);
      gauges.put(name, (double) violations.getOrDefault(invariant, 0L));
    }
    return gauges;
  }
}
