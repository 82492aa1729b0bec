package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine as the cloud lists it.
 *
 * @param address null if the cloud does not tell it yet
 * @param ageS seconds since it was rented
 */
public record CloudMachine(
    String id, String address, String type, String zone, boolean spot, State state, double ageS) {
  private static final String MACHINES = "drifts";
  private static final String TYPE = "hull";
  private static final String ZONE = "field";
  private static final String SPOT = "loaners";
  private static final double MAX_AGE_S = 1e12;

  /** The cloud's own view of the machine. */
  public enum State {
    STARTING,
    RUNNING,
    FAILED
  }

  /** One page of the machine list. */
  public record Page(List<CloudMachine> machines, boolean hasMore) {
    /** Reads a page. */
    public static Page parse(JsonNode node) throws MalformedException {
      List<CloudMachine> machines = new ArrayList<>();
      Fields top = new Fields(node);
      for (JsonNode machine : top.node(MACHINES)) {
        Fields fields = new Fields(machine);
        State state =
            switch (fields.text("phase")) {
              case "running" -> State.RUNNING;
              case "failed" -> State.FAILED;
              default -> State.STARTING;
            };
        machines.add(
            new CloudMachine(
                fields.text("id"),
                fields.textOrNull("addr"),
                fields.text(TYPE),
                fields.text(ZONE),
                fields.flag(SPOT, false),
                state,
                fields.number("held_s", 0, MAX_AGE_S, 0)));
      }
      return new Page(machines, top.flag("truncated", false));
    }
  }

  /** The ids of the machines that a rental returned. */
  public static List<String> parseRentedIds(JsonNode node) throws MalformedException {
    List<String> ids = new ArrayList<>();
    new Fields(node).node(MACHINES).forEach(id -> ids.add(id.asText()));
    return ids;
  }

  /** The body of a rental request. */
  public static JsonNode rentalRequest(
      String name, String type, String zone, boolean spot, int count) {
    return Json.object()
        .put("hire", name)
        .put(TYPE, type)
        .put(ZONE, zone)
        .put(SPOT, spot)
        .put("number", count);
  }

  /** The body of a deletion. */
  public static JsonNode deletionRequest(List<String> ids) {
    var object = Json.object();
    ids.forEach(object.putArray(MACHINES)::add);
    return object;
  }
}
