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
import org.snowturn.wire.JobIdList;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * A job's record in the state service. A submission that is longer than a value is stored in chunks
 * under keys of their own. The record then holds the hash and the number of the chunks, and only
 * those fields of the submission that are needed without them.
 *
 * @param phase the stored phase; a job that is not over is stored as queued
 * @param submittedWallMs wall-clock time of the submission, in milliseconds since the epoch
 * @param spec the submission, without the fields that only starts need if it is stored in chunks;
 *     null if the record holds none, as in the short record of a finished job
 * @param submissionHash hash that is part of the chunks' keys; null if there are no chunks
 * @param chunkCount number of chunks
 * @param isComplete whether {@code spec} is the whole submission
 */
public record JobRecord(
    JobStatus.Phase phase,
    long submittedWallMs,
    JobSpec spec,
    String submissionHash,
    int chunkCount,
    boolean isComplete) {
  private static final String FORMAT = "v";
  private static final String PHASE = "p";
  private static final String SUBMITTED_AT = "at";
  private static final String SPEC = "s";
  private static final String SERVICE = "service";
  private static final String TASKS = "n";
  private static final String SUBMISSION_HASH = "x";
  private static final String CHUNK_COUNT = "k";

  /** Field of a chunk's value; a job's record uses the same key for the submission's hash. */
  private static final String CHUNK_TEXT = "x";

  /** Size of a chunk's value without its text. */
  private static final int CHUNK_OVERHEAD_BYTES = 40;

  private static final int SUBMISSION_HASH_BYTES = 16;

  /**
   * Creates a record that holds the whole submission.
   *
   * @param phase the stored phase
   * @param submittedWallMs wall-clock time of the submission, in milliseconds since the epoch
   * @param spec the whole submission
   */
  public JobRecord(JobStatus.Phase phase, long submittedWallMs, JobSpec spec) {
    this(phase, submittedWallMs, spec, null, 0, true);
  }

  /**
   * Parses the record of a live or a finished job.
   *
   * @throws MalformedException if the value is not a readable record; the record must not be
   *     changed then
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
        value.path(SUBMISSION_HASH).asText(null),
        value.path(CHUNK_COUNT).asInt(0),
        !value.has(SUBMISSION_HASH));
  }

  /**
   * Returns the phase in the record of a live or a finished job. Every phase that is not terminal
   * is returned as queued.
   */
  public static JobStatus.Phase phaseOf(JsonNode value) {
    return switch (value.path(PHASE).asText()) {
      case "done" -> JobStatus.Phase.DONE;
      case "aborted" -> JobStatus.Phase.ABORTED;
      default -> JobStatus.Phase.QUEUED;
    };
  }

  /**
   * Returns the ids of the jobs that a live job depends on. The list is empty if the submission is
   * stored in chunks, since its dependencies are then in the chunks.
   */
  public static List<String> dependencies(JsonNode value) {
    JsonNode nodes = value.path(SPEC).path("awaits");
    List<String> ids = new ArrayList<>(nodes.size());
    nodes.forEach(node -> ids.add(node.asText()));
    return ids.stream().allMatch(JobSpec::isId) ? JobIdList.of(ids) : ids;
  }

  /**
   * Returns the class and the team of a live job. The class is unknown if the submission is stored
   * in chunks; such jobs of a team count as one class.
   */
  public static String group(JsonNode value) {
    JsonNode spec = value.path(SPEC);
    return spec.path("jobclass").asText() + "/" + spec.path("owner").asText();
  }

  /**
   * Returns the length of a live job's submission in bytes, or an upper bound if it is stored in
   * chunks.
   *
   * @param maxValueBytes maximum size of a chunk
   */
  public static long submissionBytes(JsonNode value, int maxValueBytes) {
    long chunks = value.path(CHUNK_COUNT).asLong(0);
    return chunks > 0 ? chunks * maxValueBytes : Json.bytes(value).length;
  }

  /**
   * Returns whether the record of a live or a finished job is that of a service. Older versions
   * wrote finished records without this field; for those it returns false.
   */
  public static boolean isService(JsonNode value) {
    return value.path(SERVICE).asBoolean(false)
        || value.path(SPEC).path("shape").asText().equals("service");
  }

  /** Returns whether the chunks must be read before the job can be started. */
  public boolean needsChunks() {
    return !isComplete && phase == JobStatus.Phase.QUEUED;
  }

  /**
   * Returns the keys of a submission's chunks, in order.
   *
   * @param id the job's id
   * @param submissionHash the hash that names the chunks; null for a submission without chunks,
   *     which gives an empty list
   * @param chunkCount number of chunks
   */
  public static List<String> chunkKeys(String id, String submissionHash, int chunkCount) {
    return submissionHash == null
        ? List.of()
        : IntStream.range(0, chunkCount)
            .mapToObj(i -> StorageKeys.submissionChunks(id, submissionHash) + i)
            .toList();
  }

  /** Returns the texts of stored chunks by key. */
  public static Map<String, String> chunkTexts(List<StateMessage.Entry> entries) {
    Map<String, String> texts = new HashMap<>();
    entries.forEach(entry -> texts.put(entry.key(), entry.value().path(CHUNK_TEXT).asText("")));
    return texts;
  }

  /** Returns the JSON form of this record for a live job. */
  public ObjectNode liveJson() {
    ObjectNode object = Json.object();
    object.put(
        FORMAT, submissionHash == null ? StorageKeys.FIRST_FORMAT : StorageKeys.SECOND_FORMAT);
    object.put(PHASE, phase.wireName()).put(SUBMITTED_AT, submittedWallMs);
    object.set(SPEC, spec.toJson());
    if (submissionHash != null) {
      object.put(SUBMISSION_HASH, submissionHash).put(CHUNK_COUNT, chunkCount);
    }
    return object;
  }

  /**
   * Returns this record for a submission that is stored in chunks.
   *
   * @param newHash the hash of the submission, from {@link #hashSubmission}
   * @param newChunkCount number of chunks
   */
  public JobRecord toChunked(String newHash, int newChunkCount) {
    return new JobRecord(
        phase, submittedWallMs, spec.withoutStartFields(), newHash, newChunkCount, false);
  }

  /**
   * Returns this record with the whole submission, joined from its chunks.
   *
   * @param id the job's id
   * @param texts the chunks' texts by key
   * @throws MalformedException if the joined texts are not a submission
   */
  public JobRecord joinChunks(String id, Map<String, String> texts) throws MalformedException {
    StringBuilder text = new StringBuilder();
    for (String key : chunkKeys(id, submissionHash, chunkCount)) {
      text.append(texts.getOrDefault(key, ""));
    }
    try {
      JobSpec wholeSpec = JobSpec.parse(Json.parse(text.toString()));
      return new JobRecord(phase, submittedWallMs, wholeSpec, submissionHash, chunkCount, true);
    } catch (IOException e) {
      throw new MalformedException(
          "x: the "
              + chunkCount
              + " chunks of submission "
              + submissionHash
              + " are not valid JSON");
    }
  }

  /**
   * Returns the JSON form of a cancelled live job. If it is longer than a value, the fields that
   * only starts need are left out.
   *
   * @param live the job's record before the cancellation
   * @param maxValueBytes maximum size of a value
   */
  public static ObjectNode cancelledJson(JsonNode live, int maxValueBytes) {
    ObjectNode object = live.deepCopy();
    object.put(PHASE, JobStatus.Phase.ABORTED.wireName());
    if (Json.bytes(object).length > maxValueBytes) {
      try {
        object.set(SPEC, JobSpec.parse(object.path(SPEC)).withoutStartFields().toJson());
      } catch (MalformedException e) {
        object.remove(SPEC);
      }
    }
    return object;
  }

  /** Returns the JSON form of a finished job's short record, which stays for good. */
  public static ObjectNode finishedJson(JobStatus.Phase phase, JobSpec spec) {
    ObjectNode object =
        Json.object().put(FORMAT, StorageKeys.FIRST_FORMAT).put(PHASE, phase.wireName());
    object.put(TASKS, spec.tasks());
    return spec.isService() ? object.put(SERVICE, true) : object;
  }

  /**
   * Returns the hash that names the chunks of a submission. It depends on nothing but the
   * parameters, so that a repeated submission uses the chunks that are already stored.
   *
   * @param text the submission's JSON text
   * @param maxValueBytes maximum size of a value, which the text is split by
   */
  public static String hashSubmission(String text, int maxValueBytes) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] hash = digest.digest(Json.bytes(Json.array().add(text).add(maxValueBytes)));
      return HexFormat.of().formatHex(hash, 0, SUBMISSION_HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform has it
    }
  }

  /**
   * Splits a submission into chunks that each fit in a value.
   *
   * @param text the submission's JSON text
   * @param maxValueBytes maximum size of a value
   */
  public static List<ObjectNode> split(String text, int maxValueBytes) {
    List<ObjectNode> chunks = new ArrayList<>();
    int from = 0;
    while (from < text.length()) {
      // Assumes one byte per character. Escaped characters take up to six, hence the loop below.
      int to = Math.min(text.length(), from + Math.max(1, maxValueBytes - CHUNK_OVERHEAD_BYTES));
      while (to > from + 1 && Json.bytes(chunk(text, from, to)).length > maxValueBytes) {
        to = from + (to - from) * 3 / 4;
      }
      if (to < text.length() && Character.isHighSurrogate(text.charAt(to - 1))) {
        to = to - 1 > from ? to - 1 : to + 1;
      }
      chunks.add(chunk(text, from, to));
      from = to;
    }
    return chunks;
  }

  private static ObjectNode chunk(String text, int from, int to) {
    return Json.object()
        .put(FORMAT, StorageKeys.SECOND_FORMAT)
        .put(CHUNK_TEXT, text.substring(from, to));
  }
}
