package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.LiveJobs;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Keeps a cache of the live jobs on every node and proves that it is fresh: one read of the changes
 * since, sent after all who wait for it have asked, answers them all. So polls cost the state
 * service nothing apiece; what it is asked grows with time and with changes.
 */
public final class LiveJobCache {
  /** Who wants to know what the cache proves. */
  public interface Listener {
    /** The job's record says that it is cancelled. */
    void cancelled(String job);

    /**
     * The cache holds all that was stored at this moment, in milliseconds of the steady clock, and
     * all cancellations among it have been told.
     */
    void complete(long at);
  }

  /** The share of the state service's request rate that the reads of all nodes may take. */
  private static final double MAX_SHARE_OF_RATE = 0.15;

  private static final double MIN_REQUESTS_PER_S = 0.1;
  private static final long MIN_INTERVAL_MS = 100;
  private static final long MAX_RETRY_MS = 1_000;

  /**
   * Without anybody who waits, the changes are read now and then: the state service keeps past
   * changes only for a while, and a leader may act only as long as its knowledge of cancellations
   * is young enough.
   */
  private static final long MAX_REFRESH_MS = 5_000;

  private static final long MIN_REFRESH_MS = 500;

  /** The part of the time between a worker's lease and a cancellation's due time. */
  private static final int REFRESHES_PER_SLACK = 4;

  /** Users wait two seconds for a poll. */
  private static final long MAX_WAIT_MS = 1_500;

  private static final int TIMEOUT_MS = 1_000;
  private static final int MAX_WAITING = 5_000;
  private static final int CHANGES_GONE = 410;

  /** Somebody who waits until the cache is proven fresh. */
  private record Waiter(long until, Runnable fresh, Runnable unknown) {}

  private final CoreRuntime runtime;
  private final Listener listener;
  private final long minIntervalMs;
  private final long refreshMs;
  private final LiveJobs jobs =
      new LiveJobs(StorageKeys.JOBS, LiveJobCache::isCancelled, JobRecord::awaits);
  private final Backoff backoff;
  private ArrayDeque<Waiter> waiting = new ArrayDeque<>();
  private boolean requestOpen;
  private long nextAt;
  private long freshAt = MonotonicTime.NEVER;
  private long proofs;
  private long loads;

  /** An empty cache; reads the live jobs at the next tick. */
  public LiveJobCache(Settings settings, CoreRuntime runtime, Listener listener) {
    this.runtime = runtime;
    this.listener = listener;
    this.backoff = runtime.backoff(MIN_INTERVAL_MS, MAX_RETRY_MS);
    Settings.Workers workers = settings.workers();
    long slackMs =
        (long) (1000 * (workers.cancellationDeadlineS() - workers.leaseS()) / REFRESHES_PER_SLACK);
    this.refreshMs = Math.max(MIN_REFRESH_MS, Math.min(MAX_REFRESH_MS, slackMs));
    int nodes = settings.peers().size() + 1;
    double requestsPerS = settings.stateLimits().maxRps() * MAX_SHARE_OF_RATE / nodes;
    this.minIntervalMs =
        Math.max(MIN_INTERVAL_MS, (long) (1000 / Math.max(MIN_REQUESTS_PER_S, requestsPerS)));
  }

  /** Whether there is a cache that can be proven fresh by one read. */
  public boolean known() {
    return jobs.known();
  }

  /** A live job, as of the last proof; null if there was none of this name. */
  public LiveJobs.Seen get(String id) {
    return jobs.get(id);
  }

  /**
   * Calls one of the two, once: {@code fresh} when the cache holds everything that was stored when
   * this was called, {@code unknown} if that could not be found out in the time that a user waits.
   */
  public void whenFresh(Runnable fresh, Runnable unknown) {
    if (waiting.size() >= MAX_WAITING) {
      unknown.run();
      return;
    }
    waiting.add(new Waiter(runtime.now() + MAX_WAIT_MS, fresh, unknown));
    readIfDue();
  }

  /** Proves the cache as soon as possible, whether or not anybody waits for it. */
  public void refresh() {
    freshAt = MonotonicTime.NEVER;
  }

  /** Gives up on those who have waited too long, and reads if it is time. */
  public void tick() {
    while (!waiting.isEmpty() && waiting.peek().until <= runtime.now()) {
      waiting.poll().unknown.run();
    }
    readIfDue();
  }

  private void readIfDue() {
    long now = runtime.now();
    boolean wanted = !waiting.isEmpty() || now - freshAt >= refreshMs;
    if (requestOpen || now < nextAt || !wanted) {
      return;
    }
    requestOpen = true;
    nextAt = now + minIntervalMs;
    if (jobs.known()) {
      readChanges();
    } else {
      load();
    }
  }

  private void readChanges() {
    // Only who has asked before the request is sent is answered by its reply.
    ArrayDeque<Waiter> covered = waiting;
    waiting = new ArrayDeque<>();
    proofs++;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.PROOFS,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + jobs.revision() + "&hold_ms=0",
        TIMEOUT_MS,
        (outcome, status, body) -> {
          requestOpen = false;
          if (outcome.succeeded(status) && applyChanges(body)) {
            freshAt = runtime.now();
            listener.complete(sentAt);
            backoff.reset();
            covered.forEach(waiter -> waiter.fresh.run());
            return;
          }
          if (outcome == Outcome.ANSWERED && status == CHANGES_GONE) {
            jobs.drop();
          }
          covered.addAll(waiting);
          waiting = covered;
          nextAt = runtime.now() + backoff.next(runtime.retryAfterMs());
        });
  }

  /** Returns whether the cache has all changes of a reply, and is not younger than it. */
  private boolean applyChanges(JsonNode body) {
    try {
      long revision = StateMessage.revision(body);
      if (revision < jobs.revision()) {
        return false;
      }
      List<StateMessage.Entry> changes = StateMessage.changes(body);
      jobs.follow(changes, revision);
      changes.forEach(this::tellIfCancelled);
      return true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.REQUEST, "watch jobs")
          .with(LogField.ERROR, e.getMessage())
          .write();
      jobs.drop();
      return false;
    }
  }

  private void tellIfCancelled(StateMessage.Entry entry) {
    if (entry.key().startsWith(StorageKeys.JOBS)
        && entry.value() != null
        && isCancelled(entry.value())) {
      listener.cancelled(entry.key().substring(StorageKeys.JOBS.length()));
    }
  }

  private static boolean isCancelled(JsonNode value) {
    return JobRecord.phaseOf(value) == JobStatus.Phase.ABORTED;
  }

  private void load() {
    loads++;
    long sentAt = runtime.now();
    new RangeReader(runtime, RequestClass.PROOFS, () -> false)
        .read(
            StorageKeys.JOBS,
            range -> {
              requestOpen = false;
              jobs.load(range.entries(), range.epoch());
              range.entries().forEach(this::tellIfCancelled);
              listener.complete(sentAt);
              backoff.reset();
              nextAt = runtime.now();
              readIfDue();
            });
  }

  /** How many reads of changes were sent. */
  public long proofs() {
    return proofs;
  }

  /** How many times all live jobs were read. */
  public long loads() {
    return loads;
  }

  /** How many live jobs it holds. */
  public int size() {
    return jobs.size();
  }

  /** How many wait for the next proof. */
  public int waiting() {
    return waiting.size();
  }
}
