package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/** A job's state as users see it. */
public record JobStatus(String id, Phase phase, int done, int running) {
  /** Phases in the words of the user protocol. */
  public enum Phase {
    QUEUED,
    RUNNING,
    DONE,
    ABORTED;

    /** Whether the phase can never change again. */
    public boolean isTerminal() {
      return this == DONE || this == ABORTED;
    }

    /** The word on the wire. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** The answer to a submission or a cancellation. */
  public ObjectNode toSummaryJson() {
    return Json.object().put("id", id).put("phase", phase.wireName());
  }

  /** The answer to a poll. */
  public ObjectNode toJson() {
    return toSummaryJson().put("done", done).put("running", running);
  }
}
