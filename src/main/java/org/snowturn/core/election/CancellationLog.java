package org.snowturn.core.election;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snowturn.core.PeerMessage;

/**
 * Log of the cancellations that this process has confirmed to users, numbered in the order of their
 * confirmation. Peers receive them from this log, so that a leader learns of them even when it
 * cannot read the state service.
 */
final class CancellationLog {
  /**
   * Maximum age of an entry. A leader that has not learned of a cancellation for this long has lost
   * its authority, so older entries are not needed.
   */
  private static final long MAX_AGE_MS = 180_000;

  /** Maximum number of entries; the oldest ones are dropped first. */
  private static final int MAX_ENTRIES = 5_000;

  /** Number of job IDs of maximum length that fit in one message between controllers. */
  private static final int MAX_JOBS_PER_MESSAGE = 150;

  private record Entry(long number, long confirmedAt, String job) {}

  private final String incarnation;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final Set<String> loggedJobs = new HashSet<>();
  private long lastNumber;
  private long lastDroppedNumber;
  private long lastDroppedConfirmedAt;

  /**
   * Creates an empty log.
   *
   * @param incarnation the unique identifier of the process that writes the log
   */
  CancellationLog(String incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Appends a cancellation that is about to be confirmed to a user, unless the log contains it.
   *
   * @param job the ID of the cancelled job
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  void append(String job, long nowMs) {
    trim(nowMs);
    if (loggedJobs.add(job)) {
      entries.add(new Entry(++lastNumber, nowMs, job));
    }
  }

  private void trim(long nowMs) {
    while (!entries.isEmpty()
        && (entries.size() >= MAX_ENTRIES || nowMs - entries.peek().confirmedAt > MAX_AGE_MS)) {
      Entry oldest = entries.poll();
      loggedJobs.remove(oldest.job);
      lastDroppedNumber = oldest.number;
      lastDroppedConfirmedAt = oldest.confirmedAt;
    }
  }

  /** Returns the number of entries. */
  int size() {
    return entries.size();
  }

  /**
   * Creates the reply to a request of a peer. It contains the first entries that the peer has not
   * received, limited to those that fit in one message.
   *
   * @param from the name of this node
   * @param position the last entry that the peer has received from this node; null if it has
   *     received none
   * @param nowMs the current time, in milliseconds of the monotonic clock
   */
  PeerMessage.CancellationsReply createReply(
      PeerMessage.CancellationsRequest request,
      String from,
      PeerMessage.LogPosition position,
      long nowMs) {
    trim(nowMs);
    boolean isSameLog = position != null && position.incarnation().equals(incarnation);
    long received = isSameLog ? position.lastReceivedNumber() : 0;
    long after = Math.max(lastDroppedNumber, Math.min(received, lastNumber));
    return new PeerMessage.CancellationsReply(
        from,
        request.from(),
        request.requestId(),
        incarnation,
        after,
        lastNumber,
        lastDroppedNumber,
        lastDroppedNumber == 0 ? 0 : nowMs - lastDroppedConfirmedAt,
        jobsAfter(after));
  }

  private List<String> jobsAfter(long number) {
    List<String> jobs = new ArrayList<>();
    if (number < lastNumber) {
      for (Entry entry : entries) {
        if (entry.number > number && jobs.size() < MAX_JOBS_PER_MESSAGE) {
          jobs.add(entry.job);
        }
      }
    }
    return jobs;
  }
}
