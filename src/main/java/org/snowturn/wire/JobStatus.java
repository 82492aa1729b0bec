package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * Status of a job as shown to users.
 *
 * @param id id of the job
 * @param done number of tasks that are done
 * @param running number of tasks that are running
 */
public record JobStatus(String id, Phase phase, int done, int running) {
  /** Phase of a job, named as in the user protocol. */
  public enum Phase {
    QUEUED,
    RUNNING,
    DONE,
    ABORTED;

    /** Returns whether the phase is final. */
    public boolean isTerminal() {
      return this == DONE || this == ABORTED;
    }

    /** Returns the name of the phase in the user protocol and in stored jobs. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Returns the response body for a submission or a cancellation: id and phase. */
  public ObjectNode toSummaryJson() {
    return Json.object().put("id", id).put("phase", phase.wireName());
  }

  /** Returns the response body for a status request: all fields. */
  public ObjectNode toJson() {
    return toSummaryJson().put("done", done).put("running", running);
  }
}
