package org.snowturn.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/** Creates job ids and specifications for simulated users. */
final class SimulatedJobs {
  private static final String ID_PREFIX = "wk-";

  private SimulatedJobs() {}

  /** Returns the job id with a number. */
  static String id(long number) {
    return String.format("wk-%06d", number);
  }

  /**
   * Returns the number of a job id.
   *
   * @throws IllegalArgumentException if the string is not a job id
   */
  static long number(String id) {
    if (!id.startsWith(ID_PREFIX)) {
      throw new IllegalArgumentException(
          "job id \"" + id + "\": expected " + ID_PREFIX + " followed by a number");
    }
    return Long.parseLong(id.substring(ID_PREFIX.length()));
  }

  /**
   * Returns a specification.
   *
   * @param shape {@code batch} or {@code service}
   * @param options values that differ from the default, a job of one small task, by the option
   *     names of scenarios
   * @param dependencies ids of the jobs that must be done before this one starts
   */
  static JobSpec spec(
      String id, String shape, Map<String, String> options, List<String> dependencies) {
    ObjectNode node = Json.object();
    node.put("id", id)
        .put("jobclass", options.getOrDefault("class", "c"))
        .put("owner", options.getOrDefault("team", "t"));
    node.put("shape", shape).put("rank", options.getOrDefault("rank", "high"));
    node.put("flakes", Integer.parseInt(options.getOrDefault("tasks", "1")));
    node.put("cores", Double.parseDouble(options.getOrDefault("cpus", "2"))).put("cards", 0.0);
    node.put("ram_gb", Double.parseDouble(options.getOrDefault("memory", "4")))
        .put("bundle", options.getOrDefault("image", "img"))
        .put("size_gb", 0.5);
    node.put("same_place", options.containsKey("one-zone"));
    node.put("spread", options.containsKey("spread"));
    node.put("loaners", !options.containsKey("ordinary")).put("field", options.get("zone"));
    node.put("guess_s", Double.parseDouble(options.getOrDefault("estimate", "10")));
    node.put("cairn_s", 0.0).put("stash_s", 0.0);
    if (!dependencies.isEmpty()) {
      ArrayNode awaits = node.putArray("awaits");
      dependencies.forEach(awaits::add);
    }
    if (options.containsKey("types")) {
      ArrayNode types = node.putArray("hulls").add(SimulatedCloud.MACHINE_TYPE);
      int unknownTypes = Integer.parseInt(options.get("types"));
      for (int i = 0; i < unknownTypes; i++) {
        types.add("a");
      }
    }
    if (options.containsKey("due")) {
      node.put("due_s", Double.parseDouble(options.get("due")));
    }
    return parse(node);
  }

  /** Returns a specification without dependencies. */
  static JobSpec spec(String id, String shape, Map<String, String> options) {
    return spec(id, shape, options, List.of());
  }

  /** Returns a copy of a specification without its dependencies. */
  static JobSpec withoutDependencies(JobSpec spec) {
    ObjectNode node = spec.toJson();
    node.remove("awaits");
    return parse(node);
  }

  private static JobSpec parse(ObjectNode node) {
    try {
      return JobSpec.parse(node);
    } catch (MalformedException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
