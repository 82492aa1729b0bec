package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.LiveJobMemory;
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
 * Caches the live jobs on this node and validates the cache by reading the changes since its last
 * revision. A single read serves all status queries that arrived before it was sent. The number of
 * requests to the state service therefore depends on time and on the number of changes, not on the
 * number of queries.
 */
public final class LiveJobCache {
  /** Listener for cancellations and validations. */
  public interface Listener {
    /** Called when a job's record shows that the job is cancelled. */
    void onCancelled(String job);

    /**
     * Called when the cache holds all records that were stored at a given time, after {@link
     * #onCancelled} was called for all cancellations among them.
     *
     * @param asOfMs that time, in milliseconds of the monotonic clock
     */
    void onUpToDate(long asOfMs);
  }

  /** Share of the state service's request rate that the validations of all nodes may use. */
  private static final double MAX_SHARE_OF_RATE = 0.15;

  private static final double MIN_REQUESTS_PER_S = 0.1;
  private static final long MIN_REQUEST_INTERVAL_MS = 100;
  private static final long MAX_RETRY_DELAY_MS = 1_000;

  /**
   * Maximum interval of validations without waiting queries. They are needed because the state
   * service keeps past changes for a limited time only, and because a leader may act only while its
   * knowledge of cancellations is recent enough.
   */
  private static final long MAX_VALIDATION_INTERVAL_MS = 5_000;

  private static final long MIN_VALIDATION_INTERVAL_MS = 500;

  /**
   * Number of validations in the time from the end of a worker's lease to the due time of a
   * cancellation.
   */
  private static final int VALIDATIONS_PER_SLACK = 4;

  /** Maximum wait for a validation. Users wait 2 s for the answer to a status query. */
  private static final long MAX_WAIT_MS = 1_500;

  private static final int TIMEOUT_MS = 1_000;
  private static final int MAX_WAITERS = 5_000;

  /** HTTP status of a read of changes that the state service no longer keeps. */
  private static final int CHANGES_GONE = 410;

  /** A query that waits until the cache is validated. */
  private record Waiter(long deadlineMs, Runnable onFresh, Runnable onUnavailable) {}

  private final CoreRuntime runtime;
  private final Listener listener;
  private final LiveJobMemory memory;
  private final long minRequestIntervalMs;
  private final long validationIntervalMs;
  private final LiveJobs jobs =
      new LiveJobs(StorageKeys.JOBS, LiveJobCache::isCancelled, JobRecord::dependencies);
  private final Backoff backoff;
  private ArrayDeque<Waiter> waiters = new ArrayDeque<>();
  private boolean isRequestOpen;
  private long nextRequestAt;
  private long validatedAt = MonotonicTime.UNSET;
  private long validations;
  private long loads;

  /**
   * Creates an empty cache, which reads the live jobs at the next tick.
   *
   * @param memory account in which all live jobs are counted
   */
  public LiveJobCache(
      Settings settings, CoreRuntime runtime, Listener listener, LiveJobMemory memory) {
    this.runtime = runtime;
    this.listener = listener;
    this.memory = memory;
    int maxChunkBytes = settings.stateLimits().maxValueBytes();
    jobs.setListener(
        new LiveJobs.Listener() {
          @Override
          public void onCached(String id, JsonNode value) {
            long textBytes = JobRecord.submissionBytes(value, maxChunkBytes);
            memory.putLive(id, JobRecord.group(value), textBytes);
          }

          @Override
          public void onRemoved(String id) {
            memory.removeLive(id);
          }

          @Override
          public void onCleared() {
            memory.clearLive();
          }
        });
    this.backoff = runtime.backoff(MIN_REQUEST_INTERVAL_MS, MAX_RETRY_DELAY_MS);
    Settings.Workers workers = settings.workers();
    long intervalMs =
        (long)
            (1000 * (workers.cancellationDeadlineS() - workers.leaseS()) / VALIDATIONS_PER_SLACK);
    this.validationIntervalMs =
        Math.max(MIN_VALIDATION_INTERVAL_MS, Math.min(MAX_VALIDATION_INTERVAL_MS, intervalMs));
    int nodes = settings.peers().size() + 1;
    double requestsPerS = settings.stateLimits().maxRps() * MAX_SHARE_OF_RATE / nodes;
    this.minRequestIntervalMs =
        Math.max(
            MIN_REQUEST_INTERVAL_MS, (long) (1000 / Math.max(MIN_REQUESTS_PER_S, requestsPerS)));
  }

  /** Returns whether the live jobs are loaded, so that a single read can validate the cache. */
  public boolean isLoaded() {
    return jobs.isLoaded();
  }

