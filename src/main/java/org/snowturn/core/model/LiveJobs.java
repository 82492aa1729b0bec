package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.snowturn.wire.StateMessage;

/**
 * Which jobs have a live record, and which of those are cancelled, as of a revision of the state
 * service. Built from a range that was read, page by page, and from the changes since: whatever the
 * order in which they come, the version of each record decides what is newer.
 */
public final class LiveJobs {
  /**
   * What there is to know of a live record.
   *
   * @param dependencies the jobs that it was submitted to wait for
   */
  public record CachedJob(long version, boolean cancelled, List<String> dependencies) {}

  private final Map<String, CachedJob> live = new HashMap<>();
  private final String prefix;
  private final Predicate<JsonNode> cancelled;
  private final Function<JsonNode, List<String>> awaits;
  private long revision = -1;

  /**
   * Knows nothing yet.
   *
   * @param prefix of the records' keys
   * @param cancelled whether a record's value says that the job is cancelled
   * @param awaits what a record's value names as awaited
   */
  public LiveJobs(
      String prefix, Predicate<JsonNode> cancelled, Function<JsonNode, List<String>> awaits) {
    this.awaits = awaits;
    this.prefix = prefix;
    this.cancelled = cancelled;
  }

  /** Whether there is a cache at all. */
  public boolean isLoaded() {
    return revision >= 0;
  }

  /** The cache is complete up to here. */
  public long revision() {
    return revision;
  }

  /** Forgets everything. */
  public void clear() {
    live.clear();
    revision = -1;
  }

  /** Starts anew from a whole range, none of whose pages is older than {@code epoch}. */
  public void load(List<StateMessage.Entry> entries, long epoch) {
    clear();
    entries.forEach(this::take);
    revision = epoch;
  }

  /**
   * All changes since {@link #revision}, up to {@code epoch}. An answer that is older than the
   * cache changes nothing.
   */
  public void applyChanges(List<StateMessage.Entry> changes, long epoch) {
    if (epoch < revision) {
      return;
    }
    changes.forEach(this::take);
    revision = epoch;
  }

  private void take(StateMessage.Entry entry) {
    if (!entry.key().startsWith(prefix)) {
      return;
    }
    String id = entry.key().substring(prefix.length());
    CachedJob known = live.get(id);
    // A page may be younger than the changes that are told after it.
    if (known != null && known.version >= entry.version()) {
      return;
    }
    if (entry.value() == null) {
      live.remove(id);
    } else {
      live.put(
          id,
          new CachedJob(
              entry.version(), cancelled.test(entry.value()), awaits.apply(entry.value())));
    }
  }

  /** A job's live record; null if there is none. */
  public CachedJob get(String id) {
    return live.get(id);
  }

  /** How many jobs are live. */
  public int size() {
    return live.size();
  }
}
