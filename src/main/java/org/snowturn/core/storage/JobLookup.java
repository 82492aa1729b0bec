package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.StateReply;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Reads the stored records of some jobs, live or finished. A few jobs are read one by one. Many are
 * read by key ranges, each of which begins at the next wanted id, so that neither thousands of
 * wanted ids nor thousands of other jobs between them take thousands of requests.
 *
 * <p>Records move only from live to finished, so a node that reads the live ones first misses none.
 * Only the leader, which moves them, may read the finished ones first.
 */
public final class JobLookup {
  /** The order of key prefixes for nodes that are not the leader. */
  public static final List<String> LIVE_FIRST =
      List.of(StorageKeys.JOBS, StorageKeys.FINISHED_JOBS);

  /**
   * The order of key prefixes for the leader: most jobs that are not in its memory are finished.
   */
  public static final List<String> FINISHED_FIRST =
      List.of(StorageKeys.FINISHED_JOBS, StorageKeys.JOBS);

  private static final int MAX_SINGLE_READS = 12;
  private static final int PAGE_KEYS = 500;
  private static final int TIMEOUT_MS = 1_500;

  /**
   * The stored state of a job.
   *
   * @param isLive whether the job has a live record, as opposed to a finished one
   * @param phase the job's phase
   * @param isService whether the job is a service
   */
  public record StoredJob(boolean isLive, JobStatus.Phase phase, boolean isService) {
    private static StoredJob of(StateMessage.Entry entry) {
      boolean isLive = entry.key().startsWith(StorageKeys.JOBS);
      return new StoredJob(
          isLive, JobRecord.phaseOf(entry.value()), JobRecord.isService(entry.value()));
    }
  }

  /** Handler for the result of a lookup. */
  public interface ResultHandler {
    /**
     * Handles the result; called once.
     *
     * @param found the stored jobs by id
     * @param isComplete whether all reads succeeded, so that a job that was not found does not
     *     exist
     */
    void onResult(Map<String, StoredJob> found, boolean isComplete);
  }

  private final CoreRuntime runtime;
  private final RequestClass requestClass;
  private final List<String> prefixes;
  private final Map<String, StoredJob> found = new HashMap<>();
  private final TreeSet<String> absent = new TreeSet<>();
  private final ResultHandler handler;
  private final long deadlineMs;
  private int pendingReads;
  private boolean isFinished;

  /**
   * Looks up jobs by id. Every job that was ever accepted has a record.
   *
   * @param requestClass the request class that the reads are budgeted under
   * @param prefixes {@link #LIVE_FIRST} or {@link #FINISHED_FIRST}
   * @param ids the ids of the jobs to look up
   * @param timeLimitMs time in milliseconds after which no further range is read
   * @param handler called with the result
   */
  public static void find(
      CoreRuntime runtime,
      RequestClass requestClass,
      List<String> prefixes,
      Collection<String> ids,
      long timeLimitMs,
      ResultHandler handler) {
    JobLookup lookup =
        new JobLookup(runtime, requestClass, prefixes, runtime.now() + timeLimitMs, handler);
    if (ids.size() > MAX_SINGLE_READS) {
      lookup.readRange(0, new TreeSet<>(ids));
      return;
    }
    lookup.pendingReads = ids.size();
    List.copyOf(ids).forEach(id -> lookup.readOne(0, id));
    lookup.finishIfAllAnswered();
  }

  private JobLookup(
      CoreRuntime runtime,
      RequestClass requestClass,
      List<String> prefixes,
      long deadlineMs,
      ResultHandler handler) {
    this.requestClass = requestClass;
    this.runtime = runtime;
    this.prefixes = prefixes;
    this.deadlineMs = deadlineMs;
    this.handler = handler;
  }

  private void finishIncomplete() {
    if (!isFinished) {
      isFinished = true;
      handler.onResult(found, false);
    }
  }

  private void finishIfAllAnswered() {
    if (pendingReads == 0 && !isFinished) {
      isFinished = true;
      handler.onResult(found, true);
    }
  }

  private void readOne(int prefixIndex, String id) {
    runtime.readState(
        requestClass,
        StateMessage.keyPath(prefixes.get(prefixIndex) + id),
        TIMEOUT_MS,
        reply -> {
          if (reply.isNotFound() && prefixIndex + 1 < prefixes.size()) {
            readOne(prefixIndex + 1, id);
            return;
          }
          if (!reply.isNotFound()) {
            onRecordRead(id, reply);
          }
          pendingReads--;
          finishIfAllAnswered();
        });
  }

  private void onRecordRead(String id, StateReply reply) {
    if (!reply.isOk()) {
      finishIncomplete();
      return;
    }
    try {
      found.put(id, StoredJob.of(StateMessage.entry(reply.body())));
    } catch (MalformedException e) {
      finishIncomplete();
    }
  }

  private void readRange(int prefixIndex, NavigableSet<String> wanted) {
    if (wanted.isEmpty()) {
      finishIfAllAnswered();
      return;
    }
    if (runtime.now() > deadlineMs) {
      finishIncomplete();
      return;
    }
    String prefix = prefixes.get(prefixIndex);
    runtime.readState(
        requestClass,
        new StateMessage.RangePath(prefix)
            .after(lastKeyBefore(prefix + wanted.first()))
            .limit(PAGE_KEYS)
            .toString(),
        TIMEOUT_MS,
        reply -> {
          if (!reply.isOk()) {
            finishIncomplete();
            return;
          }
          try {
            JsonNode body = reply.body();
            onPageRead(
                prefixIndex, wanted, StateMessage.entries(body), StateMessage.isTruncated(body));
          } catch (MalformedException e) {
            finishIncomplete();
          }
        });
  }

  /**
   * Returns the key to begin a range after: it sorts before the given key and after the keys of all
   * smaller ids. Every id ends in a digit, and a tilde sorts after all digits.
   */
  private static String lastKeyBefore(String key) {
    int end = key.length() - 1;
    return key.substring(0, end) + (char) (key.charAt(end) - 1) + "~";
  }

  private void onPageRead(
      int prefixIndex,
      NavigableSet<String> wanted,
      List<StateMessage.Entry> page,
      boolean isTruncated) {
    String lastId = null;
    for (StateMessage.Entry entry : page) {
      lastId = entry.key().substring(prefixes.get(prefixIndex).length());
      if (wanted.contains(lastId)) {
        found.put(lastId, StoredJob.of(entry));
      }
    }
    TreeSet<String> left =
        isTruncated && lastId != null
            ? new TreeSet<>(wanted.tailSet(lastId, false))
            : new TreeSet<>();
    List<String> missing = new ArrayList<>(wanted);
    missing.removeIf(id -> found.containsKey(id) || left.contains(id));
    absent.addAll(missing);
    if (left.isEmpty() && prefixIndex + 1 < prefixes.size()) {
      TreeSet<String> notInPrefix = new TreeSet<>(absent);
      absent.clear();
      readRange(prefixIndex + 1, notInPrefix);
    } else {
      readRange(prefixIndex, left);
    }
  }
}
