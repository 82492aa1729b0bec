package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;

/**
 * The stored form of the restarts of an array: their number, and the restarted tasks. The first
 * format is a bit set up to the last restarted task, which exceeds the size of a value for a large
 * array; the second format lists the tasks.
 */
public final class RestartRecords {
  /** Maximum size of a record in bytes, beside the restarted tasks. */
  private static final int FIXED_BYTES = 60;

  /** Maximum size of a listed task in bytes: a number of up to six digits and a comma. */
  private static final int LISTED_TASK_BYTES = 7;

  private RestartRecords() {}

  /** Returns the stored form, in the format of the job's task records. */
  public static JsonNode toJson(Job job) {
    ObjectNode object =
        Json.object()
            .put("v", job.isSecondFormat() ? StorageKeys.SECOND_FORMAT : StorageKeys.FIRST_FORMAT);
    object.put("n", job.restarts());
    if (job.isSecondFormat()) {
      ArrayNode tasks = object.putArray("r");
      job.restarted.stream().forEach(tasks::add);
    } else {
      object.put("t", Base64.getEncoder().encodeToString(job.restarted.toByteArray()));
    }
    return object;
  }

  /**
   * Reads a record of either format into the job.
   *
   * @param job the job whose restarts are set
   * @param value the stored value
   */
  public static void load(Job job, JsonNode value) {
    job.restarted.or(BitSet.valueOf(Base64.getDecoder().decode(value.path("t").asText(""))));
    value.path("r").forEach(task -> job.restarted.set(Math.max(0, task.asInt())));
    job.setRestarts(value.path("n").asInt(0));
  }

  /**
   * Returns whether the record fits in a value after one more restart.
   *
   * @param job the job
   * @param task the index of the task that would be restarted
   * @param maxValueBytes the maximum size of a stored value in bytes
   */
  public static boolean fits(Job job, int task, int maxValueBytes) {
    int lastBit = Math.max(task, job.restarted.length());
    // Base64 turns each group of up to three bytes of the bit set into four characters.
    int tasksBytes =
        job.isSecondFormat()
            ? LISTED_TASK_BYTES * (job.restarts() + 1)
            : (lastBit / Byte.SIZE + 3) / 3 * 4;
    return FIXED_BYTES + tasksBytes <= maxValueBytes;
  }
}
