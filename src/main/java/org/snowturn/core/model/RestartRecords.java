package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;

/**
 * The stored form of an array's restarts: how many, and of which tasks. The first format has a bit
 * for each task up to the last one restarted, which for a large array is more than a value holds;
 * the second lists them.
 */
public final class RestartRecords {
  private static final int FIXED_BYTES = 60;
  private static final int LISTED_BYTES = 7;

  private RestartRecords() {}

  /** The stored form, in the format that the job's records have. */
  public static JsonNode toJson(Job job) {
    ObjectNode object =
        Json.object()
            .put("v", job.isSecondFormat() ? StorageKeys.SECOND_FORMAT : StorageKeys.FIRST_FORMAT);
    object.put("n", job.restarts());
    if (job.isSecondFormat()) {
      ArrayNode listed = object.putArray("r");
      job.restarted.stream().forEach(listed::add);
    } else {
      object.put("t", Base64.getEncoder().encodeToString(job.restarted.toByteArray()));
    }
    return object;
  }

  /** Reads either format. */
  public static void load(Job job, JsonNode value) {
    job.restarted.or(BitSet.valueOf(Base64.getDecoder().decode(value.path("t").asText(""))));
    value.path("r").forEach(task -> job.restarted.set(Math.max(0, task.asInt())));
    job.setRestarts(value.path("n").asInt(0));
  }

  /** Whether a value can hold the record once this task is restarted too. */
  public static boolean fits(Job job, int task, int valueBytes) {
    int last = Math.max(task, job.restarted.length());
    int bytes = job.isSecondFormat() ? LISTED_BYTES * (job.restarts() + 1) : (last / 8 + 3) / 3 * 4;
    return FIXED_BYTES + bytes <= valueBytes;
  }
}
