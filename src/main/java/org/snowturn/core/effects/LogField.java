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
  DONE_AFTER_S,
  ERROR,
  ESTIMATE_S,
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
  KEY,
  LAST_ANSWER_MS_AGO,
  LATE_S,
  LEASE,
  MACHINE,
  MACHINES,
  MEDIAN_S,
  NEWEST_HEARTBEAT,
  NODE,
  NOTICE_S,
  PATH,
  PHASE,
  PHASES,
  PLACED_AFTER_S,
  PREFIX,
  PROBES,
  REASON,
  RECORD,
  RECORDS,
  RELEASED_AFTER_S,
  REQUEST,
  REQUESTED,
  RESTARTS,
  RESULT,
  REVISION,
  RUN_TIME_S,
  SEEN_TOKEN,
  SLOWNESS,
  SPOT,
  STATE_SERVICE,
  TASK,
  TASKS,
  TOKEN,
  TOOK_MS,
  TRY,
  TTL_MS,
  TYPE,
  UNANSWERED,
  UNTIL_MS,
  WAITED_S,
  WORKERS,
  ZONE;

  private final String text = name().toLowerCase(Locale.ROOT);

  /** The name in the log. */
  public String text() {
    return text;
  }
}
