package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.snowturn.wire.StateMessage;

/**
 * A cache of the jobs that have a live record, as of a revision of the state service. It is loaded
 * from a range read, which may have several pages, and then updated with the changes since. Pages
 * and changes may overlap; of two contents of a record, the one with the higher version is kept.
 */
public final class LiveJobs {
  /**
   * The cached part of a live record.
   *
   * @param version the version of the record
   * @param cancelled whether the job is cancelled
   * @param dependencies the ids of the jobs that the job was submitted to wait for
   */
  public record CachedJob(long version, boolean cancelled, List<String> dependencies) {}

  /** Listener for changes of the cached jobs. */
  public interface Listener {
    /** Called when a live record is cached for the first time or in a newer version. */
    default void onCached(String id, JsonNode value) {}

    /** Called when a job is no longer live. */
    default void onRemoved(String id) {}

    /** Called when the cache is emptied. */
    default void onCleared() {}
  }

  private final Map<String, CachedJob> live = new HashMap<>();
  private final String keyPrefix;
  private final Predicate<JsonNode> isCancelled;
  private final Function<JsonNode, List<String>> dependencies;
  private Listener listener = new Listener() {};
  private long revision = -1;

  /**
   * Creates an empty cache without a listener.
   *
   * @param keyPrefix the prefix of the keys of live records; the rest of a key is the job's id
   * @param isCancelled predicate for whether a record's value says that the job is cancelled
   * @param dependencies function from a record's value to the ids of the jobs that its job waits
   *     for
   */
  public LiveJobs(
      String keyPrefix,
      Predicate<JsonNode> isCancelled,
      Function<JsonNode, List<String>> dependencies) {
    this.dependencies = dependencies;
    this.keyPrefix = keyPrefix;
    this.isCancelled = isCancelled;
  }

  /** Sets the listener for all changes from now on. */
  public void setListener(Listener listener) {
    this.listener = listener;
  }

  /** Returns whether the cache is loaded. */
  public boolean isLoaded() {
    return revision >= 0;
  }

  /** Returns the revision up to which the cache is complete; -1 if it is not loaded. */
  public long revision() {
    return revision;
  }

  /** Empties the cache, so that it must be loaded again. */
  public void clear() {
    live.clear();
    revision = -1;
    listener.onCleared();
  }

  /**
   * Replaces the contents with a complete range read.
   *
   * @param entries the entries of all pages
   * @param oldestRevision the revision of the oldest page
   */
  public void load(List<StateMessage.Entry> entries, long oldestRevision) {
    clear();
    addPage(entries);
    completeLoad(oldestRevision);
  }

  /** Adds a page of a range read to the empty cache, which is not loaded before the last page. */
  public void addPage(List<StateMessage.Entry> entries) {
    entries.forEach(this::apply);
  }

  /**
   * Completes a load after the last page.
   *
   * @param oldestRevision the revision of the oldest page
   */
  public void completeLoad(long oldestRevision) {
    revision = oldestRevision;
  }

  /**
   * Applies all changes between {@link #revision} and a later revision. Changes whose new revision
   * is older than that of the cache are ignored, as their response was delayed, and so is each
   * change that the cache already contains: nothing is kept of a removed entry that an older
   * version could be compared with.
   *
   * @param changes the changed entries, the oldest first; those with a null value are removed
   * @param newRevision the revision up to which the changes are complete
   */
  public void applyChanges(List<StateMessage.Entry> changes, long newRevision) {
    if (newRevision < revision) {
      return;
    }
    for (StateMessage.Entry change : changes) {
      if (change.version() > revision) {
        apply(change);
      }
    }
    revision = newRevision;
  }

  private void apply(StateMessage.Entry entry) {
    if (!entry.key().startsWith(keyPrefix)) {
      return;
    }
    String id = entry.key().substring(keyPrefix.length());
    CachedJob cached = live.get(id);
    // Pages are read at different revisions, so one may already contain a change that follows.
    if (cached != null && cached.version >= entry.version()) {
      return;
    }
    if (entry.value() == null) {
      live.remove(id);
      listener.onRemoved(id);
    } else {
      listener.onCached(id, entry.value());
      live.put(
          id,
          new CachedJob(
              entry.version(), isCancelled.test(entry.value()), dependencies.apply(entry.value())));
    }
  }

  /** Returns the cached part of a job's live record; null if there is none. */
  public CachedJob get(String id) {
    return live.get(id);
  }

  /** Returns the number of live jobs. */
  public int size() {
    return live.size();
  }
}
