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

/** The cloud: a catalog of one type, capacity per zone, a list that lags, lost replies. */
final class SimulatedCloud {
  private static final int MAX_LISTED = 500;

  /** What the cloud knows of a machine. */
  static final class RentedMachine {
    String id;
    String zone;
    boolean spot;
    long rentedAt;
    long terminatedAt = Long.MAX_VALUE;
    boolean failed;
    SimulatedWorker worker;
  }

  private final SimulatedCluster cluster;
  final TreeMap<String, RentedMachine> machines = new TreeMap<>();
  private final Map<String, List<String>> machinesByRequest = new LinkedHashMap<>();
  private final Map<String, Integer> freeCapacity = new HashMap<>();
  final Map<String, Integer> callsByPath = new HashMap<>();
  int capacityPerZone = 2;
  long bootMs = 4000;
  boolean outage;
  boolean loseNextRentalReply;
  long listLagMs = 3000;
  private int nextMachineNumber = 1;

  SimulatedCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void handle(Effect.Call call, SimulatedCluster.ReplyHandler reply) {
    callsByPath.merge(call.path(), 1, Integer::sum);
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

  private JsonNode catalog() {
    ObjectNode object = Json.object();
    ObjectNode machineType = object.putArray("hulls").addObject();
    machineType
        .put("label", "t8")
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
    cluster.settings[0].zones().forEach(zones::add);
    return object;
  }

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
    ids.forEach(object.putArray("drifts")::add);
    if (loseNextRentalReply) {
      loseNextRentalReply = false;
    } else {
      reply.onReply(Outcome.ANSWERED, 200, object);
    }
  }

  /** Rents a machine; its worker starts to report once it is up. */
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

  /** The machine and all on it are gone at once. */
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

  /** The machine stops on its own; the cloud says so about 30 s later. */
  void fail(RentedMachine machine) {
    if (machine.worker != null) {
      machine.worker.shutDown();
    }
    cluster.after(30_000, () -> machine.failed = true);
  }

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
          .put("addr", cluster.parameters.addresses().apply(machine.id))
          .put("hull", "t8")
          .put("field", machine.zone);
      entry.put("loaners", machine.spot).put("held_s", (asOf - machine.rentedAt) / 1000.0);
      entry.put(
          "phase", machine.failed ? "failed" : machine.worker == null ? "starting" : "running");
    }
    return object;
  }
}
