package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.wire.Json;

/**
 * The simulated cloud. Its catalog has one machine type, each zone has limited capacity, the list
 * of machines lags behind, and replies can be lost.
 */
final class SimulatedCloud {
  /** Default page size of the list of machines. */
  private static final int MAX_LISTED = 500;

  static final String MACHINE_TYPE = "t8";

  /** Time after which the cloud reports a machine as failed. */
  private static final long FAILURE_REPORT_DELAY_MS = 30_000;

  /** A machine that was rented, as the cloud records it. */
  static final class RentedMachine {
    String id;
    String zone;
    boolean spot;
    long rentedAt;

    /** Time of its termination; {@code Long.MAX_VALUE} while it exists. */
    long terminatedAt = Long.MAX_VALUE;

    /** Whether the cloud reports the machine as failed. */
    boolean failed;

    /** The worker on the machine; null until it has booted. */
    SimulatedWorker worker;

    /** Returns the part of a heartbeat that describes the machine. */
    ObjectNode describe(String address) {
      ObjectNode object = Json.object();
      object.put("drift", id).put("addr", address).put("hull", "t8").put("field", zone);
      return object.put("loaners", spot);
    }
  }

  private final SimulatedCluster cluster;

  /** All machines ever rented, by id. */
  final TreeMap<String, RentedMachine> machines = new TreeMap<>();

  /** Ids of the machines that each rental request received, so that a repetition gets the same. */
  private final Map<String, List<String>> machinesByRequest = new LinkedHashMap<>();

  /** Number of machines still available, by zone and spot flag. */
  private final Map<String, Integer> freeCapacity = new HashMap<>();

  /** Number of calls received, by path. */
  final Map<String, Integer> callsByPath = new HashMap<>();

  /** Number of machines of each kind, spot and ordinary, that a zone offers. */
  int capacityPerZone = 2;

  /** Minimum time from rental to the first heartbeat; the maximum is twice as long. */
  long bootMs = 4_000;

  /** Whether all calls are refused with 503. */
  boolean outage;

  /** Whether the next rental is carried out but its reply is lost. */
  boolean loseNextRentalReply;

  /** Time until a rental or termination shows in the list of machines. */
  long listLagMs = 3_000;

  private int nextMachineNumber = 1;
  private DrawnOrder order;

  SimulatedCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Executes a call and answers it, unless the reply is lost. */
  void handle(Effect.Call call, SimulatedCluster.ReplyHandler reply) {
    callsByPath.merge(call.path(), 1, Integer::sum);
    order = order == null ? new DrawnOrder(cluster.seed) : order;
    if (outage) {
      reply.onReply(Outcome.REFUSED, 503, Json.object().put("error", "trouble"));
    } else if (call.path().equals("/catalog")) {
      reply.onReply(Outcome.ANSWERED, 200, catalog());
    } else if (call.path().equals("/machines")) {
      handleRental(call.body(), reply);
    } else if (call.path().equals("/machines/delete")) {
      for (JsonNode node : call.body().path("drifts")) {
        if (!cluster.seededBugs.contains("keep_deleted")) {
          terminate(node.asText());
        }
      }
      reply.onReply(Outcome.ANSWERED, 200, Json.object());
    } else {
      reply.onReply(Outcome.ANSWERED, 200, list(call.path()));
    }
  }

  /** Returns the catalog, which has a single machine type available in all zones. */
  private JsonNode catalog() {
    ObjectNode object = Json.object();
    ObjectNode machineType = object.putArray("hulls").addObject();
    machineType
        .put("label", MACHINE_TYPE)
        .put("cores", cluster.parameters.cpus())
        .put("cards", 0)
        .put("ram_gb", cluster.parameters.memoryGb());
    machineType
        .put("local_gb", 20)
        .put("pull_gb_per_s", 1.0)
        .put("hourly", 1.0)
        .put("market_price", 0.3);
    machineType.put("ready_s", bootMs / 1000.0);
    ArrayNode zones = machineType.putArray("fields");
    order.apply(cluster.settings[0].zones()).forEach(zones::add);
    return object;
  }

