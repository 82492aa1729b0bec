package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A command to a worker about one attempt of a task.
 *
 * @param graceS for a stop: the seconds that the task has to save its progress
 */
public record Command(Op op, String job, int task, long attempt, double graceS) {
  /** What to do. */
  public enum Op {
    START("start"),
    STOP("halt"),
    /** Reports the ended attempt no more. */
    FORGET("forget");

    private final String wire;

    Op(String wire) {
      this.wire = wire;
    }
  }

  /** The body of a 200 to a heartbeat. */
  public static ObjectNode heartbeatResponse(long token, List<Command> commands) {
    ObjectNode object = Json.object();
    object.put("baton", token);
    ArrayNode array = object.putArray("orders");
    for (Command command : commands) {
      ObjectNode order = array.addObject();
      order.put("verb", command.op.wire);
      order.put("flake", command.job + "/" + command.task).put("try", command.attempt);
      if (command.op == Op.STOP) {
        order.put("melt_s", command.graceS);
      }
    }
    return object;
  }

  /** The body of a direct command message to an incarnation of the worker's agent. */
  public static ObjectNode directCommands(long token, long agentEpoch, List<Command> commands) {
    return heartbeatResponse(token, commands).put("thaw", agentEpoch);
  }

  /** The body of a 421 (misdirected request); {@code leader} may be null. */
  public static ObjectNode misdirectedResponse(String leader) {
    ObjectNode object = Json.object();
    if (leader != null) {
      object.put("steward", leader);
    }
    return object;
  }
}
