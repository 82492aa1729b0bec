package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A cloud as PROTOCOL describes it, with one machine type and a small number of machines. */
final class Cloud implements AutoCloseable {
  /** A machine type with its capacity in each zone, for ordinary and spot machines alike. */
  record Type(
      String label,
      double cores,
      double ramGb,
      double cacheGb,
      double pullGbPerS,
      double readyS,
      double hourly,
      double marketPrice,
      int perPool) {}

  /** "At times machines are up within a second or two": all machines of a run are. */
  private static final double BOOT_S = 2;

  private record Machine(
      String id, Type type, String zone, boolean spot, long hiredAt, Worker worker) {}

  private final Deployment deployment;
  private final List<Type> types;
  private final List<String> zones;
  private final double listLagS;
  private final Map<String, ArrayNode> hires = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private int nextId = 1;

  Cloud(Deployment deployment, List<Type> types, List<String> zones, double listLagS) {
    this.deployment = deployment;
    this.types = types;
    this.zones = zones;
    this.listLagS = listLagS;
  }

  int open() throws Exception {
    HttpServer server = Net.server(0, this::handle);
    servers.add(server);
    return server.getAddress().getPort();
  }

  private Worker add(Type type, String zone, boolean spot, double bootS) {
    String id = String.format("i-%06d", nextId++);
    Worker worker = new Worker(deployment, id, type, zone, spot);
    long hiredAt = Net.nowMs() - (bootS == 0 ? 3_600_000 : 0);
    machines.put(id, new Machine(id, type, zone, spot, hiredAt, worker));
    worker.boot((long) (bootS * 1000));
    return worker;
  }

  synchronized List<Worker> workers() {
    List<Worker> workers = new ArrayList<>();
    machines.values().forEach(machine -> workers.add(machine.worker));
    return workers;
  }

  private void handle(HttpExchange exchange) throws Exception {
    JsonNode body = Net.parse(exchange.getRequestBody().readAllBytes());
    Net.sleep(50);
    String path = exchange.getRequestURI().getPath();
    boolean isPost = exchange.getRequestMethod().equals("POST");
    if (path.equals("/catalog")) {
      Net.reply(exchange, 200, catalog());
    } else if (path.equals("/machines") && isPost) {
      hire(exchange, body);
    } else if (path.equals("/machines/delete") && isPost) {
      delete(exchange, body);
    } else if (path.equals("/machines")) {
      list(exchange, Net.query(exchange.getRequestURI().getRawQuery()));
    } else {
      Net.reply(exchange, 400, null);
    }
  }

  private ObjectNode catalog() {
    ObjectNode object = Net.object();
    ArrayNode hulls = object.putArray("hulls");
    for (Type type : types) {
      ObjectNode hull = hulls.addObject().put("label", type.label);
      hull.put("cores", type.cores).put("cards", 0).put("ram_gb", type.ramGb);
      hull.put("local_gb", type.cacheGb).put("pull_gb_per_s", type.pullGbPerS);
      hull.put("hourly", type.hourly).put("market_price", type.marketPrice);
      hull.put("ready_s", type.readyS);
      zones.forEach(hull.putArray("fields")::add);
    }
    return object;
  }

  private void hire(HttpExchange exchange, JsonNode body) throws Exception {
    ArrayNode ids;
    synchronized (this) {
      ids = hires.get(body.path("hire").asText());
      if (ids == null) {
        ids = Net.array();
        Type type = null;
        for (Type candidate : types) {
          type = candidate.label.equals(body.path("hull").asText()) ? candidate : type;
        }
        String zone = body.path("field").asText();
        boolean spot = body.path("loaners").asBoolean();
        int used = 0;
        for (Machine machine : machines.values()) {
          used +=
              machine.type == type && machine.zone.equals(zone) && machine.spot == spot ? 1 : 0;
        }
        int count =
            type == null
                ? 0
                : Math.min(body.path("number").asInt(), Math.max(0, type.perPool - used));
        for (int i = 0; i < count; i++) {
          ids.add(add(type, zone, spot, BOOT_S).id);
        }
        if (!ids.isEmpty()) {
          hires.put(body.path("hire").asText(), ids);
        }
      }
    }
    if (ids.isEmpty()) {
      Net.reply(exchange, 503, Net.object().put("error", "no capacity"));
    } else {
      deployment.record("cloud", "hired " + ids + " " + body);
      Net.reply(exchange, 200, Net.object().set("drifts", ids));
    }
  }

  private void delete(HttpExchange exchange, JsonNode body) throws Exception {
    synchronized (this) {
      for (JsonNode id : body.path("drifts")) {
        Machine machine = machines.remove(id.asText());
        if (machine != null) {
          machine.worker.shutDown();
          deployment.record("cloud", "deleted " + id.asText());
        }
      }
    }
    Net.reply(exchange, 200, Net.object());
  }

  private void list(HttpExchange exchange, Map<String, String> query) throws Exception {
    String since = query.getOrDefault("since", "");
    int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
    ObjectNode object = Net.object();
    ArrayNode drifts = object.putArray("drifts");
    boolean truncated = false;
    synchronized (this) {
      long now = Net.nowMs();
      Map<String, Machine> listed = new LinkedHashMap<>(machines);
      for (Machine machine : listed.values()) {
        if (machine.id.compareTo(since) <= 0 || now - machine.hiredAt < listLagS * 1000) {
          continue;
        }
        if (drifts.size() >= most) {
          truncated = true;
          break;
        }
        ObjectNode drift = drifts.addObject().put("id", machine.id);
        drift.put("addr", machine.worker.addr()).put("hull", machine.type.label);
        drift.put("field", machine.zone).put("loaners", machine.spot);
        drift.put("phase", machine.worker.isUp() ? "running" : "starting");
        drift.put("held_s", (now - machine.hiredAt) / 1000.0);
      }
    }
    Net.reply(exchange, 200, object.put("truncated", truncated));
  }

  /** Returns the machines that are up and have no task, with their types. */
  synchronized List<String> idleMachines() {
    List<String> idle = new ArrayList<>();
    for (Machine machine : machines.values()) {
      if (machine.worker.isUp() && machine.worker.isIdle()) {
        idle.add(machine.id + " " + machine.type.label + " " + machine.zone);
      }
    }
    return idle;
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    workers().forEach(Worker::shutDown);
  }
}