  /** Rents as many of the requested machines as the zone has left; 503 if it has none. */
  private void handleRental(JsonNode body, SimulatedCluster.ReplyHandler reply) {
    String requestName = body.path("hire").asText();
    List<String> ids = machinesByRequest.get(requestName);
    if (ids == null) {
      ids = new ArrayList<>();
      String capacityKey = body.path("field").asText() + body.path("loaners").asBoolean();
      int freeCount = freeCapacity.computeIfAbsent(capacityKey, k -> capacityPerZone);
      int count = Math.min(freeCount, body.path("number").asInt());
      if (count == 0) {
        reply.onReply(Outcome.REFUSED, 503, Json.object().put("error", "no capacity"));
        return;
      }
      freeCapacity.put(capacityKey, freeCount - count);
      for (int i = 0; i < count; i++) {
        ids.add(rent(body.path("field").asText(), body.path("loaners").asBoolean()));
      }
      machinesByRequest.put(requestName, ids);
    }
    ObjectNode object = Json.object();
    order.apply(ids).forEach(object.putArray("drifts")::add);
    if (loseNextRentalReply) {
      loseNextRentalReply = false;
    } else {
      reply.onReply(Outcome.ANSWERED, 200, object);
    }
  }

  /**
   * Rents a machine, whose worker starts to send heartbeats once it has booted.
   *
   * @return the machine's id
   */
  String rent(String zone, boolean spot) {
    RentedMachine machine = new RentedMachine();
    machine.id = String.format("i-%06d", nextMachineNumber++);
    machine.zone = zone;
    machine.spot = spot;
    machine.rentedAt = cluster.now;
    machines.put(machine.id, machine);
    cluster.after(
        cluster.jitter(bootMs),
        () -> {
          if (machine.terminatedAt == Long.MAX_VALUE && !machine.failed) {
            machine.worker = new SimulatedWorker(cluster, machine);
            cluster.workers.put(machine.worker.addr, machine.worker);
            machine.worker.boot();
          }
        });
    return machine.id;
  }

  /** Terminates a machine and its tasks at once, and frees its capacity. */
  void terminate(String id) {
    RentedMachine machine = machines.get(id);
    if (machine == null || machine.terminatedAt != Long.MAX_VALUE) {
      return;
    }
    machine.terminatedAt = cluster.now;
    freeCapacity.merge(machine.zone + machine.spot, 1, Integer::sum);
    if (machine.worker != null) {
      machine.worker.shutDown();
    }
  }

  /** Stops a machine because of a fault; the cloud reports it as failed 30 s later. */
  void fail(RentedMachine machine) {
    if (machine.worker != null) {
      machine.worker.shutDown();
    }
    cluster.after(FAILURE_REPORT_DELAY_MS, () -> machine.failed = true);
  }

  /**
   * Returns one page of the machines that existed {@link #listLagMs} ago, in their present phase.
   */
  private JsonNode list(String path) {
    Map<String, String> query = SimulatedStateService.query(path);
    int maxEntries = Integer.parseInt(query.getOrDefault("most", "" + MAX_LISTED));
    long asOf = cluster.now - listLagMs;
    ObjectNode object = Json.object().put("truncated", false);
    ArrayNode array = object.putArray("drifts");
    for (RentedMachine machine :
        machines.tailMap(query.getOrDefault("since", ""), false).values()) {
      if (machine.rentedAt > asOf || machine.terminatedAt <= asOf) {
        continue;
      }
      if (array.size() == maxEntries) {
        object.put("truncated", true);
        break;
      }
      ObjectNode entry = array.addObject();
      entry
          .put("id", machine.id)
          .put("addr", cluster.parameters.addressByMachine().apply(machine.id))
          .put("hull", MACHINE_TYPE)
          .put("field", machine.zone);
      entry.put("loaners", machine.spot).put("held_s", (asOf - machine.rentedAt) / 1000.0);
      entry.put(
          "phase", machine.failed ? "failed" : machine.worker == null ? "starting" : "running");
    }
    return object;
  }
}
