package org.snowturn.core.effects;

import java.util.Locale;

/**
 * The names of the fields of structured log lines; they stay the same between versions. A unit is
 * part of the name.
 */
public enum LogField {
  AGENT_EPOCH,
  AGE_MS,
  ASSIGNED,
  ATTEMPT,
  BODY,
  CANCELLATIONS_KNOWN_MS_AGO,
  COUNT,
  DOWN_REASONS,
  ERROR,
  EVIDENCE,
  EXIT_REASON,
  FAILURES,
  FETCH_S,
  FORMAT,
  FOR_JOB,
  GROUND,
  HEARTBEAT,
  IMAGE,
  INVARIANT,
  JOB,
  JOBS,
  JOBS_AWAITING_DEPENDENCIES,
  KEY,
  LAST_ANSWER_MS_AGO,
  LEASE,
  MACHINE,
  MACHINES,
  MEDIAN_S,
  NEWEST_HEARTBEAT,
  NODE,
  NOTICE_S,
  ON_DEMAND_CPUS,
  ON_DEMAND_CPUS_USED,
  ON_DEMAND_DOWN,
  ON_DEMAND_UP,
  PATH,
  PHASE,
  PHASES,
  PREFIX,
  PROBES,
  REASON,
  RECORD,
  RECORDS,
  RECORDS_UNREADABLE,
  REQUEST,
  REQUESTED,
  RESTARTS,
  RESULT,
  REVISION,
  RUN_TIME_S,
  SEEN_TOKEN,
  SLOWNESS,
  SPOT,
  SPOT_CPUS,
  SPOT_CPUS_USED,
  SPOT_DOWN,
  SPOT_UP,
  STATE_SERVICE,
  TASK,
  TASKS,
  TASKS_ASSIGNED,
  TASKS_FETCHING,
  TASKS_PLACING,
  TASKS_RUNNING,
  TASKS_STARTING,
  TASKS_WAITING,
  TOKEN,
  TOOK_MS,
  TRY,
  TTL_MS,
  TYPE,
  UNANSWERED,
  UNTIL_MS,
  WAITED_S,
  WORKERS,
  WRITES_WAITING,
  ZONE;

  private final String text = name().toLowerCase(Locale.ROOT);

  /** The name in the log. */
  public String text() {
    return text;
  }
}
