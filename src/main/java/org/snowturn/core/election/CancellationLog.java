package org.snowturn.core.election;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snowturn.core.PeerMessage;

/**
 * The cancellations that this process has told users of, numbered in the order in which it did. A
 * leader that cannot read the state service learns them from here.
 */
final class CancellationLog {
  /**
   * No cancellation told longer ago can matter to a leader that may still act: it would have lost
   * its authority. The list is also bounded in number; what is dropped early is said to be.
   */
  private static final long KEPT_MS = 180_000;

  private static final int MOST = 5_000;

  /** So many fit one record between controllers, with names of the greatest length. */
  private static final int IN_A_RECORD = 150;

  private record Entry(long seq, long toldAt, String job) {}

  private final String life;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final Set<String> listed = new HashSet<>();
  private long last;
  private long dropped;
  private long droppedAt;

  CancellationLog(String life) {
    this.life = life;
  }

  /** A user is about to be told. */
  void tell(String job, long now) {
    trim(now);
    if (listed.add(job)) {
      entries.add(new Entry(++last, now, job));
    }
  }

  private void trim(long now) {
    while (!entries.isEmpty()
        && (entries.size() >= MOST || now - entries.peek().toldAt > KEPT_MS)) {
      Entry e = entries.poll();
      listed.remove(e.job);
      dropped = e.seq;
      droppedAt = e.toldAt;
    }
  }

  int size() {
    return entries.size();
  }

  /**
   * The entries after those that were heard, as many as fit a record.
   *
   * @param heard null if nothing was
   */
  PeerMessage.CancellationsReply part(
      PeerMessage.LogPosition heard, String from, String to, long question, long now) {
    trim(now);
    long known = heard != null && heard.life().equals(life) ? heard.upTo() : 0;
    long after = Math.max(dropped, Math.min(known, last));
    List<String> jobs = new ArrayList<>();
    if (after < last) {
      for (Entry e : entries) {
        if (e.seq > after && jobs.size() < IN_A_RECORD) {
          jobs.add(e.job);
        }
      }
    }
    return new PeerMessage.CancellationsReply(
        from, to, question, life, after, last, dropped, dropped == 0 ? 0 : now - droppedAt, jobs);
  }
}
