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
 * Reads what is stored of some jobs, live or over. A few are read one by one; many by ranges that
 * begin at the next id wanted, so that neither thousands of ids nor thousands of other jobs take
 * thousands of requests. Records only move from live to over, so live ones are read first; only the
 * leader, which moves them, may begin with those that are over.
 */
public final class JobLookup {
  /** The order for nodes that do not lead. */
  public static final List<String> LIVE_FIRST =
      List.of(StorageKeys.JOBS, StorageKeys.FINISHED_JOBS);

  /** The order for the leader: most jobs that it does not know are over. */
  public static final List<String> OVER_FIRST =
      List.of(StorageKeys.FINISHED_JOBS, StorageKeys.JOBS);

  private static final int MAX_SINGLE_READS = 12;
  private static final int PAGE_KEYS = 500;
  private static final int TIMEOUT_MS = 1_500;

  /** What a record tells: whether it is live, the job's phase, and whether it is a service. */
  public record StoredJob(boolean live, JobStatus.Phase phase, boolean service) {
    private static StoredJob of(StateMessage.Entry entry) {
      boolean live = entry.key().startsWith(StorageKeys.JOBS);
      return new StoredJob(
          live, JobRecord.phaseOf(entry.value()), JobRecord.service(entry.value()));
    }
  }

  /** Takes the result of a lookup. */
  public interface ResultHandler {
    /**
     * Called once.
     *
     * @param found what is stored, by job id
     * @param complete whether jobs that were not found do not exist; false if a read failed
     */
    void found(Map<String, StoredJob> found, boolean complete);
  }

  private final CoreRuntime runtime;
  private final RequestClass purpose;
  private final List<String> prefixes;
  private final Map<String, StoredJob> found = new HashMap<>();
  private final TreeSet<String> absent = new TreeSet<>();
  private final ResultHandler then;
  private final long until;
  private int unanswered;
  private boolean finished;

  /**
   * Finds some jobs and hands over what is stored of each that was ever accepted, by its id.
   *
   * @param purpose what the reads are for
   * @param prefixes {@link #LIVE_FIRST} or {@link #OVER_FIRST}
   * @param withinMs the time after which nobody wants to know any more
   */
  public static void find(
      CoreRuntime runtime,
      RequestClass purpose,
      List<String> prefixes,
      Collection<String> ids,
      long withinMs,
      ResultHandler then) {
    JobLookup lookup = new JobLookup(runtime, purpose, prefixes, runtime.now() + withinMs, then);
    if (ids.size() > MAX_SINGLE_READS) {
      lookup.readRange(0, new TreeSet<>(ids));
      return;
    }
    lookup.unanswered = ids.size();
    List.copyOf(ids).forEach(id -> lookup.readOne(0, id));
    lookup.finishIfAllAnswered();
  }

  private JobLookup(
      CoreRuntime runtime,
      RequestClass purpose,
      List<String> prefixes,
      long until,
      ResultHandler then) {
    this.purpose = purpose;
    this.runtime = runtime;
    this.prefixes = prefixes;
    this.until = until;
    this.then = then;
  }

  private void fail() {
    if (!finished) {
      finished = true;
      then.found(found, false);
    }
  }

  private void finishIfAllAnswered() {
    if (unanswered == 0 && !finished) {
      finished = true;
      then.found(found, true);
    }
  }

  private void readOne(int step, String id) {
    runtime.readState(
        purpose,
        StateMessage.keyPath(prefixes.get(step) + id),
        TIMEOUT_MS,
        reply -> {
          if (reply.isNotFound() && step + 1 < prefixes.size()) {
            readOne(step + 1, id);
            return;
          }
          if (!reply.isNotFound()) {
            takeOne(id, reply);
          }
          unanswered--;
          finishIfAllAnswered();
        });
  }

  private void takeOne(String id, StateReply reply) {
    if (!reply.isOk()) {
      fail();
      return;
    }
    try {
      found.put(id, StoredJob.of(StateMessage.entry(reply.body())));
    } catch (MalformedException e) {
      fail();
    }
  }

  private void readRange(int step, NavigableSet<String> wanted) {
    if (wanted.isEmpty()) {
      finishIfAllAnswered();
      return;
    }
    if (runtime.now() > until) {
      fail();
      return;
    }
    String prefix = prefixes.get(step);
    runtime.readState(
        purpose,
        new StateMessage.RangePath(prefix)
            .after(lastKeyBefore(prefix + wanted.first()))
            .limit(PAGE_KEYS)
            .toString(),
        TIMEOUT_MS,
        reply -> {
          if (!reply.isOk()) {
            fail();
            return;
          }
          try {
            JsonNode body = reply.body();
            takePage(step, wanted, StateMessage.entries(body), StateMessage.more(body));
          } catch (MalformedException e) {
            fail();
          }
        });
  }

  /** A text that sorts before this key and after all lesser ids, since every id ends in a digit. */
  private static String lastKeyBefore(String key) {
    int end = key.length() - 1;
    return key.substring(0, end) + (char) (key.charAt(end) - 1) + "~";
  }

  private void takePage(
      int step, NavigableSet<String> wanted, List<StateMessage.Entry> page, boolean more) {
    String last = null;
    for (StateMessage.Entry entry : page) {
      last = entry.key().substring(prefixes.get(step).length());
      if (wanted.contains(last)) {
        found.put(last, StoredJob.of(entry));
      }
    }
    TreeSet<String> left =
        more && last != null ? new TreeSet<>(wanted.tailSet(last, false)) : new TreeSet<>();
    List<String> missing = new ArrayList<>(wanted);
    missing.removeIf(id -> found.containsKey(id) || left.contains(id));
    absent.addAll(missing);
    if (left.isEmpty() && step + 1 < prefixes.size()) {
      TreeSet<String> rest = new TreeSet<>(absent);
      absent.clear();
      readRange(step + 1, rest);
    } else {
      readRange(step, left);
    }
  }
}
