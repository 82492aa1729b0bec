package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What a user asks to be run.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadlineS seconds from submission, or NaN for none
 * @param awaits the jobs that have to be done before any task of this one starts, each named once
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Kind kind,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    double deadlineS,
    List<String> awaits) {

  /** How the tasks of a job hang together. */
  public enum Kind {
    /** Independent tasks, each runs to completion. */
    ARRAY("batch"),
    /** Tasks that only run all at once. */
    GANG("ensemble"),
    /** Replicas that run until the job is cancelled. */
    SERVICE("service");

    private final String wire;

    Kind(String wire) {
      this.wire = wire;
    }

    static Kind parse(String text) throws MalformedException {
      for (Kind k : values()) {
        if (k.wire.equals(text)) {
          return k;
        }
      }
      throw new MalformedException("shape: unknown kind of job");
    }
  }

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");
  private static final int MAX_TASKS = 100_000;

  /** Whether a text has the form of a job id. */
  public static boolean isId(String id) {
    return id != null && ID.matcher(id).matches();
  }

  /**
   * Reads and checks a submission. Only what may be null may be missing: {@code hulls}, {@code
   * field}, {@code due_s}, and {@code awaits}, which came later. A default for anything else would
   * be a guess of what the user wants.
   */
  public static JobSpec parse(JsonNode node) throws MalformedException {
    Fields fields = new Fields(node);
    String id = fields.text("id");
    if (!isId(id)) {
      throw new MalformedException("id: not a job id");
    }
    List<String> types = null;
    if (fields.has("hulls")) {
      if (!fields.node("hulls").isArray()) {
        throw new MalformedException("hulls: list expected");
      }
      types = new ArrayList<>();
      for (JsonNode t : fields.node("hulls")) {
        if (!t.isTextual()) {
          throw new MalformedException("hulls: list of texts expected");
        }
        types.add(t.textValue());
      }
      types = List.copyOf(types);
    }
    double cpus = fields.number("cores", 0, 1e6);
    double gpus = fields.number("cards", 0, 1e6);
    double memory = fields.number("ram_gb", 0, 1e9);
    return new JobSpec(
        id,
        fields.text("jobclass"),
        fields.text("owner"),
        Kind.parse(fields.text("shape")),
        Priority.parse(fields.text("rank")),
        (int) fields.integer("flakes", 1, MAX_TASKS),
        cpus,
        gpus,
        memory,
        fields.text("bundle"),
        fields.number("size_gb", 0, 1e6),
        types,
        fields.textOrNull("field"),
        fields.flag("same_place"),
        fields.flag("spread"),
        fields.flag("loaners"),
        fields.number("guess_s", 0, 1e9),
        fields.number("cairn_s", 0, 1e9),
        fields.number("stash_s", 0, 1e9),
        fields.number("due_s", 0, 1e9, Double.NaN),
        awaits(fields));
  }

  private static List<String> awaits(Fields fields) throws MalformedException {
    if (!fields.has("awaits")) {
      return List.of();
    }
    if (!fields.node("awaits").isArray()) {
      throw new MalformedException("awaits: list expected");
    }
    Set<String> ids = new LinkedHashSet<>();
    for (JsonNode node : fields.node("awaits")) {
      if (!node.isTextual() || !isId(node.textValue())) {
        throw new MalformedException("awaits: list of job ids expected");
      }
      ids.add(node.textValue());
    }
    return List.copyOf(ids);
  }

  /** The same job without what only its starts need: what names others and what may be long. */
  public JobSpec withoutStart() {
    return new JobSpec(
        id,
        "-",
        team,
        kind,
        priority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        "-",
        imageGb,
        null,
        null,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        List.of());
  }

  /** The submission's own form, as it is also stored. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    object.put("id", id).put("jobclass", jobClass).put("owner", team);
    object.put("shape", kind.wire).put("rank", priority.wire());
    object.put("flakes", tasks).put("cores", cpus).put("cards", gpus).put("ram_gb", memoryGb);
    object.put("bundle", image).put("size_gb", imageGb);
    if (types != null) {
      ArrayNode array = object.putArray("hulls");
      types.forEach(array::add);
    }
    if (zone != null) {
      object.put("field", zone);
    }
    object.put("same_place", oneZone).put("spread", spread).put("loaners", spot);
    object.put("guess_s", estimateS).put("cairn_s", checkpointS).put("stash_s", saveS);
    if (!Double.isNaN(deadlineS)) {
      object.put("due_s", deadlineS);
    }
    if (!awaits.isEmpty()) {
      ArrayNode array = object.putArray("awaits");
      awaits.forEach(array::add);
    }
    return object;
  }

  /** Whether the tasks are replicas that run until the job is cancelled. */
  public boolean service() {
    return kind == Kind.SERVICE;
  }

  /** How many of the tasks must be there for any to run; also what a team's limit must hold. */
  public int together() {
    return kind == Kind.ARRAY ? 1 : tasks;
  }

  /** How many of the tasks may be in one zone. */
  public int perZoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
