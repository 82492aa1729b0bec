package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.snowturn.core.records.Keys;
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

  public static JsonNode json(Job j) {
    ObjectNode o = Json.object().put("v", j.secondFormat ? Keys.SECOND : Keys.VERSION);
    o.put("n", j.restarts);
    if (j.secondFormat) {
      ArrayNode listed = o.putArray("r");
      j.restarted.stream().forEach(listed::add);
    } else {
      o.put("t", Base64.getEncoder().encodeToString(j.restarted.toByteArray()));
    }
    return o;
  }

  /** Reads either format. */
  public static void load(Job j, JsonNode value) {
    j.restarted.or(BitSet.valueOf(Base64.getDecoder().decode(value.path("t").asText(""))));
    value.path("r").forEach(t -> j.restarted.set(Math.max(0, t.asInt())));
    j.restarts = value.path("n").asInt(0);
  }

  /** Whether a value can hold the record once this task is restarted too. */
  public static boolean fits(Job j, int task, int valueBytes) {
    int last = Math.max(task, j.restarted.length());
    int bytes = j.secondFormat ? LISTED_BYTES * (j.restarts + 1) : (last / 8 + 3) / 3 * 4;
    return FIXED_BYTES + bytes <= valueBytes;
  }
}
