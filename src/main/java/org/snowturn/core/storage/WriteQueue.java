package org.snowturn.core.storage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The records that wait to be written, by urgency and then in the order of their coming. A record
 * that waits too long behind more urgent ones becomes overdue and goes first: in a flood of one
 * urgency the ones below it would otherwise never be written.
 */
final class WriteQueue {
  private static final long MAX_WAIT_MS = 1_500;
  private static final long MAX_DEFERRABLE_WAIT_MS = 15_000;

  /** At most one record in so many goes first because it is overdue. */
  private static final int OVERDUE_INTERVAL = 5;

  private final TreeMap<Integer, LinkedHashMap<String, PendingRecord>> queues = new TreeMap<>();
  private int sentSinceOverdue;

  /** Queues a record, or moves it forward if it is queued with less urgency. */
  void add(PendingRecord record, int urgency, long nowMs) {
    if (!record.isQueued() || urgency < record.urgency()) {
      long sinceMs = record.isQueued() ? record.queuedSinceMs() : nowMs;
      remove(record);
      record.enqueue(urgency, sinceMs);
      queues.computeIfAbsent(urgency, u -> new LinkedHashMap<>()).put(record.key(), record);
    }
  }

  void remove(PendingRecord record) {
    if (record.isQueued()) {
      LinkedHashMap<String, PendingRecord> queue = queues.get(record.urgency());
      queue.remove(record.key());
      if (queue.isEmpty()) {
        queues.remove(record.urgency());
      }
      record.dequeue();
    }
  }

  /** Whether a record waits that is not deferrable. */
  boolean hasUrgent() {
    return !queues.isEmpty() && queues.firstKey() < RecordWriter.DEFERRABLE_URGENCY;
  }

  int size() {
    int total = 0;
    for (var queue : queues.values()) {
      total += queue.size();
    }
    return total;
  }

  /** The records of each urgency, the most urgent first. */
  Collection<? extends Map<String, PendingRecord>> recordsByUrgency() {
    return queues.values();
  }

  /** Counts records that were sent, to tell when an overdue one may go first again. */
  void countSent(int count, boolean overdueFirst) {
    sentSinceOverdue = overdueFirst ? 0 : sentSinceOverdue + count;
  }

  /**
   * The record that exceeds its longest wait by the greatest factor; null if there is none, or if
   * one went first only just now. The most urgent records wait for no others.
   */
  PendingRecord findOverdue(long nowMs) {
    if (sentSinceOverdue < OVERDUE_INTERVAL - 1) {
      return null;
    }
    PendingRecord found = null;
    double longest = 1;
    boolean mostUrgent = true;
    for (var queue : queues.entrySet()) {
      PendingRecord head = firstSendable(queue.getValue().values());
      if (!mostUrgent && head != null) {
        boolean deferrable = queue.getKey() >= RecordWriter.DEFERRABLE_URGENCY;
        double maxWaitMs = deferrable ? MAX_DEFERRABLE_WAIT_MS : MAX_WAIT_MS;
        double waited = (nowMs - head.queuedSinceMs()) / maxWaitMs;
        if (waited > longest) {
          longest = waited;
          found = head;
        }
      }
      mostUrgent = false;
    }
    return found;
  }

  private static PendingRecord firstSendable(Collection<PendingRecord> records) {
    for (PendingRecord record : records) {
      if (!record.isInFlight()) {
        return record;
      }
    }
    return null;
  }
}
