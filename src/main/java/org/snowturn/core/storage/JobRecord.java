package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * A job's record in the state service. A submission that is longer than a value is stored in parts,
 * under keys of its own; the record then names them and holds only what must be known without them.
 *
 * @param submission names the parts, or null if there are none
 * @param parts how many there are
 * @param whole whether {@code spec} is the whole submission
 */
public record JobRecord(
    JobStatus.Phase phase,
    long submittedWall,
    JobSpec spec,
    String submission,
    int parts,
    boolean whole) {
  private static final String FORMAT = "v";
  private static final String PHASE = "p";
  private static final String SUBMITTED_AT = "at";
  private static final String SPEC = "s";
  private static final String SERVICE = "service";
  private static final String TASKS = "n";

  /** In a job's record the name of its submission; in a part the part's text. */
  private static final String PART_TEXT = "x";

  private static final String PART_COUNT = "k";

  /** A part's size beside its text. */
  private static final int PART_OVERHEAD_BYTES = 40;

  private static final int SUBMISSION_NAME_BYTES = 16;

  /** A record that holds the whole submission. */
  public JobRecord(JobStatus.Phase phase, long submittedWall, JobSpec spec) {
    this(phase, submittedWall, spec, null, 0, true);
  }

  /**
   * Reads a live or a short record.
   *
   * @throws MalformedException if it cannot be read; it is to be left alone then
   */
  public static JobRecord parse(JsonNode value) throws MalformedException {
    JobStatus.Phase phase = phaseOf(value);
    if (phase == JobStatus.Phase.QUEUED && !value.path(PHASE).asText().equals(phase.wireName())) {
      throw new MalformedException("p: unknown phase in a job's record");
    }
    JobSpec spec = value.has(SPEC) ? JobSpec.parse(value.get(SPEC)) : null;
    return new JobRecord(
        phase,
        value.path(SUBMITTED_AT).asLong(0),
        spec,
        value.path(PART_TEXT).asText(null),
        value.path(PART_COUNT).asInt(0),
        !value.has(PART_TEXT));
  }

  /** The phase of a live or short record; a phase that is not terminal counts as queued. */
  public static JobStatus.Phase phaseOf(JsonNode value) {
    return switch (value.path(PHASE).asText()) {
      case "done" -> JobStatus.Phase.DONE;
      case "aborted" -> JobStatus.Phase.ABORTED;
      default -> JobStatus.Phase.QUEUED;
    };
  }

  /**
   * The ids of the jobs that a live record depends on. One whose submission is kept in parts names
   * none here.
   */
  public static List<String> awaits(JsonNode value) {
    JsonNode all = value.path(SPEC).path("awaits");
    if (all.isEmpty()) {
      return List.of();
    }
    List<String> ids = new ArrayList<>(all.size());
    all.forEach(node -> ids.add(node.asText()));
    return ids;
  }

  /** Whether a live or short record is that of a service; older short records do not tell. */
  public static boolean service(JsonNode value) {
    return value.path(SERVICE).asBoolean(false)
        || value.path(SPEC).path("shape").asText().equals("service");
  }

  /** Whether the parts have to be read before the job can be started. */
  public boolean needsParts() {
    return !whole && phase == JobStatus.Phase.QUEUED;
  }

  /** The keys of a submission's parts in their order; none for a submission that has none. */
  public static List<String> partKeys(String id, String submission, int parts) {
    return submission == null
        ? List.of()
        : IntStream.range(0, parts)
            .mapToObj(i -> StorageKeys.submissionParts(id, submission) + i)
            .toList();
  }

  /** The texts of stored parts, by their keys. */
  public static Map<String, String> texts(List<StateMessage.Entry> entries) {
    Map<String, String> texts = new HashMap<>();
    entries.forEach(entry -> texts.put(entry.key(), entry.value().path(PART_TEXT).asText("")));
    return texts;
  }

  /** The stored form of a job that is not over. */
  public ObjectNode live() {
    ObjectNode object = Json.object();
    object.put(FORMAT, submission == null ? StorageKeys.FIRST_FORMAT : StorageKeys.SECOND_FORMAT);
    object.put(PHASE, phase.wireName()).put(SUBMITTED_AT, submittedWall);
    object.set(SPEC, spec.toJson());
    if (submission != null) {
      object.put(PART_TEXT, submission).put(PART_COUNT, parts);
    }
    return object;
  }

  /** The same with the submission elsewhere. */
  public JobRecord inParts(String name, int count) {
    return new JobRecord(phase, submittedWall, spec.withoutStartFields(), name, count, false);
  }

  /** Puts the whole submission in place of what the record holds of it. */
  public JobRecord withParts(String id, Map<String, String> texts) throws MalformedException {
    StringBuilder text = new StringBuilder();
    for (String key : partKeys(id, submission, parts)) {
      text.append(texts.getOrDefault(key, ""));
    }
    try {
      JobSpec whole = JobSpec.parse(Json.parse(text.toString()));
      return new JobRecord(phase, submittedWall, whole, submission, parts, true);
    } catch (IOException e) {
      throw new MalformedException("not JSON");
    }
  }

  /** The record of a job that is cancelled; what only starts need goes if a value is too short. */
  public static ObjectNode cancelled(JsonNode live, int valueBytes) {
    ObjectNode object = live.deepCopy();
    object.put(PHASE, JobStatus.Phase.ABORTED.wireName());
    if (Json.bytes(object).length > valueBytes) {
      try {
        object.set(SPEC, JobSpec.parse(object.path(SPEC)).withoutStartFields().toJson());
      } catch (MalformedException e) {
        object.remove(SPEC);
      }
    }
    return object;
  }

  /** The short record that remains of a job that is over. */
  public static ObjectNode over(JobStatus.Phase phase, JobSpec spec) {
    ObjectNode object =
        Json.object().put(FORMAT, StorageKeys.FIRST_FORMAT).put(PHASE, phase.wireName());
    object.put(TASKS, spec.tasks());
    return spec.isService() ? object.put(SERVICE, true) : object;
  }

  /** A name for the parts of a text that is cut to this size; depends on nothing else. */
  public static String submissionName(String text, int valueBytes) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] hash = digest.digest(Json.bytes(Json.array().add(text).add(valueBytes)));
      return HexFormat.of().formatHex(hash, 0, SUBMISSION_NAME_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform has it
    }
  }

  /** Cuts a text into parts, each of which a value can hold. */
  public static List<ObjectNode> split(String text, int valueBytes) {
    List<ObjectNode> parts = new ArrayList<>();
    int from = 0;
    while (from < text.length()) {
      // Most characters take one byte; one that is escaped takes up to six.
      int to = Math.min(text.length(), from + Math.max(1, valueBytes - PART_OVERHEAD_BYTES));
      while (to > from + 1 && Json.bytes(part(text, from, to)).length > valueBytes) {
        to = from + (to - from) * 3 / 4;
      }
      if (to < text.length() && Character.isHighSurrogate(text.charAt(to - 1))) {
        to = to - 1 > from ? to - 1 : to + 1;
      }
      parts.add(part(text, from, to));
      from = to;
    }
    return parts;
  }

  private static ObjectNode part(String text, int from, int to) {
    return Json.object()
        .put(FORMAT, StorageKeys.SECOND_FORMAT)
        .put(PART_TEXT, text.substring(from, to));
  }
}
