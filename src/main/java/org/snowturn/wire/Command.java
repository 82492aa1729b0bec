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
    ObjectNode o = Json.object();
    o.put("baton", token);
    ArrayNode a = o.putArray("orders");
    for (Command c : commands) {
      ObjectNode n = a.addObject();
      n.put(
          "verb",
          switch (c.op) {
            case START -> "start";
            case STOP -> "halt";
            case FORGET -> "forget";
          });
      n.put("flake", c.job + "/" + c.task).put("try", c.attempt);
      if (c.op == Op.STOP) {
        n.put("melt_s", c.graceS);
      }
    }
    return o;
  }

  /** The body of a direct command message. */
  public static ObjectNode direct(long token, long session, List<Command> commands) {
    return answer(token, commands).put("thaw", session);
  }

  /** The body of a 421; {@code leader} may be null. */
  public static ObjectNode elsewhere(String leader) {
    ObjectNode o = Json.object();
    if (leader != null) {
      o.put("steward", leader);
    }
    return o;
  }
}
