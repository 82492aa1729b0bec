package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A machine as the cloud lists it. */
public record CloudMachine(
    String id, String addr, String type, String zone, boolean spot, State state, double ageS) {
  /** The cloud's own view of the machine. */
  public enum State {
    STARTING,
    RUNNING,
    FAILED
  }

  /** One page of the machine list. */
  public record Page(List<CloudMachine> machines, boolean more) {
    /** Reads a page. */
    public static Page parse(JsonNode node) throws MalformedException {
      List<CloudMachine> out = new ArrayList<>();
      Fields top = new Fields(node);
      for (JsonNode machine : top.node("drifts")) {
        Fields fields = new Fields(machine);
        State state =
            switch (fields.text("phase")) {
              case "running" -> State.RUNNING;
              case "failed" -> State.FAILED;
              default -> State.STARTING;
            };
        out.add(
            new CloudMachine(
                fields.text("id"),
                fields.textOrNull("addr"),
                fields.text("hull"),
                fields.text("field"),
                fields.flag("loaners", false),
                state,
                fields.number("held_s", 0, 1e12, 0)));
      }
      return new Page(out, top.flag("truncated", false));
    }
  }

  /** The names a rental returned. */
  public static List<String> parseHired(JsonNode node) throws MalformedException {
    List<String> out = new ArrayList<>();
    new Fields(node).node("drifts").forEach(name -> out.add(name.asText()));
    return out;
  }

  /** The body of a rental request. */
  public static JsonNode hire(String name, String type, String zone, boolean spot, int count) {
    return Json.object()
        .put("hire", name)
        .put("hull", type)
        .put("field", zone)
        .put("loaners", spot)
        .put("number", count);
  }

  /** The body of a deletion. */
  public static JsonNode delete(List<String> ids) {
    var object = Json.object();
    ids.forEach(object.putArray("drifts")::add);
    return object;
  }
}
