import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.TreeMap;

/** The cloud, as the protocol describes it. */
final class Cloud {
  /** A machine type. */
  record Hull(
      String label,
      double cores,
      double ramGb,
      double localGb,
      double pullGbPerS,
      double hourly,
      double marketPrice,
      double readyS,
      List<String> fields) {}

  /** A rented machine. */
  static final class Machine {
    String id;
    Hull hull;
    String field;
    boolean loaners;
    int port;
    long hiredAt;
    long upAt = Long.MAX_VALUE;
    long goneAt = Long.MAX_VALUE;
    long failedAt = Long.MAX_VALUE;
    Worker worker;
  }

  private static final long FAILURE_SHOWS_AFTER_MS = 30_000;

  private final RunRecord record;
  private final Jobs jobs;
  private final Worker.Timing timing;
  private final Map<String, String> nodes;
  private final double rps;
  private final double listLagS;
  private final List<Hull> hulls;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> hires = new HashMap<>();
  private final Map<String, Integer> room = new HashMap<>();
  private final Timer timer = new Timer(true);
  private final Map<String, Integer> asked = new HashMap<>();
  private double callsLeft;
  private long refilledAt = Jobs.nowMs();
  private int lastNumber;

  /** Machines that can be rented of each type, zone and kind, unless set otherwise. */
  int usualRoom = 4;

  Cloud(
      RunRecord record,
      Jobs jobs,
      Worker.Timing timing,
      Map<String, String> nodes,
      double rps,
      double listLagS,
      List<Hull> hulls) {
    this.record = record;
    this.jobs = jobs;
    this.timing = timing;
    this.nodes = nodes;
    this.rps = rps;
    this.listLagS = listLagS;
    this.hulls = hulls;
    callsLeft = 2 * rps;
  }

  private static String pool(String hull, String field, boolean loaners) {
    return hull + " in " + field + (loaners ? " (spot)" : " (ordinary)");
  }

  /** Sets how many more machines of a type, zone and kind can be rented. */
  synchronized void setRoom(String hull, String field, boolean loaners, int count) {
    room.put(pool(hull, field, loaners), count);
  }

  synchronized int room(String hull, String field, boolean loaners) {
    return room.getOrDefault(pool(hull, field, loaners), usualRoom);
  }

  /** Returns how many requests for machines in a zone have arrived. */
  synchronized int requestsIn(String field) {
    return asked.getOrDefault(field, 0);
  }

  /** Adds a machine that is up from the start; it was rented an hour ago. */
  synchronized Machine addUp(Hull hull, String field, boolean loaners) throws IOException {
    Machine machine = hire(hull, field, loaners);
    machine.hiredAt = Jobs.nowMs() - 3_600_000;
    machine.upAt = machine.hiredAt + 1_000;
    boot(machine);
    return machine;
  }

  private Machine hire(Hull hull, String field, boolean loaners) throws IOException {
    Machine machine = new Machine();
    machine.id = String.format("i-%06d", ++lastNumber);
    machine.hull = hull;
    machine.field = field;
    machine.loaners = loaners;
    machine.port = Http.freePort();
    machine.hiredAt = Jobs.nowMs();
    machines.put(machine.id, machine);
    return machine;
  }

  private void boot(Machine machine) throws IOException {
    machine.worker =
        new Worker(
            record,
            jobs,
            timing,
            nodes,
            machine.id,
            machine.hull,
            machine.field,
            machine.loaners,
            machine.port);
    record.line(
        "machine  %s is up: %s",
        machine.id, pool(machine.hull.label, machine.field, machine.loaners));
  }

  /** A machine stops on its own. */
  void fail(Machine machine) {
    synchronized (this) {
      machine.failedAt = Jobs.nowMs();
    }
    machine.worker.die("it has stopped on its own");
  }

  synchronized List<Machine> present() {
    return machines.values().stream()
        .filter(machine -> machine.goneAt == Long.MAX_VALUE && machine.failedAt == Long.MAX_VALUE)
        .toList();
  }

  synchronized List<Machine> all() {
    return List.copyOf(machines.values());
  }

  Http.Handler door() {
    return (method, path, query, body, bytes) -> {
      Thread.sleep(80);
      synchronized (this) {
        return handle(method, path, query, body);
      }
    };
  }

