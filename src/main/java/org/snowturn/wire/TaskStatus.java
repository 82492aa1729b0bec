package org.snowturn.wire;

/** One task in a worker's report. */
public record TaskStatus(String job, int task, long attempt, State state, ExitReason exitReason) {
  /** Where the task stands on its machine. */
  public enum State {
    FETCHING,
    RUNNING,
    SAVING,
    ENDED
  }

  /** Why a task ended. */
  public enum ExitReason {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_JOB,
    OTHER
  }
}
