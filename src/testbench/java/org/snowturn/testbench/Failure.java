package org.snowturn.testbench;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * The failure injected into a scale run.
 *
 * @param kind kind of failure
 * @param workers number of workers that fail; 0 for other kinds than {@code WORKERS}
 */
record Failure(Kind kind, int workers) {
  /** Kinds of failure. */
  enum Kind {
    /** Nothing fails. */
    NONE,
    /** The leader's process is killed and started again. */
    LEADER,
    /** A zone's machines and controllers fail and do not come back. */
    ZONE,
    /**
     * All controllers of a region are killed and restarted during an outage of its state service.
     */
    REGION,
    /** The given number of machines fail at the same moment. */
    WORKERS
  }

  /** The absence of a failure. */
  static final Failure NONE = new Failure(Kind.NONE, 0);

  private static final String WORKERS_PREFIX = "workers=";

  /**
   * Converts {@code leader}, {@code zone}, {@code region}, {@code workers=COUNT} or {@code none} to
   * a failure.
   */
  static final class Converter implements ITypeConverter<Failure> {
    @Override
    public Failure convert(String text) {
      return switch (text) {
        case "none" -> NONE;
        case "leader" -> new Failure(Kind.LEADER, 0);
        case "zone" -> new Failure(Kind.ZONE, 0);
        case "region" -> new Failure(Kind.REGION, 0);
        default -> parseWorkers(text);
      };
    }

    private static Failure parseWorkers(String text) {
      if (!text.matches(WORKERS_PREFIX + "[1-9][0-9]{0,5}")) {
        throw new TypeConversionException(
            "none, leader, zone, region or workers=COUNT expected, not " + text);
      }
      return new Failure(Kind.WORKERS, Integer.parseInt(text.substring(WORKERS_PREFIX.length())));
    }
  }

  /** Returns the text that {@link Converter} converts to this failure. */
  @Override
  public String toString() {
    return kind == Kind.WORKERS
        ? WORKERS_PREFIX + workers
        : kind.name().toLowerCase(java.util.Locale.ROOT);
  }
}
