package org.snowturn.testbench;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * What goes wrong in a scale run.
 *
 * @param kind what kind of thing
 * @param workers how many workers, if they are what fails
 */
record Failure(Kind kind, int workers) {
  /** Kinds of failure. */
  enum Kind {
    NONE,
    /** The leading controller's process ends and is started again. */
    LEADER,
    /** A zone's machines and its controller are gone for good. */
    ZONE,
    /** All controllers of a region end; its state service is out for a while. */
    REGION,
    /** Some machines end at once. */
    WORKERS
  }

  static final Failure NONE = new Failure(Kind.NONE, 0);
  private static final String WORKERS = "workers=";

  /** Reads {@code leader}, {@code zone}, {@code region}, {@code workers=P} or {@code none}. */
  static final class Converter implements ITypeConverter<Failure> {
    @Override
    public Failure convert(String text) {
      return switch (text) {
        case "none" -> NONE;
        case "leader" -> new Failure(Kind.LEADER, 0);
        case "zone" -> new Failure(Kind.ZONE, 0);
        case "region" -> new Failure(Kind.REGION, 0);
        default -> workers(text);
      };
    }

    private static Failure workers(String text) {
      if (!text.matches(WORKERS + "[1-9][0-9]{0,5}")) {
        throw new TypeConversionException("leader, zone, region or workers=COUNT expected");
      }
      return new Failure(Kind.WORKERS, Integer.parseInt(text.substring(WORKERS.length())));
    }
  }

  @Override
  public String toString() {
    return kind == Kind.WORKERS
        ? WORKERS + workers
        : kind.name().toLowerCase(java.util.Locale.ROOT);
  }
}
