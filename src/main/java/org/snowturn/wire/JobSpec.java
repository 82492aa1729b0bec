package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A job as submitted by a user.
 *
 * @param id id of the job, chosen by the user
 * @param jobClass job class, to which service-level objectives refer
 * @param team team that owns the job
 * @param tasks number of tasks
 * @param cpus CPUs required by each task
 * @param gpus GPUs required by each task
 * @param memoryGb memory in GB required by each task
 * @param image name of the image that a machine needs before it can run the tasks
 * @param imageGb size of the image in GB
 * @param allowedMachineTypes names of the allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param singleZone whether all tasks have to run in the same zone
 * @param spreadAcrossZones whether a zone may hold at most half of the tasks, rounded up
 * @param canUseSpot whether the tasks may run on spot machines
 * @param estimateS expected running time of a task in seconds
 * @param checkpointIntervalS seconds between two checkpoints; 0 if the tasks save no progress
 * @param checkpointWriteS seconds that a task needs to save its progress when it is stopped
 * @param deadlineS seconds from the submission to the deadline, or NaN for no deadline
 * @param dependencies ids of the jobs that have to be done before any task of this job starts,
 *     without duplicates
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

  /** Relation between the tasks of a job. */
  public enum Kind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("batch"),
    /** Tasks that run all at the same time or not at all. */
    GANG("ensemble"),
    /** Replicas that run until the job is cancelled. */
    SERVICE("service");

    private final String wireName;

    Kind(String wireName) {
      this.wireName = wireName;
    }

    static Kind parse(String text) throws MalformedException {
      for (Kind kind : values()) {
        if (kind.wireName.equals(text)) {
          return kind;
        }
      }
      throw new MalformedException(KIND + ": unknown kind of job");
    }
  }

  // Field names in submissions and in stored jobs.
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
  private static final String SINGLE_ZONE = "same_place";
  private static final String SPREAD_ACROSS_ZONES = "spread";
  private static final String SPOT = "loaners";
  private static final String ESTIMATE_S = "guess_s";
  private static final String CHECKPOINT_INTERVAL_S = "cairn_s";
  private static final String CHECKPOINT_WRITE_S = "stash_s";
  private static final String DEADLINE_S = "due_s";
  private static final String DEPENDENCIES = "awaits";

  /** Maximum number of CPUs or GPUs per task, and maximum image size in GB. */
  private static final double MAX_AMOUNT = 1e6;

  private static final double MAX_MEMORY_GB = 1e9;
  private static final double MAX_TIME_S = 1e9;
  private static final int MAX_TASKS = 100_000;

  /** Returns whether a string is a valid job id; false for null. */
  public static boolean isId(String id) {
    return id != null && JobIdList.isId(id);
  }

  /**
   * Parses and validates a submission. Only fields that may be null may be missing: {@code hulls},
   * {@code field}, {@code due_s}, and {@code awaits}, which is newer than the other fields. Other
   * fields have no defaults, since a default would be a guess at the user's intention.
   *
   * @throws MalformedException if a required field is missing or a value is invalid
   */
  public static JobSpec parse(JsonNode node) throws MalformedException {
    Fields fields = new Fields(node);
    String id = fields.text(ID);
    if (!isId(id)) {
      throw new MalformedException(ID + ": not a job id");
    }
    List<String> types = parseMachineTypes(fields);
    double cpus = fields.number(CPUS, 0, MAX_AMOUNT);
    double gpus = fields.number(GPUS, 0, MAX_AMOUNT);
    double memoryGb = fields.number(MEMORY_GB, 0, MAX_MEMORY_GB);
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
        fields.flag(SINGLE_ZONE),
        fields.flag(SPREAD_ACROSS_ZONES),
        fields.flag(SPOT),
        fields.number(ESTIMATE_S, 0, MAX_TIME_S),
        fields.number(CHECKPOINT_INTERVAL_S, 0, MAX_TIME_S),
        fields.number(CHECKPOINT_WRITE_S, 0, MAX_TIME_S),
        fields.number(DEADLINE_S, 0, MAX_TIME_S, Double.NaN),
        parseDependencies(fields));
  }

  private static List<String> parseMachineTypes(Fields fields) throws MalformedException {
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

  private static List<String> parseDependencies(Fields fields) throws MalformedException {
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
    return JobIdList.of(ids);
  }

  /**
   * Returns a copy without the fields that are needed only to start tasks: the job class, the
   * image, the allowed machine types, the zone and the dependencies. They refer to other objects or
   * can be long.
   */
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

  /** Returns the job in the form of a submission, in which it is also stored. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    object.put(ID, id).put(JOB_CLASS, jobClass).put(TEAM, team);
    object.put(KIND, kind.wireName).put(PRIORITY, priority.wireName());
    object.put(TASKS, tasks).put(CPUS, cpus).put(GPUS, gpus).put(MEMORY_GB, memoryGb);
    object.put(IMAGE, image).put(IMAGE_GB, imageGb);
    if (allowedMachineTypes != null) {
      ArrayNode array = object.putArray(MACHINE_TYPES);
      allowedMachineTypes.forEach(array::add);
    }
    if (zone != null) {
      object.put(ZONE, zone);
    }
    object
        .put(SINGLE_ZONE, singleZone)
        .put(SPREAD_ACROSS_ZONES, spreadAcrossZones)
        .put(SPOT, canUseSpot);
    object
        .put(ESTIMATE_S, estimateS)
        .put(CHECKPOINT_INTERVAL_S, checkpointIntervalS)
        .put(CHECKPOINT_WRITE_S, checkpointWriteS);
    if (!Double.isNaN(deadlineS)) {
      object.put(DEADLINE_S, deadlineS);
    }
    if (!dependencies.isEmpty()) {
      ArrayNode array = object.putArray(DEPENDENCIES);
      dependencies.forEach(array::add);
    }
    return object;
  }

  /** Returns whether the tasks are replicas that run until the job is cancelled. */
  public boolean isService() {
    return kind == Kind.SERVICE;
  }

  /**
   * Returns the number of tasks that have to run at the same time: 1 for an array, otherwise all.
   * The limit of the job's team has to allow that many.
   */
  public int minConcurrentTasks() {
    return kind == Kind.ARRAY ? 1 : tasks;
  }

  /** Returns the maximum number of tasks in the same zone. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }
}
