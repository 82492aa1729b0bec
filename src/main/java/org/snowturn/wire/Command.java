package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** An order to a worker about one attempt of a task. */
public record Command(Op op, String job, int task, long attempt, double graceS) {
  /** What to do. */
  public enum Op {
    START,
    STOP,
    FORGET
  }

  /** The body of a 200 to a report. */
  public static ObjectNode answer(long token, List<Command> commands) {
    ObjectNode object = Json.object();
    object.put("baton", token);
    ArrayNode array = object.putArray("orders");
    for (Command command : commands) {
      ObjectNode order = array.addObject();
      order.put(
          "verb",
          switch (command.op) {
            case START -> "start";
            case STOP -> "halt";
            case FORGET -> "forget";
          });
      order.put("flake", command.job + "/" + command.task).put("try", command.attempt);
      if (command.op == Op.STOP) {
        order.put("melt_s", command.graceS);
      }
    }
    return object;
  }

  /** The body of a direct command message. */
  public static ObjectNode direct(long token, long session, List<Command> commands) {
    return answer(token, commands).put("thaw", session);
  }

  /** The body of a 421; {@code leader} may be null. */
  public static ObjectNode elsewhere(String leader) {
    ObjectNode object = Json.object();
    if (leader != null) {
      object.put("steward", leader);
    }
    return object;
  }
}
