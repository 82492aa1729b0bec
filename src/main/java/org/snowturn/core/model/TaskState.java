package org.snowturn.core.model;

/** The state of a task as the leader knows it. Jobs store the code of each task's state. */
public enum TaskState {
  /** The task waits to be placed. */
  PENDING(0),
  /** The placement of the task is being written; no start command has been sent. */
  PLACING(1),
  /** The start command of the task may have been sent. */
  STARTING(2),
  /** The image of the task is being fetched. */
  FETCHING(3),
  /** The task runs or saves a checkpoint. */
  RUNNING(4),
  /** The task has finished with a result. */
  DONE(5);

  /** The states by code, which equals the ordinal. */
  private static final TaskState[] BY_CODE = values();

  private final byte code;

  TaskState(int code) {
    this.code = (byte) code;
  }

  /** Returns the code under which the state is stored in dense arrays. */
  byte code() {
    return code;
  }

  /** Returns the state with this code. */
  static TaskState ofCode(byte code) {
    return BY_CODE[code];
  }

  /** Returns whether the task may be on a machine. */
  public boolean isAssigned() {
    return this != PENDING && this != DONE;
  }
}
