package org.snowturn.wire;

import java.util.Locale;

/** Job priorities, most urgent first. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  static Priority parse(String text) throws MalformedException {
    for (Priority priority : values()) {
      if (priority.wire().equals(text)) {
        return priority;
      }
    }
    throw new MalformedException("rank: unknown priority");
  }

  String wire() {
    return name().toLowerCase(Locale.ROOT);
  }
}
