package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.core.storage.TaskLayout;
import org.snowturn.wire.Json;

/**
 * The stored form of some of a job's tasks: results as a bit set, and where each assigned task was
 * placed. The second format numbers tasks from the record's first one and attempts from a common
 * base, so that twice as many fit a value.
 */
public final class TaskRecords {
  private static final int SHIFT = TaskLayout.ATTEMPT_COUNTER_BITS;

  private TaskRecords() {}

  /** Bytes that a placement on this machine takes at the most. */
  public static int bytes(Machine machine) {
    return TaskLayout.maxEntryBytes(Json.bytes(Json.array().add(machine.id)).length - 4);
  }

  /** The stored form of a record in the first format. */
  public static JsonNode first(Job job, int record, MachineIndex machines) {
    int from = job.layout().firstTask(record);
    ObjectNode object = Json.object().put("v", StorageKeys.FIRST_FORMAT);
    ArrayNode placed = object.putArray("p");
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.isAssigned(task)) {
        placed
            .addArray()
            .add(task)
            .add(job.attemptOf(task))
            .add(machines.get(job.machineOf(task)).id);
        ((ArrayNode) placed.get(placed.size() - 1)).add(job.epochOf(task));
      }
    }
    return object.put("d", finished(job, record));
  }

  /** The stored form of a record in the second format. */
  public static JsonNode second(Job job, int record, MachineIndex machines) {
    int from = job.layout().firstTask(record);
    long base = Long.MAX_VALUE;
    for (int task = from; task < job.layout().endTask(record); task++) {
      base = job.isAssigned(task) ? Math.min(base, job.attemptOf(task) >> SHIFT << SHIFT) : base;
    }
    ObjectNode object =
        Json.object().put("v", StorageKeys.SECOND_FORMAT).put("d", finished(job, record));
    if (base == Long.MAX_VALUE) {
      return object;
    }
    ArrayNode placed = object.put("a", base).putArray("p");
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.isAssigned(task)) {
        ArrayNode entry = placed.addArray().add(task - from).add(job.attemptOf(task) - base);
        entry.add(machines.get(job.machineOf(task)).id);
        if (job.epochOf(task) != 1) {
          entry.add(job.epochOf(task));
        }
      }
    }
    return object;
  }

  private static String finished(Job job, int record) {
    int from = job.layout().firstTask(record);
    BitSet finished = new BitSet();
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.stateOf(task) == TaskState.DONE) {
        finished.set(task - from);
      }
    }
    return Base64.getEncoder().encodeToString(finished.toByteArray());
  }

  /** What a record tells of its tasks. */
  public interface Reader {
    /** The task has its result. */
    void done(int task);

    /** The task was placed on the machine in this session of its agent. */
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
    boolean second = value.path("v").asInt(StorageKeys.FIRST_FORMAT) >= StorageKeys.SECOND_FORMAT;
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
