package org.snowturn.wire;

/** One task in a worker's report. */
public record TaskReport(String job, int task, long attempt, State state, Why why) {
  /** Where the task stands on its machine. */
  public enum State {
    FETCHING,
    RUNNING,
    SAVING,
    ENDED
  }

  /** Why a task ended. */
  public enum Why {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_JOB,
    OTHER
  }
}
