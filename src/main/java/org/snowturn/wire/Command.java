package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A command to a worker concerning one attempt of a task.
 *
 * @param task index of the task within its job
 * @param attempt number of the attempt
 * @param graceS time in seconds for the task to save its progress; used by {@link Op#STOP} only
 */
public record Command(Op op, String job, int task, long attempt, double graceS) {
  /** The operation that the worker has to perform. */
  public enum Op {
    START("start"),
    STOP("halt"),
    /** Makes the worker stop reporting an ended attempt. */
    FORGET("forget");

    private final String wireName;

    Op(String wireName) {
      this.wireName = wireName;
    }
  }

  /**
   * Returns the body of a 200 (OK) response to a heartbeat that carries no token. A worker drops
   * it, so that its lease is not renewed, and stays with this controller.
   */
  public static ObjectNode responseWithoutToken() {
    ObjectNode object = Json.object();
    object.putArray("orders");
    return object;
  }

  /** Returns the body of a 200 (OK) response to a heartbeat. */
  public static ObjectNode heartbeatResponse(long token, List<Command> commands) {
    ObjectNode object = Json.object();
    object.put("baton", token);
    ArrayNode array = object.putArray("orders");
    commands.forEach(command -> array.add(command.toJson()));
    return object;
  }

  /** Returns the command as a message lists it. */
  ObjectNode toJson() {
    ObjectNode node = Json.object();
    node.put("verb", op.wireName);
    node.put("flake", job + "/" + task).put("try", attempt);
    if (op == Op.STOP) {
      node.put("melt_s", graceS);
    }
    return node;
  }

  /**
   * Returns the body of a request that sends commands directly to a worker.
   *
   * @param token fencing token of the leader
   * @param agentEpoch incarnation of the worker's agent for which the commands are meant
   */
  public static ObjectNode directCommands(long token, long agentEpoch, List<Command> commands) {
    return heartbeatResponse(token, commands).put("thaw", agentEpoch);
  }

  /**
   * Returns the body of a 421 (Misdirected Request) response.
   *
   * @param node name of the controller that the worker should contact instead, or null if none is
   *     known
   */
  public static ObjectNode misdirectedResponse(String node) {
    ObjectNode object = Json.object();
    if (node != null) {
      object.put("steward", node);
    }
    return object;
  }
}
