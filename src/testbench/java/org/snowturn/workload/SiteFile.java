package org.snowturn.workload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A deployment's file, as far as a copy of another size and days of one's own need it. */
final class SiteFile {
  private static final TomlMapper TOML = new TomlMapper();

  /** What is counted in machines, jobs or starts, and grows with the size. */
  private static final Set<String> COUNTS = Set.of("count", "spot", "initial");

  private final ObjectNode root;

  private SiteFile(ObjectNode root) {
    this.root = root;
  }

  /**
   * Reads a file.
   *
   * @throws BadInput if it is none, in one line that says why
   */
  static SiteFile read(Path file) throws BadInput {
    try {
      JsonNode node = TOML.readTree(file.toFile());
      if (!(node instanceof ObjectNode object)
          || !node.path("jobs").isArray()
          || !node.path("nodes").isObject()) {
        throw new BadInput(file + ": no [nodes] or no [[jobs]] in it");
      }
      asDoubles(object);
      return new SiteFile(object);
    } catch (IOException e) {
      String first = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new BadInput(file + ": " + first);
    }
  }

  /** Fractions as they are read would be written in a form that not every reader takes. */
  private static void asDoubles(JsonNode node) {
    if (node instanceof ObjectNode object) {
      for (String field : List.copyOf(fieldsOf(object))) {
        if (object.get(field).isFloatingPointNumber()) {
          object.put(field, object.get(field).doubleValue());
        } else {
          asDoubles(object.get(field));
        }
      }
    } else if (node instanceof ArrayNode array) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i).isFloatingPointNumber()) {
          array.set(i, array.get(i).doubleValue());
        } else {
          asDoubles(array.get(i));
        }
      }
    }
  }

  private static List<String> fieldsOf(ObjectNode object) {
    List<String> out = new ArrayList<>();
    object.fieldNames().forEachRemaining(out::add);
    return out;
  }

  /** Machines, jobs at the start and arrivals so many times; what the controllers have stays. */
  void scaleLoad(double size) throws BadInput {
    if (!(size > 0) || size > 100) {
      throw new BadInput("--size: " + size + " is no size");
    }
    for (String list : List.of("capacity", "machines", "jobs")) {
      for (JsonNode node : root.path(list)) {
        for (String field : COUNTS) {
          if (node.path(field).isNumber()) {
            ((ObjectNode) node).put(field, Math.round(node.path(field).asDouble() * size));
          }
        }
      }
    }
    for (String list : List.of("jobs", "pipelines")) {
      for (JsonNode node : root.path(list)) {
        if (node.path("arrivals").path("rate").isNumber()) {
          ObjectNode arrivals = (ObjectNode) node.path("arrivals");
          arrivals.put("rate", arrivals.path("rate").asDouble() * size);
        }
      }
    }
  }

  /**
   * What the controllers, the state service and the cloud may do, so many times; of its core a
   * controller gets no more than all.
   */
  void scaleLimits(double times) throws BadInput {
    if (!(times >= 1) || times > 100) {
      throw new BadInput("--limits: " + times + " is not between 1 and 100");
    }
    multiply("nodes", "cpu_share", times);
    multiply("nodes", "memory_mb", times);
    multiply("nodes", "max_connections", times);
    multiply("state", "rps", times);
    multiply("state", "write_rps", times);
    multiply("cloud", "rps", times);
    ObjectNode nodes = (ObjectNode) root.path("nodes");
    nodes.put("cpu_share", Math.min(1, nodes.path("cpu_share").asDouble(1)));
  }

  private void multiply(String table, String field, double times) {
    if (root.path(table).path(field).isIntegralNumber()) {
      ((ObjectNode) root.path(table))
          .put(field, Math.round(root.path(table).path(field).asDouble() * times));
    } else if (root.path(table).path(field).isNumber()) {
      ((ObjectNode) root.path(table)).put(field, root.path(table).path(field).asDouble() * times);
    }
  }

  /** So long a day, for copies that are too large to be played for longer. */
  void setDuration(double seconds) throws BadInput {
    if (!(seconds > 0)) {
      throw new BadInput("--duration: " + seconds + " s is no time");
    }
    root.put("duration_s", seconds);
  }

  /** A process that ends is back after this time. */
  void setRestartDelay(double seconds) throws BadInput {
    if (!(seconds >= 0)) {
      throw new BadInput("--restart: " + seconds + " s is no time");
    }
    ((ObjectNode) root.path("nodes")).put("restart_delay_s", seconds);
  }

  /** One class so many times as often, beside the others. */
  void scaleArrivals(String jobClass, double times) throws BadInput {
    boolean found = false;
    for (JsonNode node : root.path("jobs")) {
      if (node.path("name").asText().equals(jobClass)
          && node.path("arrivals").path("rate").isNumber()) {
        ObjectNode arrivals = (ObjectNode) node.path("arrivals");
        arrivals.put("rate", arrivals.path("rate").asDouble() * times);
        found = true;
      }
    }
    if (!found) {
      throw new BadInput("--mix: no class " + jobClass + " with arrivals");
    }
  }

  /** One team's weight among the others; a team that is not there yet is added. */
  void setTeamWeight(String team, double weight) throws BadInput {
    if (!(weight > 0)) {
      throw new BadInput("--team: " + weight + " is no weight");
    }
    for (JsonNode node : root.path("teams")) {
      if (node.path("name").asText().equals(team)) {
        ((ObjectNode) node).put("weight", weight);
        return;
      }
    }
    ArrayNode teams = root.withArray("/teams");
    teams.addObject().put("name", team).put("weight", weight);
  }

  /** The names of classes. */
  Set<String> jobClasses() {
    return names("jobs", "name");
  }

  Set<String> zones() {
    return names("capacity", "zone");
  }

  Set<String> machineTypes() {
    return names("machine_types", "name");
  }

  private Set<String> names(String list, String field) {
    Set<String> out = new TreeSet<>();
    root.path(list).forEach(node -> out.add(node.path(field).asText()));
    return out;
  }

  double durationS() {
    return root.path("duration_s").asDouble(500);
  }

  double warmupS() {
    return root.path("warmup_s").asDouble(80);
  }

  int nodeCount() {
    return root.path("nodes").path("count").asInt(3);
  }

  /** All troubles that its days name, by kind. */
  Map<String, List<ObjectNode>> faultsByKind() {
    Map<String, List<ObjectNode>> out = new TreeMap<>();
    for (JsonNode day : root.path("day")) {
      for (JsonNode f : day.path("faults")) {
        if (f instanceof ObjectNode object) {
          out.computeIfAbsent(f.path("kind").asText(), k -> new ArrayList<>()).add(object);
        }
      }
    }
    return out;
  }

  /** Troubles that no site need name, of the users' page of meetings. */
  static List<ObjectNode> additionalFaults() throws IOException {
    List<ObjectNode> out = new ArrayList<>();
    try (InputStream in = SiteFile.class.getResourceAsStream("/days/meetings.toml")) {
      TOML.readTree(in).path("faults").forEach(f -> out.add((ObjectNode) f));
    }
    return out;
  }

  /** The names of classes of arrays. */
  Set<String> arrayClasses() {
    Set<String> out = new TreeSet<>();
    for (JsonNode node : root.path("jobs")) {
      if (node.path("kind").asText().equals("array")) {
        out.add(node.path("name").asText());
      }
    }
    return out;
  }

  /** The first of its days on which a guest team comes; null if there is none. */
  ObjectNode dayWithGuests() {
    for (JsonNode day : root.path("day")) {
      if (day instanceof ObjectNode object && day.has("teams")) {
        return object;
      }
    }
    return null;
  }

  /** The names that a trouble refers to, checked against this site. */
  void checkReferences(JsonNode fault) throws BadInput {
    checkReferences(fault, "class", jobClasses());
    checkReferences(fault, "zone", zones());
    checkReferences(fault, "type", machineTypes());
  }

  private static void checkReferences(JsonNode fault, String field, Set<String> known)
      throws BadInput {
    if (fault.has(field) && !known.contains(fault.path(field).asText())) {
      throw new BadInput(
          fault.path("kind").asText() + ": unknown " + field + " " + fault.path(field).asText());
    }
  }

  void write(Path to) throws IOException {
    write(root, to);
  }

  static void write(ObjectNode object, Path to) throws IOException {
    if (to.toAbsolutePath().getParent() != null) {
      Files.createDirectories(to.toAbsolutePath().getParent());
    }
    TOML.writeValue(to.toFile(), object);
  }

  /** Something that the caller got wrong; the message is one line. */
  static final class BadInput extends Exception {
    private static final long serialVersionUID = 1;

    BadInput(String message) {
      super(message);
    }
  }
}
