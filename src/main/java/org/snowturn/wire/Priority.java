package org.snowturn.wire;

import java.util.Locale;

/** Priority of a job, from the highest to the lowest. */
public enum Priority {
  PRODUCTION(0),
  HIGH(1),
  NORMAL(2),
  LOW(3);

  private final int level;

  Priority(int level) {
    this.level = level;
  }

  /** Returns the level: 0 for the highest priority, and one more for each lower one. */
  public int level() {
    return level;
  }

  static Priority parse(String text) throws MalformedException {
    for (Priority priority : values()) {
      if (priority.wireName().equals(text)) {
        return priority;
      }
    }
    throw new MalformedException("rank: unknown priority");
  }

  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
