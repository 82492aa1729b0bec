package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.LiveJobs;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Keeps a cache of the live jobs on every node and proves that it is fresh: one question for the
 * changes since, sent after all who wait for it have asked, answers them all. So polls cost the
 * state service nothing apiece; what it is asked grows with time and with changes.
 */
public final class LiveJobCache {
  /** Who wants to know what the cache proves. */
  public interface Listener {
    /** The job's record says that it is cancelled. */
    void cancelled(String job);

    /** The cache holds all that was stored at this moment, and all of it has been told. */
    void complete(long at);
  }

  /** Of the state service's requests, the proofs of all nodes together take no more than this. */
  private static final double MOST_OF_RATE = 0.15;

  private static final long LEAST_EVERY_MS = 100;

  /**
   * Without anybody who asks, the changes are fetched now and then: their past is kept not long,
   * and a leader may act only as long as its knowledge of cancellations is young enough.
   */
  private static final long REFRESH_MOST_MS = 5_000;

  private static final long REFRESH_LEAST_MS = 500;

  /** Users wait two seconds for a poll. */
  private static final long PATIENCE_MS = 1_500;

  private static final int TIMEOUT_MS = 1_000;
  private static final int MOST_WAITING = 5_000;

  private record Asker(long until, Runnable fresh, Runnable unknown) {}

  private final CoreRuntime runtime;
  private final Listener listener;
  private final long everyMs;
  private final long refreshMs;
  private final LiveJobs jobs =
      new LiveJobs(StorageKeys.JOBS, LiveJobCache::isCancelled, JobRecord::awaits);
  private final Backoff backoff;
  private ArrayDeque<Asker> waiting = new ArrayDeque<>();
  private boolean busy;
  private long nextAt;
  private long freshAt = Job.UNKNOWN;
  private long proofs;
  private long loads;

  public LiveJobCache(Settings settings, CoreRuntime runtime, Listener listener) {
    this.runtime = runtime;
    this.listener = listener;
    this.backoff = runtime.backoff(LEAST_EVERY_MS, 1_000);
    Settings.Workers w = settings.workers();
    long spare = (long) (1000 * (w.cancelS() - w.leaseS()) / 4);
    this.refreshMs = Math.max(REFRESH_LEAST_MS, Math.min(REFRESH_MOST_MS, spare));
    int nodes = settings.peers().size() + 1;
    double each = settings.stateLimits().rps() * MOST_OF_RATE / nodes;
    everyMs = Math.max(LEAST_EVERY_MS, (long) (1000 / Math.max(0.1, each)));
  }

  /** Whether there is a cache that can be proven fresh by one question. */
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
    if (waiting.size() >= MOST_WAITING) {
      unknown.run();
      return;
    }
    waiting.add(new Asker(runtime.now() + PATIENCE_MS, fresh, unknown));
    step();
  }

  /** Proves the cache at the next occasion, whether or not anybody waits for it. */
  public void refresh() {
    freshAt = Job.UNKNOWN;
  }

  public void tick() {
    while (!waiting.isEmpty() && waiting.peek().until <= runtime.now()) {
      waiting.poll().unknown.run();
    }
    step();
  }

  private void step() {
    long now = runtime.now();
    boolean wanted = !waiting.isEmpty() || now - freshAt >= refreshMs;
    if (busy || now < nextAt || !wanted) {
      return;
    }
    busy = true;
    nextAt = now + everyMs;
    if (jobs.known()) {
      prove();
    } else {
      load();
    }
  }

  private void prove() {
    // Only who had asked before the question is sent is answered by it.
    ArrayDeque<Asker> covered = waiting;
    waiting = new ArrayDeque<>();
    proofs++;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.PROOFS,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + jobs.revision() + "&hold_ms=0",
        TIMEOUT_MS,
        (outcome, status, body) -> {
          busy = false;
          if (outcome == Outcome.ANSWERED && status == 200 && follow(body)) {
            freshAt = runtime.now();
            listener.complete(sentAt);
            backoff.reset();
            covered.forEach(a -> a.fresh.run());
            return;
          }
          if (outcome == Outcome.ANSWERED && status == 410) {
            jobs.drop(); // the changes since are gone: the whole is read again
          }
          covered.addAll(waiting);
          waiting = covered;
          nextAt = runtime.now() + backoff.next(runtime.retryAfterMs());
        });
  }

  private boolean follow(JsonNode body) {
    try {
      long epoch = StateMessage.epoch(body);
      if (epoch < jobs.revision()) {
        return false; // older than what has been told already
      }
      List<StateMessage.Entry> changes = StateMessage.events(body);
      jobs.follow(changes, epoch);
      changes.forEach(this::tellIfCancelled);
      return true;
    } catch (MalformedException e) {
      runtime.note("unusable changes of jobs: " + e.getMessage());
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
              busy = false;
              jobs.load(range.entries(), range.epoch());
              range.entries().forEach(this::tellIfCancelled);
              listener.complete(sentAt);
              backoff.reset();
              nextAt = runtime.now();
              step();
            });
  }

  /** How many questions proved the cache, or tried to. */
  public long proofs() {
    return proofs;
  }

  /** How many times the whole was read. */
  public long loads() {
    return loads;
  }

  /** How many live jobs it holds. */
  public int size() {
    return jobs.size();
  }

  /** How many wait for a proof. */
  public int waiting() {
    return waiting.size();
  }
}
