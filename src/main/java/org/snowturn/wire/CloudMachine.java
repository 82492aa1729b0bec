package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine in the cloud's list of machines.
 *
 * @param address address of the worker; null if the cloud has not assigned one yet
 * @param type name of the machine type
 * @param spot whether it is a spot machine, which the cloud may take back
 * @param ageS seconds since the machine was rented
 */
public record CloudMachine(
    String id, String address, String type, String zone, boolean spot, State state, double ageS) {
  private static final String MACHINES = "drifts";
  private static final String TYPE = "hull";
  private static final String ZONE = "field";
  private static final String SPOT = "loaners";
  private static final double MAX_AGE_S = 1e12;

  /** State of a machine as reported by the cloud. */
  public enum State {
    STARTING,
    RUNNING,
    FAILED
  }

  /**
   * One page of the list of machines.
   *
   * @param hasMore whether the list continues after this page
   */
  public record Page(List<CloudMachine> machines, boolean hasMore) {
    /**
     * Parses a page.
     *
     * @throws MalformedException if a required field is missing or a value is invalid
     */
    public static Page parse(JsonNode node) throws MalformedException {
      List<CloudMachine> machines = new ArrayList<>();
      Fields pageFields = new Fields(node);
      for (JsonNode machine : pageFields.node(MACHINES)) {
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
      return new Page(machines, pageFields.flag("truncated", false));
    }
  }

  /** Returns the ids of the machines in the reply to a rental request. */
  public static List<String> parseRentedIds(JsonNode node) throws MalformedException {
    List<String> ids = new ArrayList<>();
    new Fields(node).node(MACHINES).forEach(id -> ids.add(id.asText()));
    return ids;
  }

  /**
   * Returns the body of a rental request.
   *
   * @param name name of the request; repeating it does not rent further machines
   * @param count number of machines
   */
  public static JsonNode rentalRequest(
      String name, String type, String zone, boolean spot, int count) {
    return Json.object()
        .put("hire", name)
        .put(TYPE, type)
        .put(ZONE, zone)
        .put(SPOT, spot)
        .put("number", count);
  }

  /** Returns the body of a request to delete the machines with these ids. */
  public static JsonNode deletionRequest(List<String> ids) {
    var object = Json.object();
    ids.forEach(object.putArray(MACHINES)::add);
    return object;
  }
}
