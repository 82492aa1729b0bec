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
  static final class Rented {
    String id;
    String zone;
    boolean spot;
    long at;
    long goneAt = Long.MAX_VALUE;
    boolean failed;
    SimulatedWorker worker;
  }

  private final SimulatedCluster cluster;
  final TreeMap<String, Rented> machines = new TreeMap<>();
  private final Map<String, List<String>> answeredRequests = new LinkedHashMap<>();
  private final Map<String, Integer> capacity = new HashMap<>();
  final Map<String, Integer> calls = new HashMap<>();
  int perZone = 2;
  long bootMs = 4000;
  boolean outage;
  boolean loseNextRentalReply;
  long listLagMs = 3000;
  private int next = 1;

  SimulatedCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void accept(Effect.Call call, SimulatedCluster.Reply back) {
    calls.merge(call.path(), 1, Integer::sum);
    if (outage) {
      back.on(Outcome.REFUSED, 503, Json.object().put("error", "trouble"));
    } else if (call.path().equals("/catalog")) {
      back.on(Outcome.ANSWERED, 200, catalog());
    } else if (call.path().equals("/machines")) {
      handleRental(call.body(), back);
    } else if (call.path().equals("/machines/delete")) {
      for (JsonNode node : call.body().path("drifts")) {
        if (!cluster.seededBugs.contains("keep_deleted")) {
          end(node.asText());
        }
      }
      back.on(Outcome.ANSWERED, 200, Json.object());
    } else {
      back.on(Outcome.ANSWERED, 200, list(call.path()));
    }
  }

  private JsonNode catalog() {
    ObjectNode object = Json.object();
    ObjectNode t = object.putArray("hulls").addObject();
    t.put("label", "t8")
        .put("cores", cluster.parameters.cpus())
        .put("cards", 0)
        .put("ram_gb", cluster.parameters.memoryGb());
    t.put("local_gb", 20).put("pull_gb_per_s", 1.0).put("hourly", 1.0).put("market_price", 0.3);
    t.put("ready_s", bootMs / 1000.0);
    ArrayNode zones = t.putArray("fields");
    cluster.settings[0].zones().forEach(zones::add);
    return object;
  }

  private void handleRental(JsonNode body, SimulatedCluster.Reply back) {
    String name = body.path("hire").asText();
    List<String> ids = answeredRequests.get(name);
    if (ids == null) {
      ids = new ArrayList<>();
      String kind = body.path("field").asText() + body.path("loaners").asBoolean();
      int free = capacity.computeIfAbsent(kind, k -> perZone);
      int count = Math.min(free, body.path("number").asInt());
      if (count == 0) {
        back.on(Outcome.REFUSED, 503, Json.object().put("error", "no capacity"));
        return;
      }
      capacity.put(kind, free - count);
      for (int i = 0; i < count; i++) {
        ids.add(rent(body.path("field").asText(), body.path("loaners").asBoolean()));
      }
      answeredRequests.put(name, ids);
    }
    ObjectNode object = Json.object();
    ids.forEach(object.putArray("drifts")::add);
    if (loseNextRentalReply) {
      loseNextRentalReply = false;
    } else {
      back.on(Outcome.ANSWERED, 200, object);
    }
  }

  /** Rents a machine; its worker starts to report once it is up. */
  String rent(String zone, boolean spot) {
    Rented r = new Rented();
    r.id = String.format("i-%06d", next++);
    r.zone = zone;
    r.spot = spot;
    r.at = cluster.now;
    machines.put(r.id, r);
    cluster.after(
        cluster.jitter(bootMs),
        () -> {
          if (r.goneAt == Long.MAX_VALUE && !r.failed) {
            r.worker = new SimulatedWorker(cluster, r);
            cluster.workers.put(r.worker.addr, r.worker);
            r.worker.boot();
          }
        });
    return r.id;
  }

  /** The machine and all on it are gone at once. */
  void end(String id) {
    Rented r = machines.get(id);
    if (r == null || r.goneAt != Long.MAX_VALUE) {
      return;
    }
    r.goneAt = cluster.now;
    capacity.merge(r.zone + r.spot, 1, Integer::sum);
    if (r.worker != null) {
      r.worker.die();
    }
  }

  /** The machine stops on its own; the cloud says so about 30 s later. */
  void fail(Rented r) {
    if (r.worker != null) {
      r.worker.die();
    }
    cluster.after(30_000, () -> r.failed = true);
  }

  private JsonNode list(String path) {
    Map<String, String> q = SimulatedStateService.query(path);
    int most = Integer.parseInt(q.getOrDefault("most", "" + MAX_LISTED));
    long asOf = cluster.now - listLagMs;
    ObjectNode object = Json.object().put("truncated", false);
    ArrayNode array = object.putArray("drifts");
    for (Rented r : machines.tailMap(q.getOrDefault("since", ""), false).values()) {
      if (r.at > asOf || r.goneAt <= asOf) {
        continue;
      }
      if (array.size() == most) {
        object.put("truncated", true);
        break;
      }
      ObjectNode n = array.addObject();
      n.put("id", r.id)
          .put("addr", cluster.parameters.addressByMachine().apply(r.id))
          .put("hull", "t8")
          .put("field", r.zone);
      n.put("loaners", r.spot).put("held_s", (asOf - r.at) / 1000.0);
      n.put("phase", r.failed ? "failed" : r.worker == null ? "starting" : "running");
    }
    return object;
  }
}
