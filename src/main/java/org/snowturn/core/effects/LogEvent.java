package org.snowturn.core.effects;

import java.util.Locale;

/** The names of all structured lines of the core's log; they stay the same between versions. */
public enum LogEvent {
  /** The ground of a node's right to act has changed. */
  AUTHORITY_CHANGED,
  /** A candidate leaves the claim to a better connected peer. */
  CANDIDACY_DEFERRED,
  /** All cancellations are known again, workers are answered. */
  CANCELLATIONS_CURRENT,
  /** Cancellations may be unknown here, workers are not answered. */
  CANCELLATIONS_STALE,
  /** A term of leadership has begun. */
  LEADERSHIP_ACQUIRED,
  /** A term of leadership has ended. */
  LEADERSHIP_LOST,
  /** A range of records has been read. */
  RECORDS_READ,
  /** All records of earlier terms have been read. */
  RECOVERY_COMPLETED,
  /** All machines of earlier terms have been heard or given up. */
  RECONCILIATION_COMPLETED,
  /** Tasks of cancelled jobs, placed by earlier terms, are to be stopped. */
  CANCELLED_TASKS_RECOVERED,
  /** A stored record cannot be read and is left alone. */
  RECORD_UNREADABLE,
  /** A reply of the outside cannot be used. */
  REPLY_MALFORMED,
  /** The state service will not have a record. */
  RECORD_REJECTED,
  /** The state service will not have a group of changes at once. */
  TRANSACTION_REJECTED,
  /** This node has told that it reads the next stored format. */
  FORMAT_SUPPORTED,
  /** All nodes read the next stored format. */
  FORMAT_GATE_OPENED,
  /** A node reaches something that it did not reach, or no more. */
  CONNECTIVITY_CHANGED,
  /** The start of a task has been handed to the machine's command queue. */
  START_SENT,
  /** A task runs. */
  TASK_RUNNING,
  /** A task has ended since it was told to. */
  TASK_STOPPED,
  /** A task has ended by itself. */
  TASK_ENDED,
  /** A task has failed. */
  TASK_FAILED,
  /** A start was refused since another attempt is on the machine. */
  TASK_ALREADY_PRESENT,
  /** A task was told to stop for one of higher priority. */
  TASK_PREEMPTED,
  /** A task leaves a machine that is drained or about to be reclaimed. */
  TASK_EVICTED,
  /** A slow task is restarted on a faster machine. */
  TASK_RESTARTED,
  /** A task may be assigned again. */
  ASSIGNMENT_RELEASED,
  /** A job's final state is durable. */
  JOB_FINISHED,
  /** A job's cancellation was read. */
  JOB_CANCELLED,
  /** A user was told that a job is cancelled. */
  JOB_CANCELLATION_CONFIRMED,
  /** A job's dependencies are all done. */
  JOB_RELEASED,
  /** A job depends on one that is not stored. */
  DEPENDENCY_MISSING,
  /** A job's tasks fail on one machine after another. */
  JOB_SUSPECTED,
  /** A suspected job has succeeded. */
  JOB_CLEARED,
  /** A machine gets no more work since tasks of sound jobs fail there. */
  MACHINE_QUARANTINED,
  /** A machine was silent past its lease. */
  MACHINE_LEASE_EXPIRED,
  /** A machine does not receive what it is sent. */
  MACHINE_UNREACHABLE,
  /** A heartbeat was refused since a cancelled task may still start there. */
  MACHINE_LEASE_NOT_RENEWED,
  /** A spot machine is about to be reclaimed. */
  PREEMPTION_NOTICE,
  /** A machine that was taken for gone is listed again. */
  MACHINE_RELISTED,
  /** The cloud says that a machine has failed. */
  MACHINE_FAILED,
  /** A machine was not up in time. */
  MACHINE_NEVER_UP,
  /** Machines are requested. */
  SCALE_OUT,
  /** The cloud has rented machines. */
  MACHINES_RENTED,
  /** Machines are to be terminated. */
  TERMINATE,
  /** A machine is to be terminated. */
  MACHINE_TERMINATING,
  /** The cloud has confirmed that machines are gone. */
  TERMINATED,
  /** The operators keep machines up themselves. */
  EXTERNALLY_MANAGED_MACHINES,
  /** A heartbeat was answered. */
  HEARTBEAT,
  /** A start command has left. */
  START,
  /** A stop command has left. */
  STOP,
  /** A forget command has left. */
  FORGET,
  /** A user was answered. */
  USER_ANSWER,
  /** How full the cluster is. */
  SUMMARY,
  /** A fault of this program. */
  INVARIANT_VIOLATED;

  private final String text = name().toLowerCase(Locale.ROOT);

  /** The name in the log. */
  public String text() {
    return text;
  }
}
