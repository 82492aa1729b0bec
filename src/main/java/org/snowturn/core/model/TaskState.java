package org.snowturn.core.model;

/** Where a task stands, as the leader knows it. Jobs store the code of each task's state. */
public enum TaskState {
  /** On no machine. */
  PENDING(0),
  /** Its assignment is being written; no start has been sent. */
  PLACING(1),
  /** Its start may have been sent. */
  STARTING(2),
  /** Its image is being fetched. */
  FETCHING(3),
  /** It runs, or saves a checkpoint. */
  RUNNING(4),
  /** It has its result. */
  DONE(5);

  private static final TaskState[] BY_CODE = values();

  private final byte code;

  TaskState(int code) {
    this.code = (byte) code;
  }

  /** The number under which the state is stored in dense arrays. */
  byte code() {
    return code;
  }

  static TaskState ofCode(byte code) {
    return BY_CODE[code];
  }

  /** Whether the task may be on a machine. */
  public boolean isAssigned() {
    return this != PENDING && this != DONE;
  }
}
