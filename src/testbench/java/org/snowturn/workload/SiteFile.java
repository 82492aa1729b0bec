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

/** Content of a deployment file, with the changes that make a copy of another size. */
final class SiteFile {
  private static final TomlMapper TOML = new TomlMapper();

  /** Fields that hold numbers of machines or jobs, which are multiplied by the size. */
  private static final Set<String> COUNT_FIELDS = Set.of("count", "spot", "initial");

  private final ObjectNode root;

  private SiteFile(ObjectNode root) {
    this.root = root;
  }

  /**
   * Reads a deployment file.
   *
   * @throws BadInput if it cannot be read, or is no deployment file; the message is one line
   */
  static SiteFile read(Path file) throws BadInput {
    try {
      JsonNode node = TOML.readTree(file.toFile());
      if (!(node instanceof ObjectNode object)
          || !node.path("jobs").isArray()
          || !node.path("nodes").isObject()) {
        throw new BadInput(file + ": not a deployment file: [nodes] or [[jobs]] is missing");
      }
      replaceDecimals(object);
      return new SiteFile(object);
    } catch (IOException e) {
      String firstLine = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new BadInput(file + ": cannot be read as TOML: " + firstLine);
    }
  }

  /**
   * Replaces all decimal numbers by doubles. The mapper would write the decimals that it reads with
   * exponents, which some readers of these files reject.
   */
  private static void replaceDecimals(JsonNode node) {
    if (node instanceof ObjectNode object) {
      for (String field : List.copyOf(fieldNames(object))) {
        if (object.get(field).isFloatingPointNumber()) {
          object.put(field, object.get(field).doubleValue());
        } else {
          replaceDecimals(object.get(field));
        }
      }
    } else if (node instanceof ArrayNode array) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i).isFloatingPointNumber()) {
          array.set(i, array.get(i).doubleValue());
        } else {
          replaceDecimals(array.get(i));
        }
      }
    }
  }

  private static List<String> fieldNames(ObjectNode object) {
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    return names;
  }

  /**
   * Multiplies the numbers of machines, of jobs at the start and of arrivals. The limits of the
   * controllers stay.
   *
   * @param size the factor, above 0 and at most 100
   */
  void scaleLoad(double size) throws BadInput {
    if (!(size > 0) || size > 100) {
      throw new BadInput("--size: " + size + " is not above 0 and at most 100");
    }
    for (String list : List.of("capacity", "machines", "jobs")) {
      for (JsonNode node : root.path(list)) {
        for (String field : COUNT_FIELDS) {
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
   * Multiplies the limits of the controllers, the state service and the cloud. The share of a core
   * that a controller may use stays at most 1.
   *
   * @param factor the factor, from 1 to 100
   */
  void scaleLimits(double factor) throws BadInput {
    if (!(factor >= 1) || factor > 100) {
      throw new BadInput("--limits: " + factor + " is not between 1 and 100");
    }
    multiply("nodes", "cpu_share", factor);
    multiply("nodes", "memory_mb", factor);
    multiply("nodes", "max_connections", factor);
    multiply("state", "rps", factor);
    multiply("state", "write_rps", factor);
    multiply("cloud", "rps", factor);
    ObjectNode nodes = (ObjectNode) root.path("nodes");
    nodes.put("cpu_share", Math.min(1, nodes.path("cpu_share").asDouble(1)));
  }

  private void multiply(String table, String field, double factor) {
    if (root.path(table).path(field).isIntegralNumber()) {
      ((ObjectNode) root.path(table))
          .put(field, Math.round(root.path(table).path(field).asDouble() * factor));
    } else if (root.path(table).path(field).isNumber()) {
      ((ObjectNode) root.path(table)).put(field, root.path(table).path(field).asDouble() * factor);
    }
  }

  /** Sets the length of a day. Very large copies can only be played for a short time. */
  void setDuration(double durationS) throws BadInput {
    if (!(durationS > 0)) {
      throw new BadInput("--duration: " + durationS + " s is not above 0");
    }
    root.put("duration_s", durationS);
  }

  /** Sets the time after which a controller process that ended is started again. */
  void setRestartDelay(double delayS) throws BadInput {
    if (!(delayS >= 0)) {
      throw new BadInput("--restart: " + delayS + " s is below 0");
    }
    ((ObjectNode) root.path("nodes")).put("restart_delay_s", delayS);
  }

  /** Multiplies the arrival rate of one class of jobs. */
  void scaleArrivals(String jobClass, double factor) throws BadInput {
    boolean found = false;
    for (JsonNode node : root.path("jobs")) {
      if (node.path("name").asText().equals(jobClass)
          && node.path("arrivals").path("rate").isNumber()) {
        ObjectNode arrivals = (ObjectNode) node.path("arrivals");
        arrivals.put("rate", arrivals.path("rate").asDouble() * factor);
        found = true;
      }
    }
    if (!found) {
      throw new BadInput("--mix: no [[jobs]] named \"" + jobClass + "\" with arrivals.rate");
    }
  }

  /** Sets the weight of a team, and adds the team if the site lacks it. */
  void setTeamWeight(String team, double weight) throws BadInput {
    if (!(weight > 0)) {
      throw new BadInput("--team: weight " + weight + " of \"" + team + "\" is not above 0");
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

  /** Returns the names of the classes of jobs. */
  Set<String> jobClasses() {
    return names("jobs", "name");
  }

  /** Returns the names of the zones that have machines. */
  Set<String> zones() {
    return names("capacity", "zone");
  }

  /** Returns the names of the machine types. */
  Set<String> machineTypes() {
    return names("machine_types", "name");
  }

  private Set<String> names(String list, String field) {
    Set<String> names = new TreeSet<>();
    root.path(list).forEach(node -> names.add(node.path(field).asText()));
    return names;
  }

  /** Returns the length of a day in seconds. */
  double durationS() {
    return root.path("duration_s").asDouble(500);
  }

  /** Returns the time at the start of a day without faults, in seconds. */
  double warmupS() {
    return root.path("warmup_s").asDouble(80);
  }

  /** Returns the number of controllers. */
  int nodeCount() {
    return root.path("nodes").path("count").asInt(3);
  }

  /** Returns all faults of the site's days, by kind. */
  Map<String, List<ObjectNode>> faultsByKind() {
    Map<String, List<ObjectNode>> faults = new TreeMap<>();
    for (JsonNode day : root.path("day")) {
      for (JsonNode fault : day.path("faults")) {
        if (fault instanceof ObjectNode object) {
          faults
              .computeIfAbsent(fault.path("kind").asText(), kind -> new ArrayList<>())
              .add(object);
        }
      }
    }
    return faults;
  }

  /** Returns the faults of the resource days/meetings.toml, which site files need not list. */
  static List<ObjectNode> additionalFaults() throws IOException {
    List<ObjectNode> faults = new ArrayList<>();
    try (InputStream in = SiteFile.class.getResourceAsStream("/days/meetings.toml")) {
      TOML.readTree(in).path("faults").forEach(fault -> faults.add((ObjectNode) fault));
    }
    return faults;
  }

  /** Returns the names of the classes whose jobs are arrays. */
  Set<String> arrayClasses() {
    Set<String> names = new TreeSet<>();
    for (JsonNode node : root.path("jobs")) {
      if (node.path("kind").asText().equals("array")) {
        names.add(node.path("name").asText());
      }
    }
    return names;
  }

  /** Returns the first day that has teams of its own (guests), or null if no day has any. */
  ObjectNode dayWithGuests() {
    for (JsonNode day : root.path("day")) {
      if (day instanceof ObjectNode object && day.has("teams")) {
        return object;
      }
    }
    return null;
  }

  /**
   * Checks that the site has the job class, zone and machine type that a fault refers to.
   *
   * @throws BadInput if it lacks one of them
   */
  void checkReferences(JsonNode fault) throws BadInput {
    checkReferences(fault, "class", jobClasses());
    checkReferences(fault, "zone", zones());
    checkReferences(fault, "type", machineTypes());
  }

  private static void checkReferences(JsonNode fault, String field, Set<String> known)
      throws BadInput {
    if (fault.has(field) && !known.contains(fault.path(field).asText())) {
      throw new BadInput(
          "fault "
              + fault.path("kind").asText()
              + ": the site has no "
              + field
              + " \""
              + fault.path(field).asText()
              + "\"");
    }
  }

  /** Writes the deployment file with all changes. */
  void write(Path to) throws IOException {
    write(root, to);
  }

  /** Writes a TOML file and creates its directory if necessary. */
  static void write(ObjectNode object, Path to) throws IOException {
    if (to.toAbsolutePath().getParent() != null) {
      Files.createDirectories(to.toAbsolutePath().getParent());
    }
    TOML.writeValue(to.toFile(), object);
  }

  /** Invalid option or file given by the caller; the message is one line. */
  static final class BadInput extends Exception {
    private static final long serialVersionUID = 1;

    BadInput(String message) {
      super(message);
    }
  }
}
