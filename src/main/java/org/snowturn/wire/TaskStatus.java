package org.snowturn.wire;

/**
 * The status of one attempt of a task in a worker's heartbeat.
 *
 * @param exitReason null unless the attempt has ended
 */
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

  private static final String TASK = "flake";

  /** Reads one element of a heartbeat. */
  static TaskStatus parse(Fields fields) throws MalformedException {
    String name = fields.text(TASK);
    int slash = name.lastIndexOf('/');
    int index = taskIndex(name.substring(slash + 1));
    if (slash < 1 || index < 0) {
      throw new MalformedException(TASK + ": not a task name");
    }
    State state = state(fields.text("phase"));
    ExitReason reason = state == State.ENDED ? exitReason(fields.textOrNull("cause")) : null;
    long attempt = fields.integer("try", 0, Long.MAX_VALUE);
    return new TaskStatus(name.substring(0, slash), index, attempt, state, reason);
  }

  private static int taskIndex(String text) throws MalformedException {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new MalformedException(TASK + ": not a task name");
    }
  }

  private static State state(String text) {
    return switch (text) {
      case "pulling" -> State.FETCHING;
      case "saving" -> State.SAVING;
      case "ended" -> State.ENDED;
      default -> State.RUNNING;
    };
  }

  private static ExitReason exitReason(String text) {
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
