package org.snowturn.core.election;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snowturn.core.PeerMessage;

/**
 * The cancellations that this process has confirmed to users, numbered in the order in which it
 * did. A leader that cannot read the state service learns them from here.
 */
final class CancellationLog {
  /**
   * No cancellation confirmed longer ago can matter to a leader that may still act: it would have
   * lost its authority.
   */
  private static final long MAX_AGE_MS = 180_000;

  private static final int MAX_ENTRIES = 5_000;

  /** So many fit one message between controllers, with names of the greatest length. */
  private static final int MAX_JOBS_PER_MESSAGE = 150;

  private record Entry(long number, long confirmedAt, String job) {}

  private final String incarnation;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final Set<String> listed = new HashSet<>();
  private long last;
  private long lastDropped;
  private long lastDroppedConfirmedAt;

  /**
   * An empty log.
   *
   * @param incarnation names the process whose log this is
   */
  CancellationLog(String incarnation) {
    this.incarnation = incarnation;
  }

  /** Adds a cancellation that is about to be confirmed to a user, unless it is there already. */
  void append(String job, long nowMs) {
    trim(nowMs);
    if (listed.add(job)) {
      entries.add(new Entry(++last, nowMs, job));
    }
  }

  private void trim(long nowMs) {
    while (!entries.isEmpty()
        && (entries.size() >= MAX_ENTRIES || nowMs - entries.peek().confirmedAt > MAX_AGE_MS)) {
      Entry oldest = entries.poll();
      listed.remove(oldest.job);
      lastDropped = oldest.number;
      lastDroppedConfirmedAt = oldest.confirmedAt;
    }
  }

  /** How many entries there are. */
  int size() {
    return entries.size();
  }

  /**
   * The entries after those that the peer who asks has, as many as fit a message.
   *
   * @param from this node
   * @param position up to where the peer has a log of this node; null if it has none
   */
  PeerMessage.CancellationsReply reply(
      PeerMessage.CancellationsRequest request,
      String from,
      PeerMessage.LogPosition position,
      long nowMs) {
    trim(nowMs);
    boolean sameLog = position != null && position.incarnation().equals(incarnation);
    long received = sameLog ? position.lastReceivedNumber() : 0;
    long after = Math.max(lastDropped, Math.min(received, last));
    return new PeerMessage.CancellationsReply(
        from,
        request.from(),
        request.requestId(),
        incarnation,
        after,
        last,
        lastDropped,
        lastDropped == 0 ? 0 : nowMs - lastDroppedConfirmedAt,
        jobsAfter(after));
  }

  private List<String> jobsAfter(long number) {
    List<String> jobs = new ArrayList<>();
    if (number < last) {
      for (Entry entry : entries) {
        if (entry.number > number && jobs.size() < MAX_JOBS_PER_MESSAGE) {
          jobs.add(entry.job);
        }
      }
    }
    return jobs;
  }
}