  private Http.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) throws IOException {
    long now = Jobs.nowMs();
    callsLeft = Math.min(2 * rps, callsLeft + (now - refilledAt) / 1000.0 * rps);
    refilledAt = now;
    if (callsLeft < 1) {
      return Http.Answer.of(429, null);
    }
    callsLeft -= 1;
    if (path.equals("/catalog")) {
      return Http.Answer.of(200, catalog());
    }
    if (path.equals("/machines/delete")) {
      for (JsonNode id : body.path("drifts")) {
        delete(id.asText());
      }
      return Http.Answer.of(200, Http.object());
    }
    if (path.equals("/machines") && method.equals("POST")) {
      return rent(body);
    }
    if (path.equals("/machines")) {
      return Http.Answer.of(200, list(query));
    }
    return Http.Answer.of(404, null);
  }

  private JsonNode catalog() {
    ObjectNode catalog = Http.object();
    ArrayNode list = catalog.putArray("hulls");
    for (Hull hull : hulls) {
      ObjectNode node = list.addObject();
      node.put("label", hull.label).put("cores", hull.cores).put("cards", 0.0);
      node.put("ram_gb", hull.ramGb).put("local_gb", hull.localGb);
      node.put("pull_gb_per_s", hull.pullGbPerS).put("hourly", hull.hourly);
      node.put("market_price", hull.marketPrice).put("ready_s", hull.readyS);
      ArrayNode fields = node.putArray("fields");
      hull.fields.forEach(fields::add);
    }
    return catalog;
  }

  private void delete(String id) {
    Machine machine = machines.get(id);
    if (machine == null || machine.goneAt != Long.MAX_VALUE) {
      return;
    }
    machine.goneAt = Jobs.nowMs();
    String pool = pool(machine.hull.label, machine.field, machine.loaners);
    room.put(pool, room.getOrDefault(pool, usualRoom) + 1);
    record.line("cloud    %s is deleted", id);
    if (machine.worker != null) {
      machine.worker.die("deleted");
    }
  }

  private Http.Answer rent(JsonNode body) throws IOException {
    String name = body.path("hire").asText();
    if (hires.containsKey(name)) {
      return rented(hires.get(name));
    }
    Hull hull =
        hulls.stream()
            .filter(known -> known.label.equals(body.path("hull").asText()))
            .findFirst()
            .orElse(null);
    String field = body.path("field").asText();
    if (hull == null || !hull.fields.contains(field)) {
      return Http.Answer.of(400, null);
    }
    boolean loaners = body.path("loaners").asBoolean();
    String pool = pool(hull.label, field, loaners);
    asked.merge(field, 1, Integer::sum);
    int count =
        Math.min(
            Math.min(50, body.path("number").asInt()), room.getOrDefault(pool, usualRoom));
    record.line(
        "cloud    asked for %d %s: %d are rented", body.path("number").asInt(), pool, count);
    if (count <= 0) {
      return Http.Answer.of(503, Http.object().put("error", "no capacity"));
    }
    room.put(pool, room.getOrDefault(pool, usualRoom) - count);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Machine machine = hire(hull, field, loaners);
      ids.add(machine.id);
      long bootMs = (long) (hull.readyS * 1000);
      timer.schedule(
          new TimerTask() {
            @Override
            public void run() {
              synchronized (Cloud.this) {
                if (machine.goneAt == Long.MAX_VALUE) {
                  machine.upAt = Jobs.nowMs();
                  try {
                    boot(machine);
                  } catch (IOException e) {
                    record.line("machine  %s can't start: %s", machine.id, e);
                  }
                }
              }
            }
          },
          bootMs);
    }
    hires.put(name, ids);
    return rented(ids);
  }

  private static Http.Answer rented(List<String> ids) {
    ObjectNode answer = Http.object();
    ArrayNode list = answer.putArray("drifts");
    ids.forEach(list::add);
    return Http.Answer.of(200, answer);
  }

  private JsonNode list(Map<String, String> query) {
    long asOf = Jobs.nowMs() - (long) (listLagS * 1000);
    int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
    ObjectNode answer = Http.object();
    ArrayNode list = answer.putArray("drifts");
    boolean isTruncated = false;
    for (Machine machine : machines.tailMap(query.getOrDefault("since", ""), false).values()) {
      if (machine.hiredAt > asOf || machine.goneAt <= asOf) {
        continue;
      }
      if (list.size() == most) {
        isTruncated = true;
        break;
      }
      ObjectNode node = list.addObject();
      node.put("id", machine.id).put("addr", "127.0.0.1:" + machine.port);
      node.put("hull", machine.hull.label).put("field", machine.field);
      node.put("loaners", machine.loaners);
      boolean isFailed =
          machine.failedAt != Long.MAX_VALUE && machine.failedAt + FAILURE_SHOWS_AFTER_MS <= asOf;
      node.put(
          "phase", isFailed ? "failed" : machine.upAt <= asOf ? "running" : "starting");
      node.put("held_s", (asOf - machine.hiredAt) / 1000.0);
    }
    answer.put("truncated", isTruncated);
    return answer;
  }
}
