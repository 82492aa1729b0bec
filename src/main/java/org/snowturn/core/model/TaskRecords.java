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
 * The stored form of a range of a job's tasks: a bit set of the done tasks, and the placement of
 * each assigned task. The second format numbers tasks from the first one of the record and attempts
 * from a common base, so that a value holds twice as many tasks.
 */
public final class TaskRecords {
  /** Bits of an attempt's number below its leader's fencing token. */
  private static final int ATTEMPT_BITS = TaskLayout.ATTEMPT_COUNTER_BITS;

  /** Characters around the name of a machine in an array of one name: brackets and quotes. */
  private static final int QUOTED_ARRAY_BYTES = 4;

  /** The agent epoch that a placement of the second format omits. */
  private static final long DEFAULT_EPOCH = 1;

  private TaskRecords() {}

  /** Returns the maximum number of bytes that a placement on this machine takes. */
  public static int maxEntryBytes(Machine machine) {
    return TaskLayout.maxEntryBytes(
        Json.bytes(Json.array().add(machine.id)).length - QUOTED_ARRAY_BYTES);
  }

  /**
   * Returns the stored form of a record in the first format.
   *
   * @param job the job
   * @param record the index of the record
   * @param machines the machines that tasks are assigned to
   */
  public static JsonNode firstFormatJson(Job job, int record, MachineIndex machines) {
    int from = job.layout().firstTask(record);
    ObjectNode object = Json.object().put("v", StorageKeys.FIRST_FORMAT);
    ArrayNode placements = object.putArray("p");
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.isAssigned(task)) {
        placements
            .addArray()
            .add(task)
            .add(job.attemptOf(task))
            .add(machines.get(job.machineOf(task)).id);
        ((ArrayNode) placements.get(placements.size() - 1)).add(job.epochOf(task));
      }
    }
    return object.put("d", doneTasks(job, record));
  }

  /**
   * Returns the stored form of a record in the second format.
   *
   * @param job the job
   * @param record the index of the record
   * @param machines the machines that tasks are assigned to
   */
  public static JsonNode secondFormatJson(Job job, int record, MachineIndex machines) {
    int from = job.layout().firstTask(record);
    long attemptBase = Long.MAX_VALUE;
    for (int task = from; task < job.layout().endTask(record); task++) {
      attemptBase =
          job.isAssigned(task)
              ? Math.min(attemptBase, job.attemptOf(task) >> ATTEMPT_BITS << ATTEMPT_BITS)
              : attemptBase;
    }
    ObjectNode object =
        Json.object().put("v", StorageKeys.SECOND_FORMAT).put("d", doneTasks(job, record));
    if (attemptBase == Long.MAX_VALUE) {
      return object;
    }
    ArrayNode placements = object.put("a", attemptBase).putArray("p");
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.isAssigned(task)) {
        ArrayNode entry =
            placements.addArray().add(task - from).add(job.attemptOf(task) - attemptBase);
        entry.add(machines.get(job.machineOf(task)).id);
        if (job.epochOf(task) != DEFAULT_EPOCH) {
          entry.add(job.epochOf(task));
        }
      }
    }
    return object;
  }

  private static String doneTasks(Job job, int record) {
    int from = job.layout().firstTask(record);
    BitSet doneTasks = new BitSet();
    for (int task = from; task < job.layout().endTask(record); task++) {
      if (job.stateOf(task) == TaskState.DONE) {
        doneTasks.set(task - from);
      }
    }
    return Base64.getEncoder().encodeToString(doneTasks.toByteArray());
  }

  /** Receives the contents of a record. */
  public interface Visitor {
    /** Handles a done task. */
    void onDone(int task);

    /**
     * Handles the placement of a task.
     *
     * @param task the index of the task
     * @param attempt the number of the attempt
     * @param machine the id of the machine
     * @param epoch the epoch of the machine's agent
     */
    void onPlaced(int task, long attempt, String machine, long epoch);
  }

  /**
   * Reads a record of either format.
   *
   * @param value the stored value
   * @param from the index of the first task of the record
   * @param visitor receives the contents
   * @throws IllegalArgumentException if the record is malformed; the visitor may have received some
   *     of the contents by then
   */
  public static void read(JsonNode value, int from, Visitor visitor) {
    if (!value.isObject()) {
      throw new IllegalArgumentException("not an object");
    }
    boolean secondFormat =
        value.path("v").asInt(StorageKeys.FIRST_FORMAT) >= StorageKeys.SECOND_FORMAT;
    BitSet doneTasks = BitSet.valueOf(Base64.getDecoder().decode(value.path("d").asText("")));
    doneTasks.stream().forEach(i -> visitor.onDone(from + i));
    long attemptBase = secondFormat ? value.path("a").asLong(0) : 0;
    for (JsonNode placement : value.path("p")) {
      if (!placement.path(0).isInt()
          || !placement.path(1).isIntegralNumber()
          || !placement.path(2).isTextual()) {
        throw new IllegalArgumentException(
            "field p: expected entries [task, attempt, machine id, agent epoch]");
      }
      int task = placement.path(0).asInt();
      visitor.onPlaced(
          secondFormat && task >= 0 ? from + task : task,
          attemptBase + placement.path(1).asLong(),
          placement.path(2).asText(),
          secondFormat ? placement.path(3).asLong(DEFAULT_EPOCH) : placement.path(3).asLong());
    }
  }
}
