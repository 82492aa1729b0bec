package org.snowturn.core.effects;

import java.util.Locale;

/** The names of the events in the core's structured log. They are stable between versions. */
public enum LogEvent {
  /** The basis of a node's authority has changed. */
  AUTHORITY_CHANGED,
  /** A candidate defers its candidacy to a better connected peer. */
  CANDIDACY_DEFERRED,
  /** This node knows all cancellations again and answers workers. */
  CANCELLATIONS_CURRENT,
  /** This node may lack recent cancellations and does not answer workers. */
  CANCELLATIONS_STALE,
  /** A term of leadership has begun. */
  LEADERSHIP_ACQUIRED,
  /** A term of leadership has ended. */
  LEADERSHIP_LOST,
  /** A range of records has been read. */
  RECORDS_READ,
  /** All records of earlier terms have been read. */
  RECOVERY_COMPLETED,
  /** All machines of earlier terms have sent a heartbeat or been given up. */
  RECONCILIATION_COMPLETED,
  /** Tasks of cancelled jobs that earlier terms placed are to be stopped. */
  CANCELLED_TASKS_RECOVERED,
  /** A stored record cannot be parsed and is left unchanged. */
  RECORD_UNREADABLE,
  /** A reply from another service or a worker cannot be parsed. */
  REPLY_MALFORMED,
  /** The state service has rejected a record. */
  RECORD_REJECTED,
  /** The state service has rejected several changes in one transaction. */
  TRANSACTION_REJECTED,
  /** Submissions are refused because the live jobs take too much memory. */
  SUBMISSIONS_EXCEED_MEMORY,
  /** This node has announced that it supports the next stored format. */
  FORMAT_SUPPORTED,
  /** All nodes support the next stored format. */
  FORMAT_GATE_OPENED,
  /** A node's connectivity to workers, peers or services has changed. */
  CONNECTIVITY_CHANGED,
  /** The start of a task has been handed to the machine's command queue. */
  START_SENT,
  /** A task has started running. */
  TASK_RUNNING,
  /** A task has ended after a stop command. */
  TASK_STOPPED,
  /** A task has ended by itself. */
  TASK_ENDED,
  /** A task has failed. */
  TASK_FAILED,
  /** A machine has refused a start because it has another attempt of the task. */
  TASK_ALREADY_PRESENT,
  /** A task is stopped to make room for one of higher priority. */
  TASK_PREEMPTED,
  /**
   * A task is moved off its machine, which is drained, about to be reclaimed, or needed by another
   * task.
   */
  TASK_EVICTED,
  /** A slow task is restarted on a faster machine. */
  TASK_RESTARTED,
  /** A task may be assigned again. */
  ASSIGNMENT_RELEASED,
  /** A job's final state is durable. */
  JOB_FINISHED,
  /** A job's cancellation has been read. */
  JOB_CANCELLED,
  /** A user has received the confirmation that a job is cancelled. */
  JOB_CANCELLATION_CONFIRMED,
  /** A job's dependencies are all done. */
  JOB_RELEASED,
  /** A job depends on one that is not stored. */
  DEPENDENCY_MISSING,
  /** A job's tasks fail on one machine after another. */
  JOB_SUSPECTED,
  /** A suspected job has succeeded. */
  JOB_CLEARED,
  /** A machine gets no more tasks, because tasks of jobs that succeed elsewhere fail there. */
  MACHINE_QUARANTINED,
  /** A machine's lease has expired without a heartbeat. */
  MACHINE_LEASE_EXPIRED,
  /** A machine does not receive the messages that are sent to it. */
  MACHINE_UNREACHABLE,
  /** A heartbeat has been refused because a cancelled task may still start on the machine. */
  MACHINE_LEASE_NOT_RENEWED,
  /** A spot machine is about to be reclaimed. */
  PREEMPTION_NOTICE,
  /** The cloud lists a machine that was considered gone. */
  MACHINE_RELISTED,
  /** The cloud reports that a machine has failed. */
  MACHINE_FAILED,
  /** A machine has not booted in time. */
  MACHINE_NEVER_UP,
  /** Machines are requested from the cloud. */
  SCALE_OUT,
  /** The cloud has rented machines. */
  MACHINES_RENTED,
  /** The deletion of a machine is requested from the cloud. */
  TERMINATE,
  /** A machine is marked for deletion. */
  MACHINE_TERMINATING,
  /** The cloud has confirmed the deletion of a machine. */
  TERMINATED,
  /** The number of machines that the operators run themselves has been determined. */
  EXTERNALLY_MANAGED_MACHINES,
  /** A heartbeat carries a higher token than this leader has sent to the machine. */
  HEARTBEAT_TOKEN_UNKNOWN,
  /** A machine runs an attempt that is not assigned to it, and is told to stop it. */
  UNASSIGNED_ATTEMPT_STOPPED,
  /** The token of messages to a machine has been raised, so that late starts are refused. */
  TOKEN_RAISED,
  /** A heartbeat has been answered. */
  HEARTBEAT,
  /** A start command has been sent. */
  START,
  /** A stop command has been sent. */
  STOP,
  /** A forget command has been sent. */
  FORGET,
  /** A user's request has been answered. */
  USER_ANSWER,
  /** Periodic summary of the cluster's load. */
  SUMMARY,
  /** An invariant of this program has been violated. */
  INVARIANT_VIOLATED;

  private final String text = name().toLowerCase(Locale.ROOT);

  /** Returns the name of the event in the log. */
  public String text() {
    return text;
  }
}