  /** Returns a live job as of the last validation, or null if there was none with this id. */
  public LiveJobs.CachedJob get(String id) {
    return jobs.get(id);
  }

  /**
   * Waits for a validation of the cache and calls exactly one of the two handlers, once.
   *
   * @param onFresh called when the cache holds all records that were stored at the time of this
   *     call
   * @param onUnavailable called if the cache was not validated within the time that a user waits,
   *     or if too many queries are waiting
   */
  public void whenFresh(Runnable onFresh, Runnable onUnavailable) {
    if (waiters.size() >= MAX_WAITERS) {
      onUnavailable.run();
      return;
    }
    waiters.add(new Waiter(runtime.now() + MAX_WAIT_MS, onFresh, onUnavailable));
    readIfDue();
  }

  /** Requests a validation as soon as possible, even if no query is waiting. */
  public void requestValidation() {
    validatedAt = MonotonicTime.UNSET;
  }

  /** Times out queries that have waited too long, and reads from the state service if due. */
  public void tick() {
    while (!waiters.isEmpty() && waiters.peek().deadlineMs <= runtime.now()) {
      waiters.poll().onUnavailable.run();
    }
    readIfDue();
  }

  private void readIfDue() {
    long now = runtime.now();
    boolean isWanted = !waiters.isEmpty() || now - validatedAt >= validationIntervalMs;
    if (isRequestOpen || now < nextRequestAt || !isWanted) {
      return;
    }
    isRequestOpen = true;
    nextRequestAt = now + minRequestIntervalMs;
    if (jobs.isLoaded()) {
      readChanges();
    } else {
      load();
    }
  }

  private void readChanges() {
    // The reply serves only queries that arrived before the request is sent.
    ArrayDeque<Waiter> covered = waiters;
    waiters = new ArrayDeque<>();
    validations++;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.PROOFS,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + jobs.revision() + "&hold_ms=0",
        TIMEOUT_MS,
        (outcome, status, body) -> {
          isRequestOpen = false;
          if (outcome.isSuccess(status) && applyChanges(body)) {
            validatedAt = runtime.now();
            onUpToDate(sentAt);
            backoff.reset();
            covered.forEach(waiter -> waiter.onFresh.run());
            return;
          }
          if (outcome == Outcome.ANSWERED && status == CHANGES_GONE) {
            jobs.clear();
          }
          covered.addAll(waiters);
          waiters = covered;
          nextRequestAt = runtime.now() + backoff.nextDelayMs(runtime.retryAfterMs());
        });
  }

  private void onUpToDate(long asOfMs) {
    memory.onLiveJobsRead(asOfMs);
    listener.onUpToDate(asOfMs);
  }

  /**
   * Applies the changes of a reply.
   *
   * @return whether they were applied; false if the reply is malformed or older than the cache
   */
  private boolean applyChanges(JsonNode body) {
    try {
      long revision = StateMessage.revision(body);
      if (revision < jobs.revision()) {
        return false;
      }
      List<StateMessage.Entry> changes = StateMessage.changes(body);
      jobs.applyChanges(changes, revision);
      changes.forEach(this::notifyIfCancelled);
      return true;
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.REQUEST, "watch jobs", e);
      jobs.clear();
      return false;
    }
  }

  private void notifyIfCancelled(StateMessage.Entry entry) {
    if (entry.key().startsWith(StorageKeys.JOBS)
        && entry.value() != null
        && isCancelled(entry.value())) {
      listener.onCancelled(entry.key().substring(StorageKeys.JOBS.length()));
    }
  }

  private static boolean isCancelled(JsonNode value) {
    return JobRecord.phaseOf(value) == JobStatus.Phase.ABORTED;
  }

  private void load() {
    loads++;
    long sentAt = runtime.now();
    jobs.clear();
    new RangeReader(runtime, RequestClass.PROOFS, () -> false)
        .readPages(
            StorageKeys.JOBS,
            page -> {
              jobs.addPage(page);
              page.forEach(this::notifyIfCancelled);
            },
            oldestRevision -> {
              isRequestOpen = false;
              jobs.completeLoad(oldestRevision);
              onUpToDate(sentAt);
              backoff.reset();
              nextRequestAt = runtime.now();
              readIfDue();
            });
  }

  /** Returns the number of reads of changes that were sent. */
  public long validations() {
    return validations;
  }

  /** Returns the number of times that reading all live jobs was started. */
  public long loads() {
    return loads;
  }

  /** Returns the number of cached live jobs. */
  public int size() {
    return jobs.size();
  }

  /** Returns the number of queries that wait for the next validation. */
  public int waiterCount() {
    return waiters.size();
  }
}
