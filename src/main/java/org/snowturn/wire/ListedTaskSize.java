package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Sizes of the tasks that a heartbeat lists. A worker lists all its tasks, ended ones until it is
 * told to forget them, and cannot send a heartbeat beyond the maximum size. So what is started on a
 * machine has to fit even when all tasks have ended and none can be forgotten.
 */
public final class ListedTaskSize {
  /** Space that the list of tasks may take, beside the other fields of a heartbeat. */
  public static final int MAX_LIST_BYTES = MessageSize.MAX_BYTES - 1024;

  /** The longest entry without the task's name and the attempt, in the most compact layout. */
  private static final String LONGEST_ENTRY =
      "{\"flake\":\"\",\"try\":,\"phase\":\"ended\",\"cause\":\"halted\",\"stored\":true},";

  /**
   * Number of commas and colons in the longest entry, after which a layout may have white space.
   */
  private static final int LONGEST_ENTRY_SEPARATORS = 10;

  /** Extra size of an entry with a space after each separator. */
  public static final int SPACED_LAYOUT_BYTES = LONGEST_ENTRY_SEPARATORS;

  /** Extra size of an entry with each field on a line of its own, indented. */
  public static final int INDENTED_LAYOUT_BYTES = 5 * LONGEST_ENTRY_SEPARATORS;

  /** Result of {@link #measureLayout} for a heartbeat that is too short to show the layout. */
  public static final int NOT_MEASURED = -1;

  /** Size from which on a heartbeat consists mostly of its list of tasks. */
  private static final int MIN_MEASURED_BYTES = 8 * 1024;

  private static final int MAX_ATTEMPT_DIGITS = Long.toString(Long.MAX_VALUE).length();
  private static final String[] ENTRY_FIELDS = {"flake", "try", "phase", "cause", "stored"};

  /** Size of a field beside its name and its value: two quotes and two separators. */
  private static final int FIELD_OVERHEAD_BYTES = 4;

  /** Size of the braces around an entry. */
  private static final int BRACES_BYTES = 2;

  private ListedTaskSize() {}

  /** Returns the maximum size of the entry of a task of the job, in the most compact layout. */
  public static int maxBytes(JobSpec spec) {
    return maxBytes(spec.id(), spec.tasks() - 1);
  }

  /** Returns the maximum size of the entry of a listed task, in the most compact layout. */
  public static int maxBytes(TaskStatus status) {
    return maxBytes(status.job(), status.task());
  }

  private static int maxBytes(String job, int highestTask) {
    int digits = 1;
    for (int rest = highestTask; rest >= 10; rest /= 10) {
      digits++;
    }
    int nameBytes = job.length() + 1 + digits;
    return LONGEST_ENTRY.length() + nameBytes + MAX_ATTEMPT_DIGITS;
  }

  /**
   * Returns by how many bytes the longest entry exceeds the most compact layout in the layout of a
   * heartbeat, which may have white space and unknown fields, or {@link #NOT_MEASURED}.
   *
   * @param tasks the list of tasks in the heartbeat
   * @param heartbeatBytes the size of the whole heartbeat
   */
  static int measureLayout(JsonNode tasks, int heartbeatBytes) {
    if (heartbeatBytes < MIN_MEASURED_BYTES || tasks.isEmpty()) {
      return NOT_MEASURED;
    }
    int compactBytes = 0;
    int separators = 0;
    for (JsonNode task : tasks) {
      compactBytes += BRACES_BYTES;
      for (String field : ENTRY_FIELDS) {
        if (task.hasNonNull(field)) {
          compactBytes += FIELD_OVERHEAD_BYTES + field.length() + valueBytes(task.get(field));
          separators += 2;
        }
      }
    }
    double extraPerSeparator = (heartbeatBytes - compactBytes) / (double) Math.max(1, separators);
    return (int) Math.ceil(Math.max(0, extraPerSeparator) * LONGEST_ENTRY_SEPARATORS);
  }

  private static int valueBytes(JsonNode value) {
    return value.asText().length() + (value.isTextual() ? 2 : 0);
  }
}
