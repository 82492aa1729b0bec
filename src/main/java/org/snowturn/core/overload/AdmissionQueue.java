package org.snowturn.core.overload;

import java.util.ArrayDeque;

/**
 * Requests in front of a {@link ConcurrencyLimit}: those that it does not admit wait, unread. While
 * some wait the newest goes first, since its caller will still be there when the answer comes; what
 * has waited for nearly as long as callers do is refused. Not safe for use by several threads.
 */
public final class AdmissionQueue<T> {
  /** Callers give up after 4 s; the rest of that is for the answer. */
  static final long PATIENCE_NANOS = 3_000_000_000L;

  private record Waiting<T>(T request, long sinceNanos) {}

  private final ConcurrencyLimit limit;
  private final ArrayDeque<Waiting<T>> waiting = new ArrayDeque<>();
  private long expired;

  /** A queue in front of a limit. */
  public AdmissionQueue(ConcurrencyLimit limit) {
    this.limit = limit;
  }

  /** Whether a request that has just come is to be taken in now; if not it waits here. */
  public boolean enter(T request, long nowNanos) {
    if (waiting.isEmpty() && limit.admit()) {
      return true;
    }
    waiting.addLast(new Waiting<>(request, nowNanos));
    return false;
  }

  /** The request to take in next, or null if there is none or the limit is reached. */
  public T next() {
    return !waiting.isEmpty() && limit.admit() ? waiting.pollLast().request : null;
  }

  /** A request that has waited for too long, to be refused, or null. */
  public T expired(long nowNanos) {
    Waiting<T> oldest = waiting.peekFirst();
    if (oldest == null || nowNanos - oldest.sinceNanos < PATIENCE_NANOS) {
      return null;
    }
    expired++;
    return waiting.pollFirst().request;
  }

  /** A request that was taken in was answered, or has come to nothing. */
  public void done(long tookNanos, long nowNanos) {
    limit.done(tookNanos, nowNanos);
  }

  /** How many wait. */
  public int size() {
    return waiting.size();
  }

  /** How many may be in progress now. */
  public int limit() {
    return limit.limit();
  }

  /** How many have waited for too long. */
  public long expired() {
    return expired;
  }
}
