package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.TaskLayout;
import org.snowturn.wire.Json;

/**
 * The stored form of some of a job's tasks: results as a bit set, and where each bound task was
 * placed. The second format numbers tasks from the record's first one and attempts from a common
 * base, so that twice as many fit a value.
 */
public final class TaskRecords {
  private static final int SHIFT = TaskLayout.ATTEMPT_BITS;

  private TaskRecords() {}

  /** Bytes that a placement on this machine takes at the most. */
  public static int bytes(Machine m) {
    return TaskLayout.entryBytes(Json.bytes(Json.array().add(m.id)).length - 4);
  }

  public static JsonNode first(Job j, int record, MachineBook machines) {
    int from = j.layout.from(record);
    ObjectNode o = Json.object().put("v", Keys.VERSION);
    ArrayNode placed = o.putArray("p");
    for (int t = from; t < j.layout.to(record); t++) {
      if (j.isBound(t)) {
        placed.addArray().add(t).add(j.attempt[t]).add(machines.get(j.machine[t]).id);
        ((ArrayNode) placed.get(placed.size() - 1)).add(j.session[t]);
      }
    }
    return o.put("d", finished(j, record));
  }

  public static JsonNode second(Job j, int record, MachineBook machines) {
    int from = j.layout.from(record);
    long base = Long.MAX_VALUE;
    for (int t = from; t < j.layout.to(record); t++) {
      base = j.isBound(t) ? Math.min(base, j.attempt[t] >> SHIFT << SHIFT) : base;
    }
    ObjectNode o = Json.object().put("v", Keys.SECOND).put("d", finished(j, record));
    if (base == Long.MAX_VALUE) {
      return o;
    }
    ArrayNode placed = o.put("a", base).putArray("p");
    for (int t = from; t < j.layout.to(record); t++) {
      if (j.isBound(t)) {
        ArrayNode e = placed.addArray().add(t - from).add(j.attempt[t] - base);
        e.add(machines.get(j.machine[t]).id);
        if (j.session[t] != 1) {
          e.add(j.session[t]);
        }
      }
    }
    return o;
  }

  private static String finished(Job j, int record) {
    int from = j.layout.from(record);
    BitSet finished = new BitSet();
    for (int t = from; t < j.layout.to(record); t++) {
      if (j.state[t] == Job.DONE) {
        finished.set(t - from);
      }
    }
    return Base64.getEncoder().encodeToString(finished.toByteArray());
  }

  /** What a record tells of its tasks. */
  public interface Reader {
    void done(int task);

    void placed(int task, long attempt, String machine, long session);
  }

  /**
   * Reads a record of either format; {@code from} is its first task.
   *
   * @throws IllegalArgumentException if it cannot be read; some of it may have been told by then
   */
  public static void read(JsonNode value, int from, Reader to) {
    if (!value.isObject()) {
      throw new IllegalArgumentException("not an object");
    }
    boolean second = value.path("v").asInt(Keys.VERSION) >= Keys.SECOND;
    BitSet finished = BitSet.valueOf(Base64.getDecoder().decode(value.path("d").asText("")));
    finished.stream().forEach(i -> to.done(from + i));
    long base = second ? value.path("a").asLong(0) : 0;
    for (JsonNode p : value.path("p")) {
      if (!p.path(0).isInt() || !p.path(1).isIntegralNumber() || !p.path(2).isTextual()) {
        throw new IllegalArgumentException("a placement that is none");
      }
      int task = p.path(0).asInt();
      to.placed(
          second && task >= 0 ? from + task : task,
          base + p.path(1).asLong(),
          p.path(2).asText(),
          second ? p.path(3).asLong(1) : p.path(3).asLong());
    }
  }
}
