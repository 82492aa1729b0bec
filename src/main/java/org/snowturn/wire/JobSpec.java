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
 * A job as a user submits it.
 *
 * @param jobClass the class for which service-level objectives are set
 * @param cpus what each task needs; so are {@code gpus}, {@code memoryGb} and the image
 * @param allowedMachineTypes allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param singleZone whether all tasks have to be in the same zone
 * @param spreadAcrossZones whether a zone may hold at most half of the tasks
 * @param canUseSpot whether the tasks may run on spot machines
 * @param estimateS expected running time of a task in seconds
 * @param checkpointIntervalS seconds between checkpoints; 0: the tasks save no progress
 * @param checkpointWriteS seconds that a task takes to save its progress when it is stopped
 * @param deadlineS seconds from submission, or NaN for none
 * @param dependencies the jobs that have to be done before any task of this one starts, each named
 *     once
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
    List<String> allowedMachineTypes,
    String zone,
    boolean singleZone,
    boolean spreadAcrossZones,
    boolean canUseSpot,
    double estimateS,
    double checkpointIntervalS,
    double checkpointWriteS,
    double deadlineS,
    List<String> dependencies) {

  /** How the tasks of a job depend on each other. */
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
      for (Kind kind : values()) {
        if (kind.wire.equals(text)) {
          return kind;
        }
      }
      throw new MalformedException(KIND + ": unknown kind of job");
    }
  }

  /** The names of the fields on the wire and in stored jobs. */
  private static final String ID = "id";

  private static final String JOB_CLASS = "jobclass";
  private static final String TEAM = "owner";
  private static final String KIND = "shape";
  private static final String PRIORITY = "rank";
  private static final String TASKS = "flakes";
  private static final String CPUS = "cores";
  private static final String GPUS = "cards";
  private static final String MEMORY_GB = "ram_gb";
  private static final String IMAGE = "bundle";
  private static final String IMAGE_GB = "size_gb";
  private static final String MACHINE_TYPES = "hulls";
  private static final String ZONE = "field";
  private static final String ONE_ZONE = "same_place";
  private static final String SPREAD = "spread";
  private static final String SPOT = "loaners";
  private static final String ESTIMATE_S = "guess_s";
  private static final String CHECKPOINT_S = "cairn_s";
  private static final String SAVE_S = "stash_s";
  private static final String DEADLINE_S = "due_s";
  private static final String DEPENDENCIES = "awaits";

  private static final double MAX_AMOUNT = 1e6;
  private static final double MAX_GB = 1e9;
  private static final double MAX_S = 1e9;
  private static final Pattern ID_PATTERN = Pattern.compile("wk-[0-9]{1,18}");
  private static final int MAX_TASKS = 100_000;

  /** Whether a text has the form of a job id. */
  public static boolean isId(String id) {
    return id != null && ID_PATTERN.matcher(id).matches();
  }

  /**
   * Reads and checks a submission. Only what may be null may be missing: {@code hulls}, {@code
   * field}, {@code due_s}, and {@code awaits}, which came later. A default for anything else would
   * be a guess of what the user wants.
   */
  public static JobSpec parse(JsonNode node) throws MalformedException {
    Fields fields = new Fields(node);
    String id = fields.text(ID);
    if (!isId(id)) {
      throw new MalformedException(ID + ": not a job id");
    }
    List<String> types = machineTypes(fields);
    double cpus = fields.number(CPUS, 0, MAX_AMOUNT);
    double gpus = fields.number(GPUS, 0, MAX_AMOUNT);
    double memoryGb = fields.number(MEMORY_GB, 0, MAX_GB);
    return new JobSpec(
        id,
        fields.text(JOB_CLASS),
        fields.text(TEAM),
        Kind.parse(fields.text(KIND)),
        Priority.parse(fields.text(PRIORITY)),
        (int) fields.integer(TASKS, 1, MAX_TASKS),
        cpus,
        gpus,
        memoryGb,
        fields.text(IMAGE),
        fields.number(IMAGE_GB, 0, MAX_AMOUNT),
        types,
        fields.textOrNull(ZONE),
        fields.flag(ONE_ZONE),
        fields.flag(SPREAD),
        fields.flag(SPOT),
        fields.number(ESTIMATE_S, 0, MAX_S),
        fields.number(CHECKPOINT_S, 0, MAX_S),
        fields.number(SAVE_S, 0, MAX_S),
        fields.number(DEADLINE_S, 0, MAX_S, Double.NaN),
        dependencies(fields));
  }

  private static List<String> machineTypes(Fields fields) throws MalformedException {
    if (!fields.has(MACHINE_TYPES)) {
      return null;
    }
    if (!fields.node(MACHINE_TYPES).isArray()) {
      throw new MalformedException(MACHINE_TYPES + ": list expected");
    }
    List<String> types = new ArrayList<>();
    for (JsonNode type : fields.node(MACHINE_TYPES)) {
      if (!type.isTextual()) {
        throw new MalformedException(MACHINE_TYPES + ": list of texts expected");
      }
      types.add(type.textValue());
    }
    return List.copyOf(types);
  }

  private static List<String> dependencies(Fields fields) throws MalformedException {
    if (!fields.has(DEPENDENCIES)) {
      return List.of();
    }
    if (!fields.node(DEPENDENCIES).isArray()) {
      throw new MalformedException(DEPENDENCIES + ": list expected");
    }
    Set<String> ids = new LinkedHashSet<>();
    for (JsonNode node : fields.node(DEPENDENCIES)) {
      if (!node.isTextual() || !isId(node.textValue())) {
        throw new MalformedException(DEPENDENCIES + ": list of job ids expected");
      }
      ids.add(node.textValue());
    }
    return List.copyOf(ids);
  }

  /** The same job without what only its starts need: what names others and what may be long. */
  public JobSpec withoutStartFields() {
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
        singleZone,
        spreadAcrossZones,
        canUseSpot,
        estimateS,
        checkpointIntervalS,
        checkpointWriteS,
        deadlineS,
        List.of());
  }

  /** The submission's own form, as it is also stored. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    object.put(ID, id).put(JOB_CLASS, jobClass).put(TEAM, team);
    object.put(KIND, kind.wire).put(PRIORITY, priority.wireName());
    object.put(TASKS, tasks).put(CPUS, cpus).put(GPUS, gpus).put(MEMORY_GB, memoryGb);
    object.put(IMAGE, image).put(IMAGE_GB, imageGb);
    if (allowedMachineTypes != null) {
      ArrayNode array = object.putArray(MACHINE_TYPES);
      allowedMachineTypes.forEach(array::add);
    }
    if (zone != null) {
      object.put(ZONE, zone);
    }
    object.put(ONE_ZONE, singleZone).put(SPREAD, spreadAcrossZones).put(SPOT, canUseSpot);
    object
        .put(ESTIMATE_S, estimateS)
        .put(CHECKPOINT_S, checkpointIntervalS)
        .put(SAVE_S, checkpointWriteS);
    if (!Double.isNaN(deadlineS)) {
      object.put(DEADLINE_S, deadlineS);
    }
    if (!dependencies.isEmpty()) {
      ArrayNode array = object.putArray(DEPENDENCIES);
      dependencies.forEach(array::add);
    }
    return object;
  }

  /** Whether the tasks are replicas that run until the job is cancelled. */
  public boolean isService() {
    return kind == Kind.SERVICE;
  }

  /** How many of the tasks must be there for any to run; also what a team's limit must hold. */
  public int minConcurrentTasks() {
    return kind == Kind.ARRAY ? 1 : tasks;
  }

  /** How many of the tasks may be in one zone. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }
}
