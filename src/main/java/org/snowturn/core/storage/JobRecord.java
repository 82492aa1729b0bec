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
  private static final int FIXED_BYTES = 40;
  private static final int NAME_BYTES = 16;

  public JobRecord(JobStatus.Phase phase, long submittedWall, JobSpec spec) {
    this(phase, submittedWall, spec, null, 0, true);
  }

  public static JobRecord parse(JsonNode value) throws MalformedException {
    JobStatus.Phase phase =
        switch (value.path("p").asText()) {
          case "done" -> JobStatus.Phase.DONE;
          case "aborted" -> JobStatus.Phase.ABORTED;
          case "queued" -> JobStatus.Phase.QUEUED;
          default -> throw new MalformedException("p: unknown phase in a job's record");
        };
    JobSpec spec = value.has("s") ? JobSpec.parse(value.get("s")) : null;
    return new JobRecord(
        phase,
        value.path("at").asLong(0),
        spec,
        value.path("x").asText(null),
        value.path("k").asInt(0),
        !value.has("x"));
  }

  /** Whether the record forbids any change of phase. */
  public static JobStatus.Phase phaseOf(JsonNode value) {
    String p = value.path("p").asText();
    return p.equals("done")
        ? JobStatus.Phase.DONE
        : p.equals("aborted") ? JobStatus.Phase.ABORTED : JobStatus.Phase.QUEUED;
  }

  /**
   * The jobs that a live record names as awaited. One whose submission is kept in parts names none
   * here.
   */
  public static List<String> awaits(JsonNode value) {
    JsonNode all = value.path("s").path("awaits");
    if (all.isEmpty()) {
      return List.of();
    }
    List<String> out = new ArrayList<>(all.size());
    all.forEach(node -> out.add(node.asText()));
    return out;
  }

  /** Whether a live or short record is that of a service; older short records do not tell. */
  public static boolean service(JsonNode value) {
    return value.path("service").asBoolean(false)
        || value.path("s").path("shape").asText().equals("service");
  }

  /** Whether the parts have to be read before the job can be started. */
  public boolean incomplete() {
    return !whole && phase == JobStatus.Phase.QUEUED;
  }

  public static List<String> partKeys(String id, String submission, int parts) {
    return submission == null
        ? List.of()
        : IntStream.range(0, parts).mapToObj(i -> StorageKeys.parts(id, submission) + i).toList();
  }

  /** The texts of stored parts, by their keys. */
  public static Map<String, String> texts(List<StateMessage.Entry> entries) {
    Map<String, String> out = new HashMap<>();
    entries.forEach(entry -> out.put(entry.key(), entry.value().path("x").asText("")));
    return out;
  }

  public ObjectNode live() {
    ObjectNode object = Json.object();
    object.put("v", submission == null ? StorageKeys.VERSION : StorageKeys.SECOND);
    object.put("p", phase.wire()).put("at", submittedWall);
    object.set("s", spec.toJson());
    if (submission != null) {
      object.put("x", submission).put("k", parts);
    }
    return object;
  }

  /** The same with the submission elsewhere. */
  public JobRecord inParts(String name, int count) {
    return new JobRecord(phase, submittedWall, spec.withoutStart(), name, count, false);
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
    object.put("p", JobStatus.Phase.ABORTED.wire());
    if (Json.bytes(object).length > valueBytes) {
      try {
        object.set("s", JobSpec.parse(object.path("s")).withoutStart().toJson());
      } catch (MalformedException e) {
        object.remove("s");
      }
    }
    return object;
  }

  /** The short record that remains of a job that is over. */
  public static ObjectNode over(JobStatus.Phase phase, JobSpec spec) {
    ObjectNode object = Json.object().put("v", StorageKeys.VERSION).put("p", phase.wire());
    object.put("n", spec.tasks());
    return spec.service() ? object.put("service", true) : object;
  }

  /** A name for the parts of a text, cut to this size: the same for the same. */
  public static String nameOf(String text, int valueBytes) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] hash = digest.digest(Json.bytes(Json.array().add(text).add(valueBytes)));
      return HexFormat.of().formatHex(hash, 0, NAME_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform has it
    }
  }

  /** Cuts a text into parts, each of which a value can hold. */
  public static List<ObjectNode> cut(String text, int valueBytes) {
    List<ObjectNode> out = new ArrayList<>();
    int from = 0;
    while (from < text.length()) {
      // An escaped character takes up to six bytes; most take one.
      int to = Math.min(text.length(), from + Math.max(1, valueBytes - FIXED_BYTES));
      while (to > from + 1 && Json.bytes(part(text, from, to)).length > valueBytes) {
        to = from + (to - from) * 3 / 4;
      }
      if (to < text.length() && Character.isHighSurrogate(text.charAt(to - 1))) {
        to = to - 1 > from ? to - 1 : to + 1;
      }
      out.add(part(text, from, to));
      from = to;
    }
    return out;
  }

  private static ObjectNode part(String text, int from, int to) {
    return Json.object().put("v", StorageKeys.SECOND).put("x", text.substring(from, to));
  }
}
