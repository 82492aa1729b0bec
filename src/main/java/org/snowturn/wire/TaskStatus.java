package org.snowturn.wire;

/**
 * Status of one attempt of a task in a worker's heartbeat.
 *
 * @param job id of the job
 * @param task index of the task within its job
 * @param attempt number of the attempt
 * @param exitReason reason for the end of the attempt; null unless it has ended
 */
public record TaskStatus(String job, int task, long attempt, State state, ExitReason exitReason) {
  /** State of an attempt on its machine. */
  public enum State {
    FETCHING,
    RUNNING,
    SAVING,
    ENDED
  }

  /** Reason for the end of an attempt. */
  public enum ExitReason {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_JOB,
    OTHER
  }

  private static final String TASK = "flake";

  /** Parses one element of a heartbeat's list of tasks. */
  static TaskStatus parse(Fields fields) throws MalformedException {
    String name = fields.text(TASK);
    int slash = name.lastIndexOf('/');
    int index = parseTaskIndex(name.substring(slash + 1));
    if (slash < 1 || index < 0) {
      throw new MalformedException(TASK + ": not a task name");
    }
    State state = parseState(fields.text("phase"));
    ExitReason exitReason =
        state == State.ENDED ? parseExitReason(fields.textOrNull("cause")) : null;
    long attempt = fields.integer("try", 0, Long.MAX_VALUE);
    return new TaskStatus(name.substring(0, slash), index, attempt, state, exitReason);
  }

  private static int parseTaskIndex(String text) throws MalformedException {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new MalformedException(TASK + ": not a task name");
    }
  }

  private static State parseState(String text) {
    return switch (text) {
      case "pulling" -> State.FETCHING;
      case "saving" -> State.SAVING;
      case "ended" -> State.ENDED;
      default -> State.RUNNING;
    };
  }

  private static ExitReason parseExitReason(String text) {
    return switch (text == null ? "" : text) {
      case "done" -> ExitReason.DONE;
      case "halted" -> ExitReason.STOPPED;
      case "error" -> ExitReason.ERROR;
      case "full" -> ExitReason.NO_ROOM;
      case "busy" -> ExitReason.BUSY;
      case "no_such" -> ExitReason.UNKNOWN_JOB;
      default -> ExitReason.OTHER;
    };
  }
}
